#pragma once

#include <chrono>

#include <ctime>

namespace quetzalcleat::core {

/// Monotonic time. Decides every lease, timeout and delay.
using instant = std::chrono::steady_clock::time_point;

/// Calendar time. Shown to people and used for retention; it may jump.
using wall_time = std::chrono::system_clock::time_point;

/// Monotonic time that also counts while the machine is suspended, so that a lease cannot outlive a
/// suspension. Not comparable with the times of timers.
inline instant suspendAwareNow()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return std::chrono::steady_clock::now();
    return instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace quetzalcleat::core
