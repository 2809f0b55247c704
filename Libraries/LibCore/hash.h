#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::core {

/// SHA-256 of the bytes, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// HMAC-SHA-256 of the bytes under a key, as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view bytes);

/// Compares secrets in a time that depends only on their length.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// Cryptographically secure random bytes.
std::string secureRandomBytes(std::size_t count);

/// xxHash (XXH3, 64 bits). Not for secrets.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

} // namespace quetzalcleat::core
