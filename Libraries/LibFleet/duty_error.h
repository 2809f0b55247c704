#pragma once

#include <system_error>

namespace quetzalcleat::fleet {

/// Why a call of a duty has no status.
enum class duty_error {
    NotHolder = 1, ///< This host may not act now. Nothing was written.
    TooManyCalls, ///< Too many calls wait for their turn. Nothing was written.
    TimedOut, ///< The call may have been carried out.
};

const std::error_category &dutyCategory();
std::error_code make_error_code(duty_error error);

} // namespace quetzalcleat::fleet

template <>
struct std::is_error_code_enum<quetzalcleat::fleet::duty_error> : std::true_type
{
};
