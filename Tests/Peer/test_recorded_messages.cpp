#include "LibPeer/message_codec.h"
#include "LibPeer/peer_error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace peer = quetzalcleat::peer;

namespace {

std::string bytesOf(const std::string &hexadecimal)
{
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t at = 0; at + 1 < hexadecimal.size(); at += 2)
        bytes += static_cast<char>(std::stoi(hexadecimal.substr(at, 2), nullptr, base));
    return bytes;
}

/// Messages that hosts of Tests/Peer sent to each other, at least one of each type.
const std::vector<std::string> &recordedMessages()
{
    static const auto recorded = [] {
        std::vector<std::string> messages;
        std::ifstream file(RECORDED_MESSAGES);
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with('#'))
                messages.push_back(bytesOf(line));
        }
        return messages;
    }();
    return recorded;
}

std::size_t positionIn(const std::string &bytes)
{
    return *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
}

std::string oneRecorded()
{
    return *rc::gen::elementOf(recordedMessages());
}

void damage(std::string &bytes)
{
    const auto at = positionIn(bytes);
    const auto other = oneRecorded();
    const auto from = positionIn(other);
    switch (*rc::gen::inRange(0, 5)) {
    case 0: // Any byte, among them the marks of types and lengths.
        if (at < bytes.size())
            bytes[at] = *rc::gen::arbitrary<char>();
        break;
    case 1: // A neighbouring value, such as the next type or a length that is off by one.
        if (at < bytes.size())
            bytes[at] = static_cast<char>(bytes[at] + *rc::gen::inRange(-1, 2));
        break;
    case 2:
        bytes.resize(at);
        break;
    case 3:
        bytes.insert(at, other.substr(from, *rc::gen::inRange<std::size_t>(0, 32)));
        break;
    case 4:
        bytes = bytes.substr(0, at) + other.substr(from);
        break;
    }
}

std::string damaged(std::string bytes)
{
    const auto damages = *rc::gen::inRange(1, 6);
    for (int index = 0; index < damages; ++index)
        damage(bytes);
    return bytes;
}

} // namespace

// Guards against a type of message without a recording, and against a frame format that no longer
// reads what an earlier version has sent.
TEST(RecordedMessages, AreDecodedAndEncodedAsTheyWere)
{
    std::set<std::size_t> types;
    for (const auto &bytes : recordedMessages()) {
        const auto decoded = peer::decodeMessage(bytes);
        ASSERT_TRUE(decoded) << decoded.error().message();
        EXPECT_EQ(peer::encodeMessage(decoded.value()), bytes);
        types.insert(decoded.value().index());
    }
    EXPECT_EQ(types.size(), std::variant_size_v<peer::message>);
}

// Guards against damaged messages that crash the decoder, and against one that is accepted with a
// content other than its bytes say: what is accepted has an encoding that is not longer and has the
// same content.
RC_GTEST_PROP(RecordedMessages, DamagedOnesAreRefusedOrKeepTheirContent, ())
{
    constexpr int messages = 50;
    for (int index = 0; index < messages; ++index) {
        const auto bytes = damaged(oneRecorded());
        const auto decoded = peer::decodeMessage(bytes);
        if (!decoded) {
            RC_ASSERT(&decoded.error().category() == &peer::peerCategory());
            continue;
        }
        const auto encoded = peer::encodeMessage(decoded.value());
        RC_ASSERT(encoded.size() <= bytes.size());
        RC_ASSERT(peer::decodeMessage(encoded).value() == decoded.value());
    }
}
