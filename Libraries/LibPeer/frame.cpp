#include "LibPeer/frame.h"

#include "LibCore/hash.h"
#include "LibPeer/peer_error.h"

namespace quetzalcleat::peer {

namespace {

void appendBigEndian(std::string &bytes, std::uint64_t value, unsigned int count)
{
    for (unsigned int position = count; position > 0; --position)
        bytes.push_back(static_cast<char>((value >> (8U * (position - 1U))) & 0xffU));
}

} // namespace

std::string frame_authenticator::seal(std::string_view body)
{
    const std::size_t tagBytes = m_key.empty() ? 0 : frameTagBytes;
    std::string frame;
    frame.reserve(frameLengthBytes + 1 + body.size() + tagBytes);
    appendBigEndian(frame, 1 + body.size() + tagBytes, frameLengthBytes);
    frame.push_back(static_cast<char>(frameVersion));
    frame.append(body);
    if (tagBytes != 0)
        frame.append(tag(std::string_view(frame).substr(frameLengthBytes)));
    ++m_sequence;
    return frame;
}

core::result<std::string_view> frame_authenticator::open(std::string_view frame)
{
    const std::size_t tagBytes = m_key.empty() ? 0 : frameTagBytes;
    if (frame.size() < 1 + tagBytes)
        return peer_error::FrameTooShort;
    if (static_cast<std::uint8_t>(frame.front()) != frameVersion)
        return peer_error::UnknownVersion;
    const auto content = frame.substr(0, frame.size() - tagBytes);
    if (tagBytes != 0
        && !core::equalInConstantTime(tag(content), frame.substr(frame.size() - tagBytes)))
        return peer_error::FrameNotAuthentic;
    ++m_sequence;
    return content.substr(1);
}

std::size_t frame_authenticator::overheadBytes() const
{
    return frameLengthBytes + 1 + (m_key.empty() ? 0 : frameTagBytes);
}

std::string frame_authenticator::tag(std::string_view versionAndBody) const
{
    std::string input;
    input.reserve(8 + versionAndBody.size());
    appendBigEndian(input, m_sequence, 8);
    input.append(versionAndBody);
    return core::hmacSha256(m_key, input).substr(0, frameTagBytes);
}

core::result<std::size_t> decodeFrameLength(const std::array<char, frameLengthBytes> &bytes,
                                            std::size_t limit)
{
    std::size_t length = 0;
    for (const char byte : bytes)
        length = (length << 8U) | static_cast<std::uint8_t>(byte);
    if (length > limit)
        return peer_error::FrameTooLarge;
    if (length == 0)
        return peer_error::FrameTooShort;
    return length;
}

} // namespace quetzalcleat::peer
