#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::fleet {

struct held_call_limits
{
    /// Operators try another host if a call has no answer for 1 s.
    std::chrono::milliseconds longestWait{800};
    std::chrono::milliseconds pollInterval{20};
    std::size_t maximumCalls = 64;
    /// Upper bound of the bodies of all calls, which stay in memory.
    std::size_t maximumBytes = std::size_t{16} * 1024 * 1024;
};

/// Calls of operators that wait on a control host until a leader is known. Operators wait longer
/// after each refusal, so one that is refused shortly before the end of an election loses more time
/// than the election takes.
///
/// Belongs to one event loop.
class held_calls : public std::enable_shared_from_this<held_calls>
{
public:
    held_calls(asio::io_context &context, std::function<bool()> mayProceed,
               held_call_limits limits = {});

    /// Continues the call as soon as calls may proceed, after the longest wait, or with stop(), in
    /// the order of arrival. False if it cannot wait, and then `proceed` is left as it is.
    bool hold(std::size_t bodyBytes, std::function<void()> &proceed);

    bool isEmpty() const { return m_calls.empty(); }

    /// Continues all calls.
    void stop();

private:
    struct held_call
    {
        core::instant until;
        std::size_t bodyBytes = 0;
        std::function<void()> proceed;
    };

    void startTimer();
    void continueCalls();

    std::function<bool()> m_mayProceed;
    held_call_limits m_limits;
    asio::steady_timer m_timer;
    std::deque<held_call> m_calls;
    std::size_t m_bytes = 0;
    bool m_stopped = false;
};

} // namespace quetzalcleat::fleet
