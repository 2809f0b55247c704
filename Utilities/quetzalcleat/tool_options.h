#pragma once

#include "LibCore/settings.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::tool {

/// Exit codes of the program, part of its interface for scripts.
enum class exit_code {
    Done = 0,
    Refused = 1, ///< Refused or in conflict.
    BadInput = 2, ///< Bad input or usage.
    Undecided = 3, ///< Unreachable, or the outcome is not known.
};

enum class command { Check, Diff, Apply, Show, History, Status, Drain, Dump, Explain };

/// Command and options from the command line.
struct tool_options
{
    command requested = command::Status;
    /// Operator addresses; the next one is tried when one gives no answer.
    std::vector<core::socket_address> servers;
    bool json = false;
    std::filesystem::path keyFile;
    std::chrono::milliseconds timeout{20000}; ///< For one transmission, until the whole answer.
    std::uint32_t transmissions = 5; ///< Maximum transmissions of one request.
    std::vector<std::filesystem::path> files; ///< For check, diff and apply.
    bool wait = false; ///< Wait until the edit is in force everywhere.
    std::optional<std::uint64_t> baseRevision;
    std::string editId; ///< Generated if empty.
    std::string author;
    std::string target; ///< Endpoint or host to drain.
    std::string requestId; ///< Request to explain.
};

} // namespace quetzalcleat::tool
