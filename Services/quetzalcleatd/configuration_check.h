#pragma once

#include "LibCore/located_error.h"
#include "LibCore/settings.h"

#include <filesystem>
#include <string>
#include <variant>
#include <vector>

namespace quetzalcleat::daemon {

/// Configuration that a process needs to start.
struct start_configuration
{
    core::settings settings;
    std::string seedDocument; ///< Empty if the settings name no seed inventory.
};

/// Reads the settings and the seed inventory and validates both.
std::variant<start_configuration, std::vector<core::located_error>>
loadStartConfiguration(const std::filesystem::path &settingsFile);

/// Formats an error as "FILE:LINE: message: detail".
std::string toText(const core::located_error &error);

} // namespace quetzalcleat::daemon
