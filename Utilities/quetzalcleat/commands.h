#pragma once

#include "quetzalcleat/tool_options.h"

#include <chrono>
#include <functional>
#include <iosfwd>

namespace quetzalcleat::tool {

/// Streams, key and pause function that a command uses.
struct tool_environment
{
    std::ostream &output;
    std::ostream &errors;
    const char *operatorKey = nullptr; ///< Value of QUETZALCLEAT_OPERATOR_KEY or null.
    std::function<void(std::chrono::milliseconds)> pause; ///< Waits before a resend.
};

/// Runs one command of the operators' tool.
exit_code runCommand(const tool_options &options, const tool_environment &environment);

} // namespace quetzalcleat::tool
