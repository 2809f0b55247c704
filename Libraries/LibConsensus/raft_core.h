#pragma once

#include "LibConsensus/consensus_error.h"
#include "LibConsensus/membership.h"
#include "LibConsensus/raft_message.h"
#include "LibCore/result.h"
#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace quetzalcleat::consensus {

struct raft_options
{
    group_id group = 0;
    member_id self = 0;
    /// A member that heard from a leader gives no vote for this long. Elections start after a
    /// random time between once and twice this value. With 20 ms between regions, 1 s leaves room
    /// for several lost heartbeats.
    std::chrono::milliseconds electionTimeout{1000};
    std::chrono::milliseconds heartbeatInterval{150};
    /// The lease is shorter than the election timeout by this many parts in a thousand, to allow
    /// for clocks that run at different rates.
    std::uint32_t leaseMarginPermille = 100;
    std::size_t maximumCommandBytes = maximumPayloadBytes;
    /// Payload of one append request. An entry that is larger is sent alone.
    std::size_t maximumAppendBytes = std::size_t{256} * 1024;
    std::size_t maximumAppendEntries = 1024;
    /// Unacknowledged append requests to one member, and their payload. The bytes fit into the send
    /// queue of a connection (peer::connection_options) together with other messages: what it
    /// drops has to be sent again. A single entry may be larger.
    std::size_t maximumInFlight = 16;
    std::size_t maximumInFlightBytes = std::size_t{2} * 1024 * 1024;
    /// Proposals beyond this many uncommitted bytes are refused as Overloaded.
    std::size_t maximumUncommittedBytes = std::size_t{16} * 1024 * 1024;
    std::size_t snapshotChunkBytes = std::size_t{256} * 1024;
    /// A larger snapshot is refused before any of it is stored.
    std::uint64_t maximumSnapshotBytes = std::uint64_t{512} * 1024 * 1024;
    /// A learner has caught up if it misses at most this many entries and bytes, or one entry.
    log_index catchUpEntries = 64;
    std::size_t catchUpBytes = std::size_t{1024} * 1024;
    /// Entries and bytes kept behind a snapshot, so that a member that lags slightly needs no
    /// snapshot. Without the bound of bytes an emptied member would get every large entry since the
    /// first start in place of a snapshot that holds the last one.
    log_index trailingEntries = 1000;
    std::size_t trailingBytes = std::size_t{4} * 1024 * 1024;
    /// Up to this log size the leader also keeps entries that responding members still need.
    /// Otherwise the entries after a snapshot that takes long to send would be gone when it
    /// arrives, and the member would need another snapshot each time.
    std::size_t maximumRetainedBytes = std::size_t{24} * 1024 * 1024;
};

/// The persistent state that log_store has read.
struct restored_state
{
    hard_state hardState;
    std::optional<snapshot> latestSnapshot;
    std::vector<log_entry> entries; ///< Consecutive; the first is at most last.index + 1.
};

/// Work for the owner of raft_core. The parts are handled in this order: send `messages` at any
/// time; hand `snapshotToInstall`, `hardState` and `entries` to the store and sync them; send
/// `messagesAfterSync`; call raft_core::synced; restore the state machine from
/// `snapshotToInstall`; apply `committed`. If writing or syncing fails, the rest is dropped and
/// raft_core::halt called.
struct ready
{
    std::uint64_t number = 0; ///< Grows by one with each ready; for raft_core::synced.
    std::optional<hard_state> hardState;
    std::optional<snapshot> snapshotToInstall;
    /// The first entry may replace entries with the same or a higher index.
    std::vector<log_entry> entries;
    std::vector<raft_message> messages;
    std::vector<raft_message> messagesAfterSync; ///< Votes and responses that depend on the sync.
    /// In order, each once; synced here before, so safe to apply.
    std::vector<log_entry> committed;

    bool needsSync() const
    {
        return hardState.has_value() || snapshotToInstall.has_value() || !entries.empty();
    }
};

enum class raft_role { Follower, PreCandidate, Candidate, Leader };

struct raft_status
{
    raft_role role = raft_role::Follower;
    term_number term = 0;
    member_id leader = 0; ///< 0 if unknown.
    log_index lastIndex = 0;
    log_index commit = 0;
    log_index applied = 0; ///< Handed out in ready::committed.
    log_index snapshotIndex = 0;
    std::size_t logBytes = 0; ///< Payload of the entries in memory.
    bool halted = false;
    membership members;
    log_index membershipIndex = 0; ///< Where `members` was written.
    /// Leader only: synced index of each other member.
    std::map<member_id, log_index> matches;
};

/// The Raft algorithm as a pure state machine: no I/O, no clock, no thread.
///
/// Follows Diego Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections and
/// replication (chapter 3), single-server membership changes and learners (4.1, 4.2.1), leader
/// transfer (3.10), snapshots (5), leases (6.4.1), check quorum (6.2) and pre-vote (9.6).
///
/// The lease is safe because of three rules:
/// 1. A member that heard from a leader gives no vote for electionTimeout by its own monotonic
///    clock, also not after a restart.
/// 2. The leader counts its lease from the time at which it sent the messages that a majority
///    responded to.
/// 3. A leader that asks another member to take over gives up its lease first.
///
/// Precondition: the monotonic clock keeps running while the process is paused.
class raft_core
{
public:
    raft_core(raft_options options, restored_state restored, std::uint64_t seed, core::instant now);

    /// Drives timeouts. To be called at least every quarter of a heartbeat interval.
    void tick(core::instant now);

    /// Handles a message. Those of other groups, to other receivers or with impossible content are
    /// ignored.
    void receive(const raft_message &message, core::instant now);

    /// Appends a command if this member leads. It is committed only once it appears in
    /// ready::committed at the returned position, with the same term.
    /// Errors: NotLeader, Overloaded, CommandTooLarge, Halted.
    core::result<log_position> propose(std::vector<std::byte> command, core::instant now);

    /// Errors: NotLeader, Halted, ChangeInProgress, ReplacementPending, UnknownMember,
    /// AlreadyMember, NotCaughtUp, QuorumAtRisk, InvalidMembership.
    core::result<log_position> proposeMembership(membership_change change, core::instant now);

    /// Transfers leadership to a caught-up voter. The lease ends at once.
    /// Errors: NotLeader, Halted, UnknownMember, NotCaughtUp, ChangeInProgress.
    core::result<void> transferLeadership(member_id target, core::instant now);

    bool hasReady() const;
    /// May be called again before the previous ready is synced; syncs happen in order.
    ready takeReady();

    /// Everything in the ready with this number and in earlier ones is synced.
    void synced(std::uint64_t readyNumber, core::instant now);

    /// A snapshot of this member's state machine is synced on disk; drops the entries up to
    /// compactionIndex() of its index.
    void snapshotSaved(snapshot saved);

    /// The store failed: from now on the member sends nothing and ignores messages.
    void halt();

    /// True if this member leads, has committed an entry of its own term, and no other leader can
    /// have been elected before `now`.
    bool leaseValid(core::instant now) const;

    /// The index that must be applied before the state may be read, or NotLeader or LeaseExpired.
    core::result<log_index> readIndex(core::instant now) const;

    /// Members as of an applied index that is not below the snapshot's, for a new snapshot.
    membership membershipAt(log_index index) const;
    /// Term of an entry in memory or of the one before it; 0 if the entry is not known.
    term_number termAt(log_index index) const;
    /// For log_store::saveSnapshot: the entries above this index are kept.
    log_index compactionIndex(log_index snapshotIndex) const;

    raft_status status() const;
    member_id self() const { return m_options.self; }
    raft_role role() const { return m_role; }
    term_number term() const { return m_hardState.term; }
    member_id leader() const { return m_leader; }
    log_index commitIndex() const { return m_hardState.commit; }
    log_index lastIndex() const { return m_base.index + m_log.size(); }
    log_index snapshotIndex() const { return m_snapshot ? m_snapshot->last.index : 0; }
    bool halted() const { return m_halted; }
    /// The membership in force: the newest one in the log, committed or not.
    const membership &members() const { return m_memberships.back().members; }
    bool membershipCommitted() const { return m_memberships.back().index <= commitIndex(); }
    /// Leader only: whether a member has so much of the log that it could be promoted.
    bool hasCaughtUp(member_id id) const;

private:
    enum class replication_mode { Probe, Replicate, Snapshot };

    struct request_in_flight
    {
        log_index last = 0;
        std::size_t bytes = 0;
    };

    struct progress
    {
        replication_mode mode = replication_mode::Probe;
        log_index match = 0;
        log_index next = 1;
        std::deque<request_in_flight> inFlight; ///< Append requests without a response.
        bool probeSent = false;
        std::optional<snapshot> outgoingSnapshot; ///< In mode Snapshot.
        std::uint64_t contentHash = 0;
        std::uint64_t snapshotOffset = 0;
        log_index commitSent = 0;
        core::instant lastProgress; ///< Of match or snapshotOffset, or of the first message sent.
        core::instant lastSend;
        std::optional<core::instant> lastResponse;
        /// Sending time of the newest message that the member responded to.
        std::optional<core::instant> leaseFrom;
    };

    struct pending_sync
    {
        std::uint64_t number = 0;
        std::optional<hard_state> hardState;
        log_position last;
    };

    struct incoming_snapshot
    {
        member_id from = 0;
        log_position last;
        std::uint64_t contentHash = 0;
        std::uint64_t totalBytes = 0;
        std::vector<std::byte> content;
    };

    struct membership_record
    {
        log_index index = 0;
        membership members;
    };

    // Log in memory
    log_position lastPosition() const { return {termAt(lastIndex()), lastIndex()}; }
    const log_entry &entryAt(log_index index) const { return m_log[index - m_base.index - 1]; }
    void restoreLog(restored_state restored);
    bool appendToLog(log_entry entry);
    log_index appendAsLeader(entry_kind kind, std::vector<std::byte> payload);
    void truncateFrom(log_index index);
    log_index conflictHint(log_index upTo, term_number term) const;
    bool isVoter() const { return members().isVoter(m_options.self); }

    // Elections
    void resetElectionTimer();
    void resetCandidateTimer();
    bool heardFromLeaderRecently() const;
    void becomeFollower(term_number term, member_id leader);
    void startPreVote();
    void startElection(bool transfer);
    void becomeLeader();
    void countVotes();
    bool majorityResponds(const membership &voters) const;
    void tickLeader();
    void handle(member_id from, term_number term, const vote_request &request);
    void handle(member_id from, term_number term, const vote_response &response);
    void handle(member_id from, term_number term, const timeout_now &);
    bool acceptLeader(member_id from, term_number term, std::int64_t leaderClock);

    // Replication
    void send(member_id to, decltype(raft_message::body) body);
    void sendAfterSync(member_id to, decltype(raft_message::body) body);
    void handle(member_id from, term_number term, const append_request &request);
    void handle(member_id from, term_number term, const append_response &response);
    void handle(member_id from, term_number term, const snapshot_chunk &chunk);
    void handle(member_id from, term_number term, const snapshot_response &response);
    bool appendReceived(const append_request &request);
    void replicate(member_id to, progress &state);
    bool isWindowFull(const progress &state) const;
    bool sendEntries(member_id to, progress &state);
    void sendHeartbeat(member_id to, progress &state);
    void startSnapshot(member_id to, progress &state);
    void sendChunk(member_id to, progress &state);
    void tickMember(member_id to, progress &state);
    void recordResponse(progress &state, std::int64_t leaderClock) const;
    void recordMatch(member_id from, progress &state, log_index match);
    void advanceCommit();
    void installSnapshot(const snapshot &received);

    // Membership
    void membershipChanged();
    core::result<membership> changedMembership(const membership_change &change) const;
    bool isResponsive(const progress &state) const;
    bool misses(const progress &state, log_index entries, std::size_t bytes) const;
    log_index trailingIndex(log_index snapshotIndex) const;
    void finishReplacement();
    void finishTransfer();

    raft_options m_options;
    std::mt19937_64 m_random;

    hard_state m_hardState;
    hard_state m_handedOutHardState; ///< The one in the last ready that had one.
    hard_state m_syncedHardState; ///< The last one known to be synced.
    core::instant m_now; ///< Time of the last call.
    raft_role m_role = raft_role::Follower;
    member_id m_leader = 0;
    bool m_halted = false;

    std::optional<snapshot> m_snapshot;
    std::size_t m_logBytes = 0;
    log_position m_base; ///< The entry before the first one in memory.
    std::deque<log_entry> m_log;
    log_index m_nextToHandOut = 1; ///< First index that no ready has handed out.
    log_index m_syncedIndex = 0; ///< Highest index that is synced here.
    log_index m_applied = 0; ///< Handed out as committed.
    std::vector<membership_record> m_memberships; ///< By index; the last one is in force.

    core::instant m_lastLeaderContact;
    core::instant m_electionDeadline;
    core::instant m_leaderSince;
    log_index m_termStart = 0; ///< Index of the leader's first entry of its term.
    bool m_leaseForfeited = false;
    member_id m_transferTarget = 0;
    core::instant m_transferDeadline;
    std::set<member_id> m_votes;
    std::map<member_id, progress> m_progress;
    std::size_t m_uncommittedBytes = 0;

    std::uint64_t m_readyNumber = 0;
    std::deque<pending_sync> m_pendingSyncs;
    std::vector<raft_message> m_messages;
    std::vector<raft_message> m_messagesAfterSync;
    std::optional<snapshot> m_snapshotToInstall;
    std::optional<incoming_snapshot> m_incomingSnapshot;
};

} // namespace quetzalcleat::consensus
