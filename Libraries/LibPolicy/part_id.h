#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::policy {

/// Names a part of a prompt that requests can share. 0 names no part.
using part_id = std::uint64_t;

/// Reads an id in hexadecimal of any length. Different texts have different ids, except for the
/// case of letters and surrounding blanks: a number of up to 64 bits without leading zeros is kept
/// as it is, and any other text is hashed. 0 if the text is empty.
part_id parsePartId(std::string_view text);

/// In hexadecimal: as callers write it, unless the text was hashed.
std::string toText(part_id part);

} // namespace quetzalcleat::policy
