#include "raft_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat::consensus;
using namespace quetzalcleat::consensus::test;

namespace {

std::vector<raft_message> examples()
{
    snapshot_chunk chunk{{3, 9}, voters({1, 2}), 5, 77, 2, {std::byte{1}}, -4};
    return {{1, 2, 3, 4, vote_request{true, false, {3, 9}}},
            {1, 2, 3, 4, vote_response{false, true}},
            {1, 2, 3, 4, append_request{{2, 5}, {command(2, 6), command(3, 7)}, 5, -9}},
            {1, 2, 3, 4, append_response{true, 6, 3, 8}},
            {1, 2, 3, 4, chunk},
            {1, 2, 3, 4, snapshot_response{{3, 9}, 4, 8}},
            {1, 2, 3, 4, timeout_now{}}};
}

} // namespace

// Guards against fields that are lost or mixed up on the wire, and against truncated messages.
TEST(Messages, SurviveEncodingAndRefuseTruncation)
{
    for (const auto &message : examples()) {
        const auto bytes = encodeMessage(message);
        const auto decoded = decodeMessage(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(encodeMessage(decoded.value()), bytes);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            EXPECT_FALSE(decodeMessage(std::span(bytes).first(size)));
    }
}

// Guards against a length field that makes the decoder allocate memory it has no input for.
TEST(Messages, RefuseHugeCounts)
{
    auto bytes = encodeMessage({0, 1, 2, 3, append_request{}});
    for (std::size_t i = 1; i <= 4; ++i)
        bytes[bytes.size() - i] = std::byte{0xff};
    EXPECT_EQ(decodeMessage(bytes).error(), consensus_error::MalformedMessage);
    EXPECT_EQ(decodeMessage(std::vector<std::byte>(maximumMessageBytes + 1)).error(),
              consensus_error::MessageTooLarge);
    bytes[0] = std::byte{9};
    EXPECT_EQ(decodeMessage(bytes).error(), consensus_error::UnsupportedVersion);
}

// Guards against a damaged message that crashes the decoder or the core.
RC_GTEST_PROP(Messages, DamagedBytesCauseNoCrash, ())
{
    const auto all = examples();
    auto bytes = encodeMessage(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::map(
            rc::gen::inRange(0, 256), [](int value) { return static_cast<std::byte>(value); });
    auto decoded = decodeMessage(bytes);
    if (!decoded)
        return;
    single_member member(voters({1, 2, 3}));
    auto message = std::move(decoded).value();
    message.group = 0;
    message.to = 1;
    member.core.receive(message, member.now);
    member.sync();
}
