#include "LibCore/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace quetzalcleat::core {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char first, unsigned char second) {
        return std::tolower(first) == std::tolower(second);
    });
}

std::string_view withoutBlanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    text.remove_suffix(text.size() - (text.find_last_not_of(blanks) + 1));
    return text;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || rest != end || text.empty())
        return std::nullopt;
    return number;
}

} // namespace quetzalcleat::core
