#pragma once

#include "quetzalcleatd/error_response.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::daemon {

enum class completion_kind { Text, Chat };

/// A validated request for a completion.
struct completion_request
{
    std::string model;
    std::string adapter;
    bool stream = false;
    std::uint32_t promptTokens = 0; ///< Estimated from the size of the prompt.
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes, first block first.
    std::string engineBody; ///< The caller's body, with "stream" set.
};

/// Parses the body of a request. The body for the engine always asks for a stream, so that the
/// identity and the progress of its response can be checked.
std::variant<completion_request, error_response> parseCompletion(std::string_view body,
                                                                 completion_kind kind);

/// Chained hashes of the full blocks of a prompt, as reported by engines in cache events.
std::vector<std::uint64_t> hashPromptBlocks(std::string_view prompt);

} // namespace quetzalcleat::daemon
