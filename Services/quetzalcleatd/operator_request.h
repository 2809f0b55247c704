#pragma once

#include "LibState/edits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalcleat::daemon {

/// Body of POST /operator/configuration.
struct edit_request
{
    state::edit edit;
    bool wait = false; ///< Respond only once the edit is in force everywhere.
};

/// Body of POST /operator/drain.
struct drain_request
{
    std::string target;
    std::string editId;
};

// The parsers return a message if the body is invalid.

std::variant<edit_request, std::string> parseEditRequest(std::string_view body);
std::variant<drain_request, std::string> parseDrainRequest(std::string_view body);
std::variant<std::string, std::string_view> parseCheckRequest(std::string_view body);

} // namespace quetzalcleat::daemon
