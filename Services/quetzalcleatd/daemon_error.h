#pragma once

#include <system_error>

namespace quetzalcleat::daemon {

/// Errors in the responses of endpoints.
enum class daemon_error {
    MalformedEvent = 1,
    WrongRequest, ///< An event belongs to another request.
    WrongGeneration, ///< An event belongs to another generation.
    WrongIndex, ///< A token is missing or repeated.
    UnfinishedStream, ///< The stream ended before its last event.
    EndpointRefused, ///< The endpoint responded with an error status.
};

const std::error_category &daemonCategory();
std::error_code make_error_code(daemon_error error);

} // namespace quetzalcleat::daemon

template <>
struct std::is_error_code_enum<quetzalcleat::daemon::daemon_error> : std::true_type
{
};
