#pragma once

#include <filesystem>
#include <optional>

namespace quetzalcleat::daemon {

struct command_line
{
    std::filesystem::path configFile;
    bool checkConfig = false;
    bool initialiseCluster = false;
};

/// The parsed options, or the exit code after a help text or a usage error.
struct command_line_result
{
    std::optional<command_line> options;
    int exitCode = 0;
};

command_line_result parseCommandLine(int count, const char *const *arguments);

} // namespace quetzalcleat::daemon
