#pragma once

#include <functional>
#include <system_error>

namespace quetzalcleat::core {

/// Runs a handler and catches what it throws, so that an unexpected error in the work for one
/// connection does not end the process. Logs the exception. Errors: UnexpectedException.
std::error_code runContained(const std::function<void()> &handler);

} // namespace quetzalcleat::core
