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

/// Discarded (is_discarded()) if the text cannot be read or is nested too deeply.
nlohmann::json parseJson(std::string_view text);

} // namespace quetzalcleat::core
