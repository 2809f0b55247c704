#pragma once

#include <chrono>

namespace quetzalcleat::core {

/// Monotonic time. Decides every lease, timeout and delay.
using instant = std::chrono::steady_clock::time_point;

/// Calendar time. Shown to people and used for retention; it may jump.
using wall_time = std::chrono::system_clock::time_point;

} // namespace quetzalcleat::core
