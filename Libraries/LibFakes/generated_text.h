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

/// The text of one output token. It depends on nothing but the arguments, so that a test knows the
/// whole answer in advance.
std::string generatedToken(std::string_view prompt, std::uint32_t index);

/// Number of tokens that a stand-in generates for a prompt when a request allows enough of them.
std::uint32_t generatedLength(std::string_view prompt, std::uint32_t maximumTokens);

/// The whole answer of a stand-in.
std::string generatedAnswer(std::string_view prompt, std::uint32_t maximumTokens);

/// Chained hashes of the full blocks of a prompt, first block first.
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

} // namespace quetzalcleat::fakes
