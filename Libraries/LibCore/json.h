#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace quetzalcleat::core {

/// Nesting of arrays and objects that is read. Each level takes memory, many times that of its two
/// bytes of text, so that a document within the bounds of its length could exceed that of a host.
constexpr std::size_t maximumJsonDepth = 64;

/// The deepest nesting of arrays and objects, also in a text that cannot be read.
std::size_t jsonDepth(std::string_view text);

/// Values that are read. One of a few bytes of text takes about 100 bytes as a member of an object,
/// so that 3 MB of them would take more than 100 MB. The largest configuration (3 MB) has fewer if
/// its values, with their names, have 12 bytes on average; those of thousands of routes have 20.
constexpr std::size_t maximumJsonValues = 250'000;

/// About the number of values, at least the real one, also in a text that cannot be read.
std::size_t jsonValues(std::string_view text);

/// Discarded (is_discarded()) if the text cannot be read, is nested too deeply or has too many
/// values.
nlohmann::json parseJson(std::string_view text);

} // namespace quetzalcleat::core
