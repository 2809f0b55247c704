#include "LibState/command.h"
#include "addressed_fleet.h"

namespace quetzalcleat::peer::test {

class membership_changes : public addressed_fleet
{
protected:
    void SetUp() override
    {
        for (const auto &seed : seeds)
            startControl(seed, true);
    }

    std::string follower()
    {
        const auto at = waitForLeader();
        for (const auto &[ip, host] : controls) {
            if (ip != at)
                return ip;
        }
        return {};
    }

    /// As a process does it that gets a signal to stop.
    bool leaves(const std::string &ip)
    {
        return until([&] {
            controls.at(ip).service->leave(std::chrono::seconds(60));
            runFor(context, std::chrono::milliseconds(100));
            return controls.at(ip).service->hasLeft();
        });
    }
};

/// Guards against a control host that stops as planned and counts as a voter until the others have
/// noticed its silence: the loss of one disk then takes the majority for good (review/2).
TEST_F(membership_changes, HostThatLeavesAsPlannedDoesNotCountAnyMore)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    startControl("127.0.1.4", false);
    ASSERT_TRUE(until([this] { return controls.at("127.0.1.4").service->isVoter(); }));
    const std::string leaving = leader() == "127.0.1.1" ? "127.0.1.2" : "127.0.1.1";
    ASSERT_TRUE(leaves(leaving));
    auto remaining = seeds;
    std::erase(remaining, leaving);
    remaining.push_back("127.0.1.4");
    ASSERT_TRUE(votersAre(remaining));
    stopControl(leaving);
    // At once, without time to notice the silence of the first one.
    const auto emptied = follower();
    stopControl(emptied);
    removeData(emptied);
    startControl(emptied, false);
    EXPECT_EQ(newestVersion(), 4U);
    EXPECT_EQ(write(6), write_outcome::Accepted);
}

/// Guards against a leader that leaves and does not transfer its leadership, or is told to stop
/// while others need it as a voter.
TEST_F(membership_changes, LeaderLeavesAsPlanned)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    startControl("127.0.1.4", false);
    ASSERT_TRUE(until([this] { return controls.at("127.0.1.4").service->isVoter(); }));
    const auto leaving = waitForLeader();
    ASSERT_TRUE(leaves(leaving));
    auto remaining = seeds;
    remaining.push_back("127.0.1.4");
    std::erase(remaining, leaving);
    EXPECT_TRUE(until([&] { return votersAre(remaining); }));
    EXPECT_NE(leader(), leaving);
}

/// Guards against a planned restart of one of three hosts that waits for a successor.
TEST_F(membership_changes, HostWithoutASuccessorStaysAMember)
{
    EXPECT_EQ(write(4), write_outcome::Accepted);
    const auto leaving = follower();
    ASSERT_TRUE(leaves(leaving));
    stopControl(leaving);
    EXPECT_EQ(write(6), write_outcome::Accepted);
    EXPECT_TRUE(votersAre(seeds));
    startControl(leaving, false);
    EXPECT_EQ(write(8), write_outcome::Accepted);
}

/// Guards against a log whose documents fill the disk and are all copied to a host that lost its
/// own, which takes longer than the others may be needed (review/1).
TEST_F(membership_changes, LongHistoryOfLargeDocumentsStaysSmall)
{
    constexpr std::size_t padding = std::size_t{300} * 1024;
    constexpr std::uint64_t changes = 160;
    for (std::uint64_t version = 1; version <= changes; ++version)
        ASSERT_EQ(write(version, padding), write_outcome::Accepted);
    // Less than two thirds of what was written, and more than a snapshot and the segments that
    // hold the entries behind and after it.
    constexpr std::uintmax_t bound = std::uintmax_t{30} * 1024 * 1024;
    static_assert(bound < changes * padding * 2 / 3);
    EXPECT_TRUE(until([&] {
        return std::all_of(seeds.begin(), seeds.end(),
                           [&](const std::string &seed) { return dataBytes(seed) < bound; });
    }));
    const auto emptied = follower();
    stopControl(emptied);
    removeData(emptied);
    startControl(emptied, false);
    ASSERT_TRUE(until([&] { return controls.at(emptied).service->isVoter(); }));
    constexpr std::uintmax_t copied = std::uintmax_t{10} * 1024 * 1024;
    EXPECT_LT(dataBytes(emptied), copied);
    EXPECT_EQ(newestVersion(), changes);
}

/// Guards against a document that operators may send and the log cannot carry: it was refused as
/// undecided for as long as it was sent.
TEST_F(membership_changes, LargestDocumentIsAccepted)
{
    EXPECT_EQ(write(1), write_outcome::Accepted);
    const auto at = waitForLeader();
    constexpr std::size_t padding = state::maximumDocumentBytes - 1;
    std::optional<write_outcome> outcome;
    controls.at(at).writer->write("2" + std::string(padding, ' '), 2,
                                  [&](write_outcome result) { outcome = result; });
    ASSERT_TRUE(until([&] { return outcome.has_value(); }));
    EXPECT_EQ(*outcome, write_outcome::Accepted);
    const auto emptied = follower();
    stopControl(emptied);
    removeData(emptied);
    startControl(emptied, false);
    EXPECT_TRUE(until([&] { return controls.at(emptied).feed->revision() != 0; }));
    EXPECT_EQ(newestVersion(), 2U);
}

} // namespace quetzalcleat::peer::test
