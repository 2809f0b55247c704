#include "LibFakes/generated_text.h"

#include "LibCore/hash.h"

#include <algorithm>

namespace quetzalcleat::fakes {

namespace {

constexpr std::uint32_t shortestOutput = 8;
constexpr std::uint32_t outputLengthSpread = 57;
constexpr std::uint64_t lengthSeed = 1;
constexpr std::uint64_t firstTokenSeed = 1000;

} // namespace

std::string generatedToken(std::string_view prompt, std::uint32_t index)
{
    return 'w' + std::to_string(core::hash64(prompt, firstTokenSeed + index) % 100000) + ' ';
}

std::uint32_t generatedLength(std::string_view prompt, std::uint32_t maximumTokens)
{
    const auto spread = core::hash64(prompt, lengthSeed) % outputLengthSpread;
    return std::min(maximumTokens, shortestOutput + static_cast<std::uint32_t>(spread));
}

std::vector<std::uint64_t> promptBlocks(std::string_view prompt)
{
    constexpr std::size_t blockBytes = std::size_t{tokensPerBlock} * bytesPerToken;
    std::vector<std::uint64_t> blocks;
    std::uint64_t previous = 0;
    for (std::size_t begin = 0; begin + blockBytes <= prompt.size(); begin += blockBytes) {
        previous = core::hash64(prompt.substr(begin, blockBytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace quetzalcleat::fakes
