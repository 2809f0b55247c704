#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::fakes {

/// Tokens per cached block of a prompt.
constexpr std::uint32_t tokensPerBlock = 16;

/// Bytes of prompt text per token.
constexpr std::uint32_t bytesPerToken = 4;

/// The text of one output token. It depends only on the arguments, so that a test knows the whole
/// answer in advance.
std::string generatedToken(std::string_view prompt, std::uint32_t index);

/// Number of tokens that the fake engine generates for a prompt, at most maximumTokens.
std::uint32_t generatedLength(std::string_view prompt, std::uint32_t maximumTokens);

/// Chained hashes of the full blocks of a prompt, first block first.
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

} // namespace quetzalcleat::fakes
