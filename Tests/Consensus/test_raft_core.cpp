#include "LibCore/hash.h"
#include "raft_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::consensus;
using namespace quetzalcleat::consensus::test;

// Guards against a vote or acknowledgement that is sent before the state it depends on is synced.
TEST(RaftCore, PromisesWaitForTheSync)
{
    single_member member(voters({1, 2, 3}));
    member.advance(milliseconds(100));
    member.receive(2, 2, vote_request{false, false, {1, 1}});
    auto work = member.core.takeReady();
    EXPECT_TRUE(work.messages.empty());
    ASSERT_TRUE(work.hardState);
    EXPECT_EQ(work.hardState->votedFor, 2U);
    EXPECT_NE(find<vote_response>(work.messagesAfterSync, 2), nullptr);

    member.receive(2, 2, append_request{{1, 1}, {command(2, 2)}, 1, 0});
    work = member.core.takeReady();
    EXPECT_TRUE(work.messages.empty());
    EXPECT_EQ(work.entries.size(), 1U);
    EXPECT_NE(find<append_response>(work.messagesAfterSync, 2), nullptr);
}

// Guards against two votes in one term, also after a restart.
TEST(RaftCore, VotesOnceInATerm)
{
    single_member member(voters({1, 2, 3}));
    member.advance(milliseconds(100));
    member.receive(2, 2, vote_request{false, false, {1, 1}});
    member.receive(3, 2, vote_request{false, false, {1, 1}});
    const auto sent = member.sync();
    EXPECT_TRUE(find<vote_response>(sent, 2)->granted);
    EXPECT_FALSE(find<vote_response>(sent, 3)->granted);

    auto restored = initial(voters({1, 2, 3}));
    restored.hardState = {2, 2, 1};
    single_member restarted(restored, options(1));
    restarted.advance(milliseconds(100));
    restarted.receive(3, 2, vote_request{false, false, {1, 1}});
    EXPECT_FALSE(find<vote_response>(restarted.sync(), 3)->granted);
}

// Guards against a leader elected within the lease that a member supported before it restarted.
TEST(RaftCore, GivesNoVoteRightAfterAStart)
{
    single_member member(voters({1, 2, 3}));
    member.advance(milliseconds(99));
    member.receive(2, 2, vote_request{false, false, {1, 1}});
    EXPECT_TRUE(member.sync().empty());
    EXPECT_EQ(member.core.term(), 1U);
}

// Guards against a vote for a candidate whose log lacks entries that may be committed.
TEST(RaftCore, GivesNoVoteToAShorterLog)
{
    single_member member(voters({1, 2, 3}));
    member.receive(2, 2, append_request{{1, 1}, {command(2, 2)}, 1, 0});
    member.sync();
    member.advance(milliseconds(100));
    member.receive(3, 3, vote_request{false, false, {1, 9}});
    EXPECT_FALSE(find<vote_response>(member.sync(), 3)->granted);
}

// Guards against a leader that counts its own entry before it is synced on its own disk.
TEST(RaftCore, LeaderCountsItselfOnlyAfterItsSync)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2, 3});
    const auto committed = member.core.commitIndex();
    ASSERT_TRUE(member.core.propose({std::byte{1}}, member.now));
    const auto work = member.core.takeReady();
    member.receive(2, 2, append_response{true, member.core.lastIndex(), 0, 0});
    EXPECT_EQ(member.core.commitIndex(), committed);
    member.core.synced(work.number, member.now);
    EXPECT_EQ(member.core.commitIndex(), committed + 1);
}

// Guards against an entry of an earlier term that is committed by counting and then lost
// (dissertation, figure 3.7).
TEST(RaftCore, CommitsNoEarlierTermByCounting)
{
    auto restored = initial(voters({1, 2, 3, 4, 5}));
    restored.hardState = {2, 1, 1};
    restored.entries.push_back(command(2, 2));
    single_member member(restored, options(1));
    member.elect({2, 3});
    ASSERT_EQ(member.core.role(), raft_role::Leader);
    for (const member_id id : {2U, 3U})
        member.receive(id, 3, append_response{true, 2, 0, 0});
    EXPECT_EQ(member.core.commitIndex(), 1U);
    for (const member_id id : {2U, 3U})
        member.receive(id, 3, append_response{true, 3, 0, 0});
    EXPECT_EQ(member.core.commitIndex(), 3U);
}

// Guards against a sync that is counted for entries that were replaced and appended again in the
// meantime: the disk may hold the entries that had replaced them.
TEST(RaftCore, LateSyncDoesNotCountForReplacedEntries)
{
    single_member member(voters({1, 2, 3}));
    member.receive(2, 2, append_request{{1, 1}, {command(2, 2), command(2, 3)}, 1, 0});
    const auto first = member.core.takeReady();
    member.receive(3, 3, append_request{{1, 1}, {command(3, 2)}, 1, 0});
    const auto second = member.core.takeReady();
    member.receive(2, 4,
                   append_request{{1, 1}, {command(2, 2), command(2, 3), command(4, 4)}, 4, 0});
    const auto third = member.core.takeReady();
    EXPECT_EQ(third.entries.size(), 3U);
    member.core.synced(first.number, member.now);
    EXPECT_TRUE(member.core.takeReady().committed.empty());
    member.core.synced(second.number, member.now);
    EXPECT_TRUE(member.core.takeReady().committed.empty());
    member.core.synced(third.number, member.now);
    EXPECT_EQ(member.core.takeReady().committed.size(), 3U);
}

// Guards against a lease that outlasts the time in which the majority gives no vote.
TEST(RaftCore, LeaseEndsBeforeTheElectionTimeout)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    EXPECT_FALSE(member.core.leaseValid(member.now));
    member.acknowledge({2});
    EXPECT_TRUE(member.core.leaseValid(member.now));
    EXPECT_TRUE(member.core.leaseValid(member.now + milliseconds(89)));
    EXPECT_FALSE(member.core.leaseValid(member.now + milliseconds(90)));
    EXPECT_EQ(member.core.readIndex(member.now + milliseconds(90)).error(),
              consensus_error::LeaseExpired);
}

// Guards against a lease that is counted from the arrival of a response instead of the sending of
// the request.
TEST(RaftCore, LeaseCountsFromTheSendingTime)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    const auto sent = member.clock();
    member.now += milliseconds(60);
    member.receive(2, 2, append_response{true, member.core.lastIndex(), 0, sent});
    EXPECT_TRUE(member.core.leaseValid(member.now));
    EXPECT_FALSE(member.core.leaseValid(member.now + milliseconds(30)));
}

// Guards against a leader that keeps leading without a majority.
TEST(RaftCore, StepsDownWithoutResponses)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2});
    for (int i = 0; i < 12; ++i)
        member.advance(milliseconds(10));
    EXPECT_EQ(member.core.role(), raft_role::Follower);
    EXPECT_EQ(member.core.propose({}, member.now).error(), consensus_error::NotLeader);
}

// Guards against a lease that overlaps with the target's election.
TEST(RaftCore, TransferEndsTheLease)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2, 3});
    ASSERT_TRUE(member.core.leaseValid(member.now));
    ASSERT_TRUE(member.core.transferLeadership(2, member.now));
    EXPECT_FALSE(member.core.leaseValid(member.now));
    EXPECT_NE(find<timeout_now>(member.sync(), 2), nullptr);
    member.advance(milliseconds(100));
    EXPECT_EQ(member.core.role(), raft_role::Follower);
}

// Guards against a member that disrupts a working leader after it was partitioned off.
TEST(RaftCore, IgnoresVoteRequestsWhileALeaderIsActive)
{
    single_member member(voters({1, 2, 3}));
    member.receive(2, 5, append_request{{1, 1}, {}, 1, 0});
    member.sync();
    member.receive(3, 9, vote_request{true, false, {1, 1}});
    member.receive(3, 9, vote_request{false, false, {1, 1}});
    EXPECT_EQ(find<vote_response>(member.sync(), 3), nullptr);
    EXPECT_EQ(member.core.term(), 5U);
}

// Guards against a member that acknowledges or votes after its disk has failed.
TEST(RaftCore, SendsNothingAfterHalt)
{
    single_member member(voters({1, 2, 3}));
    member.receive(2, 2, append_request{{1, 1}, {command(2, 2)}, 1, 0});
    const auto work = member.core.takeReady();
    member.core.halt();
    member.core.synced(work.number, member.now);
    member.receive(2, 3, append_request{{1, 1}, {command(3, 2)}, 1, 0});
    member.advance(milliseconds(500));
    EXPECT_FALSE(member.core.hasReady());
    EXPECT_EQ(member.core.propose({}, member.now).error(), consensus_error::Halted);
}

// Guards against memory that grows without bound while nothing can be committed.
TEST(RaftCore, RefusesTooManyUncommittedBytes)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    const auto limit = options(1).maximumUncommittedBytes;
    const std::vector<std::byte> command(options(1).maximumCommandBytes);
    std::size_t accepted = 0;
    while (member.core.propose(command, member.now))
        ++accepted;
    EXPECT_EQ(accepted, limit / command.size());
    EXPECT_EQ(member.core.propose(command, member.now).error(), consensus_error::Overloaded);
}

// Guards against a new member that gets every large entry since the first start in place of a
// snapshot that holds the last one, and against a log that outgrows memory and disk.
TEST(RaftCore, KeepsFewBytesBehindASnapshot)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2, 3});
    const std::vector<std::byte> large(std::size_t{400} * 1024);
    for (int entry = 0; entry < 40; ++entry) {
        ASSERT_TRUE(member.core.propose(large, member.now));
        member.sync();
        member.acknowledge({2, 3});
    }
    const auto applied = member.core.status().applied;
    EXPECT_GT(member.core.compactionIndex(applied), applied - 15);
    snapshot saved{{member.core.termAt(applied), applied},
                   member.core.members(),
                   std::make_shared<const std::vector<std::byte>>()};
    member.core.snapshotSaved(std::move(saved));
    EXPECT_LE(member.core.status().logBytes, options(1).trailingBytes);
    EXPECT_GT(member.core.status().logBytes, options(1).trailingBytes / 2);
}

// Guards against more bytes on their way to one member than the send queue of its connection takes:
// what the queue drops is sent again, and the member falls behind.
TEST(RaftCore, BoundsTheBytesInFlight)
{
    single_member member(voters({1, 2, 3}));
    member.elect({2});
    member.acknowledge({2, 3});
    const std::vector<std::byte> large(std::size_t{400} * 1024);
    std::size_t bytes = 0;
    for (int entry = 0; entry < 16; ++entry) {
        ASSERT_TRUE(member.core.propose(large, member.now));
        for (const auto &message : member.sync()) {
            const auto *request = std::get_if<append_request>(&message.body);
            if (request == nullptr || message.to != 2)
                continue;
            for (const auto &each : request->entries)
                bytes += each.payload.size();
        }
    }
    EXPECT_LE(bytes, options(1).maximumInFlightBytes + large.size());
}

// Guards against candidates that split the votes again and again, each time for a whole election
// timeout and more, until the next loss is permitted.
TEST(RaftCore, CandidateTriesAgainSoon)
{
    single_member member(voters({1, 2, 3}));
    member.advance(milliseconds(250));
    member.sync();
    member.receive(2, member.core.term() + 1, vote_response{true, true});
    member.sync();
    ASSERT_EQ(member.core.role(), raft_role::Candidate);
    const auto begin = member.now;
    while (member.core.role() == raft_role::Candidate)
        member.advance(milliseconds(5));
    EXPECT_GE(member.now - begin, options(1).electionTimeout / 2);
    EXPECT_LE(member.now - begin, options(1).electionTimeout + milliseconds(5));
}

// Guards against acknowledged entries that a late snapshot removes.
TEST(RaftCore, LateSnapshotKeepsAcknowledgedEntries)
{
    single_member member(voters({1, 2, 3}));
    member.receive(2, 2,
                   append_request{{1, 1}, {command(2, 2), command(2, 3), command(2, 4)}, 1, 0});
    member.sync();
    snapshot_chunk chunk;
    chunk.last = {2, 3};
    chunk.members = voters({1, 2, 3});
    chunk.contentHash = quetzalcleat::core::hash64({}); // The whole, empty content.
    member.receive(2, 2, chunk);
    ASSERT_EQ(member.core.lastIndex(), 4U);
    EXPECT_EQ(member.core.commitIndex(), 3U);
    EXPECT_EQ(find<append_response>(member.sync(), 2)->match, 3U);
}
