#include "LibCore/hash.h"

#include <array>
#include <cstdlib>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace quetzalcleat::core {

namespace {

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(asUnsigned(bytes), bytes.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asUnsigned(bytes), bytes.size(),
         digest.data(), &length);
    return {reinterpret_cast<const char *>(digest.data()), length};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string secureRandomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    // Continuing with predictable identities or challenges would break authentication.
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        std::abort();
    return bytes;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace quetzalcleat::core
