#pragma once

#include <chrono>
#include <functional>

#include <asio/io_context.hpp>

namespace quetzalcleat::peer::test {

/// Runs the event loop until the condition holds. The limit only ends a test that hangs; it is
/// high, so that a slow machine does not fail the test.
inline bool runUntil(asio::io_context &context, const std::function<bool()> &condition,
                     std::chrono::seconds limit = std::chrono::seconds(60))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

inline void runFor(asio::io_context &context, std::chrono::milliseconds time)
{
    context.restart();
    context.run_for(time);
}

} // namespace quetzalcleat::peer::test
