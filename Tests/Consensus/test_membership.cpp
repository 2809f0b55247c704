#include "raft_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::consensus;
using namespace quetzalcleat::consensus::test;

namespace {

/// A leader of three voters that has committed an entry of its term.
single_member settledLeader()
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2, 3});
    return member;
}

void addCaughtUpLearner(single_member &member, member_id id)
{
    EXPECT_TRUE(member.core.proposeMembership({membership_change_kind::AddLearner, id, "new", 0},
                                              member.now));
    member.sync();
    member.acknowledge({2, 3, id});
}

std::error_code propose(single_member &member, membership_change change)
{
    return member.core.proposeMembership(std::move(change), member.now).error();
}

} // namespace

// Guards against a second change before the first is committed: their majorities may be disjoint.
TEST(Membership, OneChangeAtATime)
{
    auto member = settledLeader();
    EXPECT_FALSE(propose(member, {membership_change_kind::AddLearner, 4, "d", 0}));
    EXPECT_EQ(propose(member, {membership_change_kind::AddLearner, 5, "e", 0}),
              consensus_error::ChangeInProgress);
}

// Guards against a change by a leader that has committed nothing in its own term.
TEST(Membership, NeedsACommittedEntryOfTheTerm)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    EXPECT_EQ(propose(member, {membership_change_kind::AddLearner, 4, "d", 0}),
              consensus_error::ChangeInProgress);
}

// Guards against a voter without the log, which would count for a majority it cannot support.
TEST(Membership, LearnerIsPromotedOnlyWhenCaughtUp)
{
    auto member = settledLeader();
    EXPECT_FALSE(propose(member, {membership_change_kind::AddLearner, 4, "d", 0}));
    member.sync();
    member.acknowledge({2, 3});
    EXPECT_EQ(propose(member, {membership_change_kind::PromoteLearner, 4, {}, 0}),
              consensus_error::NotCaughtUp);
    member.acknowledge({4});
    EXPECT_FALSE(propose(member, {membership_change_kind::PromoteLearner, 4, {}, 0}));
    EXPECT_TRUE(member.core.members().isVoter(4));
}

// Guards against learners that count for a commit.
TEST(Membership, LearnersDoNotCommit)
{
    auto member = settledLeader();
    addCaughtUpLearner(member, 4);
    const auto committed = member.core.commitIndex();
    ASSERT_TRUE(member.core.propose({std::byte{1}}, member.now));
    member.sync();
    member.acknowledge({4});
    EXPECT_EQ(member.core.commitIndex(), committed);
}

// Guards against the loss of a majority when two voters are replaced at the same time (design page,
// 5.1).
TEST(Membership, SecondReplacementWaitsForTheFirst)
{
    auto member = settledLeader();
    addCaughtUpLearner(member, 4);
    addCaughtUpLearner(member, 5);
    member.acknowledge({4});
    EXPECT_FALSE(propose(member, {membership_change_kind::ReplaceVoter, 4, {}, 3}));
    member.sync();
    member.acknowledge({2});
    EXPECT_EQ(member.core.members().voterCount(), 2U);
    EXPECT_EQ(propose(member, {membership_change_kind::ReplaceVoter, 5, {}, 2}),
              consensus_error::ReplacementPending);
    EXPECT_EQ(propose(member, {membership_change_kind::RemoveMember, 2, {}, 0}),
              consensus_error::ReplacementPending);
    EXPECT_EQ(propose(member, {membership_change_kind::RemoveMember, 4, {}, 0}),
              consensus_error::ReplacementPending);
    // The leader takes the second step by itself.
    member.acknowledge({4, 5});
    member.advance(milliseconds(1));
    EXPECT_TRUE(member.core.members().isVoter(4));
    EXPECT_EQ(member.core.members().replacement, 0U);
    EXPECT_EQ(propose(member, {membership_change_kind::ReplaceVoter, 5, {}, 2}),
              consensus_error::ChangeInProgress);
    member.sync();
    member.acknowledge({2, 4, 5});
    EXPECT_FALSE(propose(member, {membership_change_kind::ReplaceVoter, 5, {}, 2}));
}

// Guards against a replacement that no one can finish because its learner lost its disk as well.
TEST(Membership, PendingReplacementPassesToAnotherLearner)
{
    auto member = settledLeader();
    addCaughtUpLearner(member, 4);
    EXPECT_FALSE(propose(member, {membership_change_kind::ReplaceVoter, 4, {}, 3}));
    member.sync();
    member.acknowledge({2});
    EXPECT_FALSE(propose(member, {membership_change_kind::AddLearner, 5, "new", 0}));
    member.sync();
    member.acknowledge({2});
    EXPECT_EQ(propose(member, {membership_change_kind::ReplaceVoter, 5, {}, 2}),
              consensus_error::ReplacementPending);
    EXPECT_FALSE(propose(member, {membership_change_kind::ReplaceVoter, 5, {}, 4}));
    EXPECT_EQ(member.core.members().find(4), nullptr);
    EXPECT_EQ(member.core.members().replacement, 5U);
    EXPECT_EQ(member.core.members().voterCount(), 2U);
}

// Guards against a voter that needs longer to catch up than the next failure may take to come: few
// entries can hold many bytes.
TEST(Membership, LearnerThatLacksManyBytesHasNotCaughtUp)
{
    auto member = settledLeader();
    addCaughtUpLearner(member, 4);
    const std::vector<std::byte> large(options(1).catchUpBytes / 2 + 1);
    ASSERT_TRUE(member.core.propose(large, member.now));
    member.sync();
    member.acknowledge({2, 3});
    EXPECT_TRUE(member.core.hasCaughtUp(4));
    ASSERT_TRUE(member.core.propose(large, member.now));
    member.sync();
    member.acknowledge({2, 3});
    EXPECT_FALSE(member.core.hasCaughtUp(4));
    EXPECT_EQ(propose(member, {membership_change_kind::PromoteLearner, 4, {}, 0}),
              consensus_error::NotCaughtUp);
}

// Guards against a removal after which nothing can be committed.
TEST(Membership, RemovalNeedsAnAnsweringMajority)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2});
    EXPECT_EQ(propose(member, {membership_change_kind::RemoveMember, 2, {}, 0}),
              consensus_error::QuorumAtRisk);
    EXPECT_FALSE(propose(member, {membership_change_kind::RemoveMember, 3, {}, 0}));
}

// Guards against invalid memberships, which could leave a group without voters.
TEST(Membership, DecoderRefusesInvalidMemberships)
{
    EXPECT_TRUE(decodeMembership(encodeMembership(voters({1, 2}))));
    EXPECT_FALSE(decodeMembership(encodeMembership({})));
    EXPECT_FALSE(decodeMembership(encodeMembership(voters({1, 1}))));
    EXPECT_FALSE(decodeMembership(encodeMembership(voters({0}))));
    std::vector<member_id> many(maximumMembers + 1);
    for (std::size_t i = 0; i < many.size(); ++i)
        many[i] = i + 1;
    EXPECT_FALSE(decodeMembership(encodeMembership(voters(many))));
}
