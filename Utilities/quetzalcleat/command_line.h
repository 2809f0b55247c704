#pragma once

#include "quetzalcleat/tool_options.h"

#include <iosfwd>
#include <variant>

namespace quetzalcleat::tool {

/// Parses the command line. For usage errors and --help it writes the text to the streams and
/// returns the exit code of the program.
std::variant<tool_options, exit_code> parseCommandLine(int argumentCount,
                                                       const char *const *arguments,
                                                       std::ostream &output, std::ostream &errors);

} // namespace quetzalcleat::tool
