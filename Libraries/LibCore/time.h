#pragma once

#include <chrono>
#include <functional>

#include <ctime>

namespace quetzalcleat::core {

/// Monotonic time, for leases, timeouts and delays.
using instant = std::chrono::steady_clock::time_point;

/// Wall-clock time, for display and retention periods; it may jump.
using wall_time = std::chrono::system_clock::time_point;

/// Monotonic time that also counts while the machine is suspended, so that a lease cannot outlive a
/// suspension. Not comparable with the time points of timers, which use another clock.
inline instant suspendAwareNow()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return std::chrono::steady_clock::now();
    return instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

/// Reads a monotonic clock. Components whose leases must not outlive a suspension take one, so that
/// a test can suspend them.
using time_source = std::function<instant()>;

} // namespace quetzalcleat::core
