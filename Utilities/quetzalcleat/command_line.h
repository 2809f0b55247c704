#pragma once

#include "quetzalcleat/tool_options.h"

#include <iosfwd>
#include <variant>

namespace quetzalcleat::tool {

/// Parses the command line. Usage errors and the answer to --help are written to the streams and
/// give the exit code of the program.
std::variant<tool_options, exit_code> parseCommandLine(int argumentCount,
                                                       const char *const *arguments,
                                                       std::ostream &output, std::ostream &errors);

} // namespace quetzalcleat::tool
