#pragma once

#include "LibCore/located_error.h"
#include "LibInventory/document.h"

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::inventory {

/// Largest document that parse() accepts; the expected size after two years is 0.65 MB.
constexpr std::size_t maximumInventoryBytes = 3 * 1024 * 1024;

using parse_result = std::variant<document, std::vector<core::located_error>>;

/// Parses and validates an inventory in TOML.
///
/// The result is a document whose references are all resolved and whose limits can all be met, or
/// every error found (at most a hundred) in the order of their lines. The error codes are
/// from core::core_error for syntax, keys and types, and from inventory_error for the rest.
parse_result parse(std::string_view text, std::string_view fileName);

} // namespace quetzalcleat::inventory
