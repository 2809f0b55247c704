#include "LibFleet/held_calls.h"

#include <utility>

namespace quetzalcleat::fleet {

held_calls::held_calls(asio::io_context &context, std::function<bool()> mayProceed,
                       held_call_limits limits)
    : m_mayProceed(std::move(mayProceed)), m_limits(limits), m_timer(context)
{
}

bool held_calls::hold(std::size_t bodyBytes, std::function<void()> &proceed)
{
    if (m_stopped || m_calls.size() >= m_limits.maximumCalls
        || bodyBytes > m_limits.maximumBytes - m_bytes)
        return false;
    m_bytes += bodyBytes;
    m_calls.push_back({std::chrono::steady_clock::now() + m_limits.longestWait, bodyBytes,
                       std::exchange(proceed, {})});
    if (m_calls.size() == 1)
        startTimer();
    return true;
}

void held_calls::stop()
{
    m_stopped = true;
    m_timer.cancel();
    continueCalls();
}

void held_calls::startTimer()
{
    m_timer.expires_after(m_limits.pollInterval);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->continueCalls();
        if (!self->m_calls.empty())
            self->startTimer();
    });
}

void held_calls::continueCalls()
{
    while (!m_calls.empty()
           && (m_stopped || m_mayProceed()
               || m_calls.front().until <= std::chrono::steady_clock::now())) {
        const auto proceed = std::move(m_calls.front().proceed);
        m_bytes -= m_calls.front().bodyBytes;
        m_calls.pop_front();
        proceed();
    }
}

} // namespace quetzalcleat::fleet
