#pragma once

#include "quetzalcleatd/error_answer.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::daemon {

enum class completion_kind { Text, Chat };

/// A request for a completion, checked.
struct completion_request
{
    std::string model;
    std::string adapter;
    bool stream = false;
    std::uint32_t promptTokens = 0; ///< Estimate.
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes, first block first.
    std::string engineBody; ///< The caller's body, with "stream" set.
};

/// Parses the body of a request. The answers of engines are always streamed, so that their identity
/// and progress can be checked; the engine's body therefore asks for a stream.
std::variant<completion_request, error_answer> parseCompletion(std::string_view body,
                                                               completion_kind kind);

/// Chained hashes of the full blocks of a prompt, as engines report them in cache events.
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

} // namespace quetzalcleat::daemon
