#include "LibPolicy/list_read_schedule.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

/// Bound of the exponent, so that the delay cannot overflow.
constexpr std::uint32_t maximumDoublings = 10;

} // namespace

list_read_schedule::next_read list_read_schedule::handleFailure(page_failure failure, double random,
                                                                core::instant now)
{
    if (failure != page_failure::Limited)
        return {m_options.interval, false};
    const auto doublings = std::min(m_refusals++, maximumDoublings);
    const auto mean = std::min(m_options.limitedDelay * (1U << doublings), m_options.longestDelay);
    // Between half of the mean and one and a half.
    const std::chrono::milliseconds delay(
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + random)));
    return {delay, now + delay - m_started <= m_options.resumeTime};
}

} // namespace quetzalcleat::policy
