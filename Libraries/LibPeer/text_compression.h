#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::peer {

/// Compresses a text in the format of zlib (RFC 1950). Favours speed, as the leader does this while
/// other hosts wait for it.
std::string compressText(std::string_view text);

/// Nothing if the input is damaged, is followed by other bytes, or its text is longer than
/// `maximumBytes`.
std::optional<std::string> decompressText(std::string_view compressed, std::size_t maximumBytes);

} // namespace quetzalcleat::peer
