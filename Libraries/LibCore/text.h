#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzalcleat::core {

/// Compares without regard to the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// The text without the spaces and tabs at its ends.
std::string_view withoutBlanks(std::string_view text);

/// Parses a text that consists only of a non-negative decimal integer.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace quetzalcleat::core
