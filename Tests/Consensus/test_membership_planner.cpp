#include "LibConsensus/membership_planner.h"
#include "raft_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace quetzalcleat::consensus;
using namespace quetzalcleat::consensus::test;

namespace {

/// Member 1 leads three voters; the others answer as the test says.
class membership_planner_test : public testing::Test
{
public:
    membership_planner_test() : member(voters({1, 2, 3})), planner(plannerOptions())
    {
        member.elect({2});
        answer({2, 3});
    }

    static membership_planner_options plannerOptions()
    {
        membership_planner_options value;
        value.minimumVoters = 3;
        value.silenceTime = options(1).electionTimeout - options(1).heartbeatInterval;
        return value;
    }

    void answer(const std::vector<member_id> &ids)
    {
        for (const auto id : ids)
            planner.heard(id, member.now);
        member.acknowledge(ids);
    }

    /// Lets time pass in which these members answer, and proposes what is planned.
    void run(milliseconds time, const std::vector<member_id> &ids)
    {
        const auto end = member.now + time;
        while (member.now < end) {
            member.advance(milliseconds(10));
            answer(ids);
            for (const auto &change : planner.changes(member.core, member.now)) {
                if (member.core.proposeMembership(change, member.now))
                    break;
            }
            answer(ids);
            fewestVoters = std::min(fewestVoters, member.core.members().voterCount());
        }
    }

    std::set<member_id> currentVoters() const
    {
        std::set<member_id> ids;
        for (const auto &each : member.core.members().members) {
            if (each.role == member_role::Voter)
                ids.insert(each.id);
        }
        return ids;
    }

    single_member member;
    membership_planner planner;
    std::size_t fewestVoters = 3;
};

} // namespace

// Guards against a group that stays without a voter, and loses its majority with the next disk,
// because a host lost its disk again between the two steps of its replacement.
TEST_F(membership_planner_test, EmptiedHostIsReplacedAgainBeforeItIsAVoter)
{
    planner.joinRequested("3", 4, member.now);
    for (int round = 0; round < 20 && member.core.members().replacement != 4; ++round) {
        member.advance(milliseconds(10));
        answer({2});
        for (const auto &change : planner.changes(member.core, member.now)) {
            if (member.core.proposeMembership(change, member.now))
                break;
        }
        answer({2, 4});
    }
    ASSERT_EQ(member.core.members().replacement, 4U);
    ASSERT_EQ(currentVoters(), (std::set<member_id>{1, 2}));
    planner.joinRequested("3", 5, member.now);
    run(milliseconds(500), {2, 5});
    EXPECT_EQ(currentVoters(), (std::set<member_id>{1, 2, 5}));
    EXPECT_EQ(member.core.members().find(4), nullptr);
}

// Guards against a replacement that blocks all others because its host never comes back.
TEST_F(membership_planner_test, AnotherHostTakesTheFreeSeat)
{
    planner.joinRequested("3", 4, member.now);
    for (int round = 0; round < 20 && member.core.members().replacement != 4; ++round)
        run(milliseconds(10), {2, 4});
    ASSERT_TRUE(member.core.members().replacement == 4 || currentVoters().contains(4));
    planner.joinRequested("new", 5, member.now);
    run(milliseconds(4000), {2, 5});
    EXPECT_TRUE(currentVoters().contains(5));
    EXPECT_FALSE(currentVoters().contains(4));
}

// Guards against a voter that left as planned and counts on, so that the next lost disk takes the
// majority: it stops only when it is no voter any more, and its successor takes its place first.
TEST_F(membership_planner_test, VoterThatLeavesIsRemovedBeforeItStops)
{
    planner.joinRequested("4", 4, member.now);
    run(milliseconds(300), {2, 3, 4});
    EXPECT_EQ(currentVoters(), (std::set<member_id>{1, 2, 3}));
    EXPECT_FALSE(planner.releases(member.core, 3, member.now));
    planner.leaveRequested(3, milliseconds(4000), member.now);
    run(milliseconds(300), {2, 3, 4});
    EXPECT_EQ(currentVoters(), (std::set<member_id>{1, 2, 4}));
    EXPECT_TRUE(planner.releases(member.core, 3, member.now));
    EXPECT_EQ(fewestVoters, 3U);
}

// Guards against a planned restart that waits for a successor that does not exist.
TEST_F(membership_planner_test, VoterWithoutASuccessorMayStopAtOnce)
{
    planner.leaveRequested(3, milliseconds(4000), member.now);
    EXPECT_TRUE(planner.releases(member.core, 3, member.now));
    run(milliseconds(500), {2});
    EXPECT_EQ(currentVoters(), (std::set<member_id>{1, 2, 3}));
}

// Guards against a fourth voter that is gone without notice and still counts when the next disk is
// lost: the leader has to remove it before it steps down for lack of a majority.
TEST_F(membership_planner_test, SilentVoterBeyondTheWantedNumberIsRemovedInTime)
{
    planner.joinRequested("4", 4, member.now);
    run(milliseconds(2500), {2, 3, 4});
    ASSERT_EQ(currentVoters(), (std::set<member_id>{1, 2, 3, 4}));
    run(milliseconds(10), {3, 4});
    run(milliseconds(100), {4});
    EXPECT_EQ(member.core.role(), raft_role::Leader);
    EXPECT_EQ(currentVoters().size(), 3U);
    EXPECT_TRUE(currentVoters().contains(4));
}

// Guards against a leader that was paused, has not read its messages yet and takes the others for
// gone.
TEST_F(membership_planner_test, PausedLeaderReplacesNobody)
{
    planner.joinRequested("4", 4, member.now);
    run(milliseconds(300), {2, 3, 4});
    member.now += options(1).electionTimeout - milliseconds(5);
    for (const auto &change : planner.changes(member.core, member.now))
        EXPECT_NE(change.kind, membership_change_kind::ReplaceVoter);
}

// Guards against learners of hosts that are gone, which would fill the bound of the members until
// no host could join.
TEST_F(membership_planner_test, LostLearnersAreRemoved)
{
    for (member_id id = 10; id < 10 + 2 * maximumMembers; ++id) {
        planner.joinRequested("new-" + std::to_string(id), id, member.now);
        run(milliseconds(600), {2, 3});
    }
    planner.joinRequested("last", 5, member.now);
    run(milliseconds(600), {2, 3, 5});
    EXPECT_NE(member.core.members().find(5), nullptr);
    EXPECT_LT(member.core.members().members.size(), maximumMembers);
}

// Guards against the removal of a voter by a late request of an earlier process of its host.
TEST_F(membership_planner_test, LateRequestOfAnEarlierIdChangesNoVoter)
{
    planner.joinRequested("3", 99, member.now);
    run(milliseconds(1400), {2, 3});
    EXPECT_EQ(currentVoters(), (std::set<member_id>{1, 2, 3}));
}
