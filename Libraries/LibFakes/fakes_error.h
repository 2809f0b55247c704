#pragma once

#include <system_error>

namespace quetzalcleat::fakes {

/// Errors of the fake outside systems.
enum class fakes_error {
    UnknownModel = 1,
    QueueFull,
    StaleFencing, ///< The order carries an older fencing number than one seen before.
    UnknownGeneration, ///< No generation with this id can be resumed.
    UnknownBlock, ///< The block is not cached.
    DuplicateRequest, ///< A request with this id is already running.
};

const std::error_category &fakesCategory();
std::error_code make_error_code(fakes_error error);

} // namespace quetzalcleat::fakes

template <>
struct std::is_error_code_enum<quetzalcleat::fakes::fakes_error> : std::true_type
{
};
