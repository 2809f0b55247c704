#pragma once

#include "LibCore/located_error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::core {

struct toml_value;
struct toml_member;

struct toml_array
{
    std::vector<toml_value> items;
};

struct toml_table
{
    std::vector<toml_member> members;

    /// The member with this key, or null.
    const toml_member *find(std::string_view key) const;
};

/// A value of a TOML document and the line where it starts. Dates and times have no content.
struct toml_value
{
    std::uint32_t line = 0;
    std::variant<std::monostate, bool, std::int64_t, double, std::string, toml_array, toml_table>
        content;
};

struct toml_member
{
    std::string key;
    std::uint32_t line = 0;
    toml_value value;
};

/// Parses TOML text of bounded size and nesting. Wraps toml++, whose headers only one source file
/// includes.
std::variant<toml_table, located_error> parseToml(std::string_view text, std::string_view fileName,
                                                  std::size_t maximumBytes);

} // namespace quetzalcleat::core
