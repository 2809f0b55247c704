#pragma once

#include "LibCore/result.h"

#include <cstddef>
#include <filesystem>
#include <string>

namespace quetzalcleat::tool {

/// Reads a file of at most the given size.
core::result<std::string> readFile(const std::filesystem::path &path, std::size_t maximumBytes);

/// The operator key from the file, or from the environment value if no file is named. A line feed
/// at the end is not part of the key. There is no option for the key itself, as other users of the
/// machine can read command lines.
core::result<std::string> readOperatorKey(const std::filesystem::path &file,
                                          const char *environmentValue);

} // namespace quetzalcleat::tool
