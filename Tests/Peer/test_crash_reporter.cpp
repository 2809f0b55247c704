#include "LibPeer/crash_reporter.h"
#include "LibPeer/frame.h"
#include "LibPeer/message_codec.h"

#include <numeric>
#include <vector>

#include <gtest/gtest.h>

namespace quetzalcleat::peer::test {

using namespace std::chrono_literals;

/// A host and the leader that it reports to.
class crash_reporter_test : public testing::Test
{
protected:
    configuration_lease_request request()
    {
        configuration_lease_request sent;
        sent.sequence = ++m_sequence;
        reporter.addTo(sent, now);
        return sent;
    }

    static configuration_lease_answer answerOf(std::uint64_t epoch, std::uint64_t sequence)
    {
        configuration_lease_answer answer;
        answer.quarantineEpoch = epoch;
        answer.sequence = sequence;
        return answer;
    }

    policy::crash_witness witness;
    crash_reporter reporter{witness};
    core::instant now{1h};

private:
    std::uint64_t m_sequence = 0;
};

/// Guards against reports that are dropped although no leader has received them.
TEST_F(crash_reporter_test, ReportsAreSentUntilALeaderAnswers)
{
    reporter.read("leader", answerOf(1, request().sequence), now);
    witness.recordBroken("engine", {5}, now);
    witness.recordLost("engine", now);
    EXPECT_EQ(request().crashSuspects.size(), 1U);
    const auto sent = request();
    ASSERT_EQ(sent.crashSuspects.size(), 1U);
    EXPECT_EQ(sent.crashSuspects[0].parts, std::vector<std::uint64_t>{5});
    // No answer of a leader.
    reporter.read("follower", answerOf(0, sent.sequence), now);
    EXPECT_EQ(request().crashSuspects.size(), 1U);
    reporter.read("leader", answerOf(1, sent.sequence), now);
    EXPECT_TRUE(request().crashSuspects.empty());
    // A new leader has no reports.
    reporter.read("other", answerOf(2, request().sequence), now);
    EXPECT_EQ(request().crashSuspects.size(), 1U);
}

/// Guards against a change of leader that ends a quarantine: deadly requests are sent again until
/// the new leader has counted crashes of its own.
TEST_F(crash_reporter_test, NewLeaderLearnsTheQuarantineFromHosts)
{
    auto first = answerOf(1, request().sequence);
    first.quarantinedParts = {{7, 60'000, 0}};
    EXPECT_TRUE(reporter.read("leader", first, now));
    EXPECT_TRUE(request().quarantinedParts.empty());

    const auto early = request();
    const auto late = request();
    EXPECT_FALSE(reporter.read("other", answerOf(2, early.sequence), now));
    const auto telling = request();
    ASSERT_EQ(telling.quarantinedParts.size(), 1U);
    // Answers to a request from before do not reflect it.
    EXPECT_FALSE(reporter.read("other", answerOf(2, late.sequence), now));
    EXPECT_TRUE(witness.findQuarantined({7}, now));

    policy::part_quarantine quarantine;
    recordCrashes(quarantine, "host", telling, now);
    auto answer = answerOf(2, telling.sequence);
    addQuarantine(answer, quarantine, "host", {1, 250ms}, 2, now);
    EXPECT_FALSE(reporter.read("other", answer, now));
    EXPECT_TRUE(witness.findQuarantined({7}, now));
    EXPECT_TRUE(request().quarantinedParts.empty());
    // From here on the leader decides.
    EXPECT_FALSE(reporter.read("other", answerOf(2, request().sequence), now));
    EXPECT_FALSE(witness.findQuarantined({7}, now));
}

/// Guards against prompts of which the leader gets a part only (review/9): the longest ones that a
/// head of 64 KiB holds arrive whole, one in each request.
TEST_F(crash_reporter_test, LongPromptsArriveWhole)
{
    constexpr std::size_t prompts = 2;
    constexpr std::size_t longest = 64 * 1024 / 4;
    reporter.read("leader", answerOf(1, request().sequence), now);
    std::vector<std::uint64_t> parts(longest);
    std::iota(parts.begin(), parts.end(), std::uint64_t{1} << 63U);
    for (std::size_t count = 0; count < prompts; ++count)
        witness.recordBroken("engine", parts, now);
    witness.recordLost("engine", now);
    for (std::size_t count = 0; count < prompts; ++count) {
        const auto sent = request();
        ASSERT_EQ(sent.crashSuspects.size(), 1U);
        EXPECT_EQ(sent.crashSuspects[0].parts, parts);
        const auto encoded = encodeMessage(sent);
        EXPECT_LT(encoded.size(), maximumFrameBytes);
        EXPECT_EQ(decodeMessage(encoded).value(), message(sent));
        reporter.read("leader", answerOf(1, sent.sequence), now);
    }
    EXPECT_TRUE(request().crashSuspects.empty());
}

/// Guards against ages that a host makes up: they are bounded.
TEST_F(crash_reporter_test, HugeAgesAreBounded)
{
    configuration_lease_request sent;
    sent.crashSuspects = {{"engine", {5}, ~std::uint64_t{0}}};
    sent.partAnswers = {{5, ~std::uint64_t{0}}};
    sent.quarantinedParts = {{6, ~std::uint64_t{0}, ~std::uint32_t{0}}};
    policy::part_quarantine quarantine;
    recordCrashes(quarantine, "host", sent, now);
    quarantine.update({1, 250ms}, now);
    const auto parts = quarantine.quarantined(now);
    ASSERT_EQ(parts.size(), 1U);
    EXPECT_EQ(parts[0].part, 6U);
    EXPECT_LT(parts[0].until, now + 24h * 365);
}

} // namespace quetzalcleat::peer::test
