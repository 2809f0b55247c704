#pragma once

#include "LibCore/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace quetzalcleat::peer {

/// A frame is a length of 4 bytes (big-endian; counts everything after itself), a version byte, a
/// body, and, once the handshake is over, an authentication tag.
constexpr std::size_t frameLengthBytes = 4;
constexpr std::size_t frameTagBytes = 16;
constexpr std::size_t maximumFrameBytes = 1024 * 1024;
/// Limit before authentication, so that an unauthenticated peer cannot force large allocations.
constexpr std::size_t maximumHandshakeFrameBytes = 1024;
constexpr std::uint8_t frameVersion = 7;

/// Authenticates the frames of one direction of a connection. The tag is HMAC-SHA-256, truncated
/// to 16 bytes (RFC 2104, section 5), over the number of the frame in its direction, the version
/// and the body. As the number is never sent, a repeated, dropped or reordered frame does not
/// match.
class frame_authenticator
{
public:
    /// An empty key stands for the handshake, whose frames have no tag.
    explicit frame_authenticator(std::string key = {}) : m_key(std::move(key)) { }

    /// A complete frame, including its length.
    std::string seal(std::string_view body);

    /// The body of a frame that was received without its length. The view refers to the argument.
    /// Errors: FrameTooShort, UnknownVersion, FrameNotAuthentic.
    core::result<std::string_view> open(std::string_view frame);

    /// Bytes of a frame besides its body.
    std::size_t overheadBytes() const;

private:
    std::string tag(std::string_view versionAndBody) const;

    std::string m_key;
    std::uint64_t m_sequence = 0;
};

/// Number of bytes that follow the length. Errors: FrameTooLarge, FrameTooShort.
core::result<std::size_t> decodeFrameLength(const std::array<char, frameLengthBytes> &bytes,
                                            std::size_t limit);

} // namespace quetzalcleat::peer
