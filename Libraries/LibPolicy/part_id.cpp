#include "LibPolicy/part_id.h"

#include "LibCore/hash.h"
#include "LibCore/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace quetzalcleat::policy {

namespace {

constexpr int base = 16;

std::string lowerCased(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return result;
}

} // namespace

part_id parsePartId(std::string_view text)
{
    text = core::withoutBlanks(text);
    if (text.empty())
        return 0;
    part_id part = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, part, base);
    if (parsed.ec == std::errc() && parsed.ptr == end && text.front() != '0')
        return part;
    return std::max<part_id>(core::hash64(lowerCased(text)), 1);
}

std::string toText(part_id part)
{
    std::array<char, 2 * sizeof(part)> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), part, base).ptr;
    return {digits.begin(), end};
}

} // namespace quetzalcleat::policy
