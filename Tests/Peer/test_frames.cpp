#include "LibCore/hash.h"
#include "LibPeer/frame.h"
#include "LibPeer/handshake.h"
#include "LibPeer/message_codec.h"
#include "LibPeer/peer_error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peer = quetzalcleat::peer;
namespace state = quetzalcleat::state;

namespace {

constexpr auto keyOne = "key number one, 16+ bytes";
constexpr auto keyTwo = "key number two, 16+ bytes";

std::string arbitraryBytes()
{
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

/// The shortest MessagePack encoding of a number.
std::string encodedNumber(std::uint64_t value)
{
    constexpr std::uint64_t largestInMark = 0x7f;
    if (value <= largestInMark)
        return {static_cast<char>(value)};
    std::string bytes;
    for (const auto &[mark, size] : {std::pair('\xcc', 1), {'\xcd', 2}, {'\xce', 4}, {'\xcf', 8}}) {
        if (size < 8 && value >> (8U * static_cast<unsigned>(size)) != 0)
            continue;
        bytes += mark;
        for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
            bytes += static_cast<char>(value >> static_cast<unsigned>(shift));
        break;
    }
    return bytes;
}

std::string encodedList(const std::vector<std::string> &elements)
{
    std::string bytes{static_cast<char>(0x90U + elements.size())};
    for (const auto &element : elements)
        bytes += element;
    return bytes;
}

/// A value of any type that messages have, or of another one.
std::string arbitraryValue(int depth)
{
    constexpr int kinds = 8;
    switch (*rc::gen::inRange(0, depth > 0 ? kinds : kinds - 1)) {
    case 0:
        return *rc::gen::element<std::string>("\xc2", "\xc3"); // Boolean
    case 1:
        return encodedNumber(*rc::gen::arbitrary<std::uint8_t>());
    case 2:
        return encodedNumber(*rc::gen::arbitrary<std::uint64_t>());
    case 3:
    case 4: {
        const auto content = arbitraryBytes().substr(0, 0xff);
        return std::string{'\xc4', static_cast<char>(content.size())} + content;
    }
    case 5:
        return "\xc0"; // Nothing
    case 6:
        return *rc::gen::element<std::string>("\xff", "\xa1x"); // -1, and text
    default:
        break;
    }
    std::vector<std::string> elements(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto &element : elements)
        element = arbitraryValue(depth - 1);
    return encodedList(elements);
}

/// A list of a type of message and values; some are messages.
std::string arbitraryValues()
{
    constexpr std::uint64_t types = std::variant_size_v<peer::message>;
    std::vector<std::string> elements(*rc::gen::inRange<std::size_t>(1, 5));
    for (auto &element : elements)
        element = arbitraryValue(2);
    elements.front() = encodedNumber(*rc::gen::inRange<std::uint64_t>(0, types + 2));
    return encodedList(elements);
}

peer::message arbitraryMessage()
{
    peer::gossip gossip{peer::gossip_kind::ProbeRequest,
                        *rc::gen::arbitrary<std::uint64_t>(),
                        arbitraryBytes(),
                        {}};
    gossip.updates.push_back(
        {arbitraryBytes(), peer::member_state::Dead, 7, *rc::gen::arbitrary<std::uint32_t>(), 9});
    const peer::configuration_update update{
        {*rc::gen::arbitrary<std::uint64_t>(), arbitraryBytes(), arbitraryBytes(), "author"},
        true,
        *rc::gen::arbitrary<bool>(),
        arbitraryBytes()};
    peer::propose_result result;
    result.proposalId = *rc::gen::arbitrary<std::uint64_t>();
    result.error = *rc::gen::arbitrary<std::uint32_t>();
    result.kind = peer::verdict_kind::Claim;
    result.edit = {state::edit_verdict_kind::EditIdReused, 5};
    result.claim = {state::claim_verdict_kind::AttemptAbandoned,
                    {*rc::gen::arbitrary<std::uint16_t>(), "text/plain", arbitraryBytes(), true}};
    result.lease
        = {true, "holder", 3, 4, std::chrono::milliseconds(5), std::chrono::milliseconds(6)};
    result.order = {state::order_state::Undone, true};
    const peer::status_report report{{{arbitraryBytes(), 1, 2, 3}, {"b", 4, 5, 6}}};
    return *rc::gen::element<peer::message>(
        gossip, update, result, report, peer::status_request{}, peer::join{7, "10.0.0.7"},
        peer::hello{"c", "h", "e", 5, arbitraryBytes()}, peer::propose{1, true, arbitraryBytes()},
        peer::leave{7, std::chrono::milliseconds(9)}, peer::leave_answer{7, true});
}

peer::handshake_identity identity(std::string host, std::vector<std::string> keys)
{
    return {"cluster", std::move(host), 1, std::move(keys)};
}

/// The first error of a complete handshake, or a default error code.
std::error_code handshakeError(peer::client_handshake &client, peer::server_handshake &server)
{
    const auto challenge = server.receive(client.start());
    if (!challenge)
        return challenge.error();
    const auto response = client.receive(challenge.value());
    if (!response)
        return response.error();
    return server.receive(response.value()).error();
}

} // namespace

// Guards against a field that is lost, or read in another order than it was written.
RC_GTEST_PROP(MessageCodec, DecodesWhatItEncodes, ())
{
    const auto content = arbitraryMessage();
    const auto decoded = peer::decodeMessage(peer::encodeMessage(content));
    RC_ASSERT(decoded.hasValue());
    RC_ASSERT(decoded.value() == content);
}

// Guards against a crash, or an error of another category, on arbitrary bytes, and against values
// of another type, range or number that are accepted as a message: each value below has its
// shortest encoding, so an accepted message must have the same bytes again.
RC_GTEST_PROP(MessageCodec, RefusesHostileBytes, ())
{
    constexpr int messages = 50;
    for (int index = 0; index < messages; ++index) {
        const bool hasValues = *rc::gen::inRange(0, 4) != 0;
        const auto bytes = hasValues ? arbitraryValues() : arbitraryBytes();
        const auto decoded = peer::decodeMessage(bytes);
        if (!decoded)
            RC_ASSERT(&decoded.error().category() == &peer::peerCategory());
        else if (hasValues)
            RC_ASSERT(peer::encodeMessage(decoded.value()) == bytes);
    }
}

// Guards against a crash, or an accepted truncated message, when bytes of a valid message are
// changed or missing at the end.
RC_GTEST_PROP(MessageCodec, SurvivesDamagedMessages, ())
{
    auto bytes = peer::encodeMessage(arbitraryMessage());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!peer::decodeMessage(std::string_view(bytes).substr(0, length)).hasValue());
    bytes[length] = *rc::gen::arbitrary<char>();
    (void)peer::decodeMessage(bytes);
}

// Guards against a list length in a few bytes that makes the decoder allocate gigabytes.
TEST(MessageCodec, RefusesHugeListBeforeAllocation)
{
    const std::string hugeArray("\xdd\xff\xff\xff\xff", 5);
    EXPECT_EQ(peer::decodeMessage(hugeArray).error(), peer::peer_error::MalformedBody);
    EXPECT_EQ(peer::decodeMessage("\x92\x0c" + hugeArray).error(), peer::peer_error::MalformedBody);
    const std::string nested(100000, '\x91');
    EXPECT_EQ(peer::decodeMessage(nested).error(), peer::peer_error::MalformedBody);
}

// Guards against a message that is sent again and again although no receiver can decode it: what
// the sender encodes is decoded, and what is too long is refused at the sender.
TEST(MessageCodec, SenderRefusesWhatTheReceiverWould)
{
    peer::configuration_lease_answer answer;
    answer.patch.steps.resize(peer::maximumListLength);
    const auto longest = peer::encodeForPeer(answer);
    ASSERT_TRUE(longest) << longest.error().message();
    const auto decoded = peer::decodeMessage(longest.value());
    ASSERT_TRUE(decoded) << decoded.error().message();
    EXPECT_EQ(std::get<peer::configuration_lease_answer>(decoded.value()).patch.steps.size(),
              peer::maximumListLength);
    answer.patch.steps.emplace_back();
    EXPECT_EQ(peer::encodeForPeer(answer).error(), peer::peer_error::ListTooLong);
    const peer::raft_payload large{std::string(peer::maximumMessageBytes, 'x')};
    EXPECT_EQ(peer::encodeForPeer(large).error(), peer::peer_error::MessageTooLarge);
}

// Guards against an allocation of the announced size before the limit is checked.
TEST(Frame, RefusesLengthsOutsideTheLimit)
{
    EXPECT_EQ(
        peer::decodeFrameLength({'\x00', '\x10', '\x00', '\x01'}, peer::maximumFrameBytes).error(),
        peer::peer_error::FrameTooLarge);
    EXPECT_EQ(
        peer::decodeFrameLength({'\x00', '\x10', '\x00', '\x00'}, peer::maximumFrameBytes).value(),
        peer::maximumFrameBytes);
    EXPECT_EQ(peer::decodeFrameLength({}, peer::maximumFrameBytes).error(),
              peer::peer_error::FrameTooShort);
}

// Guards against an altered, repeated, skipped or reflected frame that is accepted.
RC_GTEST_PROP(Frame, AcceptsEachFrameOnceAndInOrder, ())
{
    peer::frame_authenticator sender("key"), receiver("key"), other("another key");
    const auto body = arbitraryBytes();
    const auto first = sender.seal(body).substr(peer::frameLengthBytes);
    const auto second = sender.seal(body).substr(peer::frameLengthBytes);
    RC_ASSERT(receiver.open(second).error() == peer::peer_error::FrameNotAuthentic);
    RC_ASSERT(other.open(first).error() == peer::peer_error::FrameNotAuthentic);
    RC_ASSERT(receiver.open(first).value() == body);
    RC_ASSERT(receiver.open(first).error() == peer::peer_error::FrameNotAuthentic);
    auto altered = second;
    const auto position = *rc::gen::inRange<std::size_t>(1, altered.size());
    altered[position] = static_cast<char>(altered[position] ^ 1);
    RC_ASSERT(receiver.open(altered).error() == peer::peer_error::FrameNotAuthentic);
    RC_ASSERT(receiver.open(second).value() == body);
}

// Guards against a rotation of keys during which hosts cannot connect to each other.
TEST(Handshake, SucceedsInEveryStepOfARotation)
{
    const std::vector<std::vector<std::string>> steps{
        {keyOne}, {keyOne, keyTwo}, {keyTwo, keyOne}, {keyTwo}};
    for (std::size_t step = 0; step + 1 < steps.size(); ++step) {
        for (const auto &[client, server] :
             {std::pair(step, step + 1), std::pair(step + 1, step)}) {
            peer::client_handshake left(identity("a", steps[client]), "b");
            peer::server_handshake right(identity("b", steps[server]));
            EXPECT_EQ(handshakeError(left, right), std::error_code()) << client << server;
            EXPECT_EQ(left.keys().fromClient, right.keys().fromClient);
            EXPECT_EQ(left.keys().fromServer, right.keys().fromServer);
            EXPECT_NE(left.keys().fromServer, left.keys().fromClient);
        }
    }
}

// Guards against a peer that is accepted without a valid key, or from another cluster or host.
TEST(Handshake, RefusesInvalidPeers)
{
    peer::client_handshake wrongKey(identity("a", {keyTwo}), "b");
    peer::server_handshake server(identity("b", {keyOne}));
    EXPECT_EQ(handshakeError(wrongKey, server), peer::peer_error::AuthenticationFailed);

    peer::client_handshake wrongHost(identity("a", {keyOne}), "c");
    EXPECT_EQ(handshakeError(wrongHost, server), peer::peer_error::WrongHost);

    auto other = identity("a", {keyOne});
    other.cluster = "other";
    peer::client_handshake wrongCluster(other, "b");
    EXPECT_EQ(handshakeError(wrongCluster, server), peer::peer_error::WrongCluster);

    peer::client_handshake noKey(identity("a", {}), "b");
    EXPECT_EQ(handshakeError(noKey, server), peer::peer_error::AuthenticationFailed);
}

// Guards against a proof that is recorded and used again in a later connection, or sent back to
// the side that made it.
TEST(Handshake, RefusesReplayedAndReflectedProofs)
{
    peer::client_handshake client(identity("a", {keyOne}), "b");
    peer::server_handshake server(identity("b", {keyOne}));
    const auto challenge = server.receive(client.start());
    ASSERT_TRUE(challenge);
    const auto response = client.receive(challenge.value());
    ASSERT_TRUE(response);

    peer::server_handshake later(identity("b", {keyOne}));
    ASSERT_TRUE(later.receive(client.start()));
    EXPECT_EQ(later.receive(response.value()).error(), peer::peer_error::AuthenticationFailed);
    EXPECT_EQ(server.receive(peer::challenge_response{challenge.value().proof}).error(),
              peer::peer_error::AuthenticationFailed);
}
