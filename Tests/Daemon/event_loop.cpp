#include "event_loop.h"

#include <chrono>

namespace quetzalcleat::tests {

bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    constexpr std::chrono::minutes limit{1};
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        if (context.stopped())
            context.restart();
        context.run_one_for(std::chrono::milliseconds(100));
    }
    return true;
}

} // namespace quetzalcleat::tests
