#include "LibConsensus/raft_core.h"

#include <algorithm>
#include <functional>

namespace quetzalcleat::consensus {

void raft_core::resetElectionTimer()
{
    using duration = core::instant::duration;
    const auto shortest = duration(m_options.electionTimeout).count();
    std::uniform_int_distribution<duration::rep> extra(0, shortest);
    m_electionDeadline = m_now + duration(shortest + extra(m_random));
}

/// Candidates that split the votes try again sooner than members that wait for a leader: nobody has
/// heard of one for an election timeout, and the time without one must be far below the time in
/// which a lost voter is replaced.
void raft_core::resetCandidateTimer()
{
    using duration = core::instant::duration;
    const auto longest = duration(m_options.electionTimeout).count();
    std::uniform_int_distribution<duration::rep> time(longest / 2, longest);
    m_electionDeadline = m_now + duration(time(m_random));
}

bool raft_core::heardFromLeaderRecently() const
{
    return m_role == raft_role::Leader || m_now - m_lastLeaderContact < m_options.electionTimeout;
}

void raft_core::becomeFollower(term_number term, member_id leader)
{
    if (term > m_hardState.term) {
        m_hardState.term = term;
        m_hardState.votedFor = 0;
        m_incomingSnapshot.reset();
    }
    m_role = raft_role::Follower;
    m_leader = leader;
    m_transferTarget = 0;
    m_votes.clear();
    m_progress.clear();
    resetElectionTimer();
}

/// Asks the voters whether an election could be won, so that a candidate without a chance does not
/// raise the term of the others.
void raft_core::startPreVote()
{
    becomeFollower(m_hardState.term, 0);
    m_role = raft_role::PreCandidate;
    m_votes = {m_options.self};
    if (members().quorum() == 1) {
        startElection(false);
        return;
    }
    for (const auto &each : members().members) {
        if (each.role != member_role::Voter || each.id == m_options.self)
            continue;
        m_messages.push_back({m_options.group, m_options.self, each.id, m_hardState.term + 1,
                              vote_request{true, false, lastPosition()}});
    }
}

void raft_core::startElection(bool transfer)
{
    becomeFollower(m_hardState.term + 1, 0);
    m_role = raft_role::Candidate;
    resetCandidateTimer();
    m_hardState.votedFor = m_options.self;
    // Requests are sent after the sync: a candidate that restarts with a shorter log must not win
    // by votes that were given for the longer one. Its own vote also counts only after the sync.
    for (const auto &each : members().members) {
        if (each.role == member_role::Voter && each.id != m_options.self)
            sendAfterSync(each.id, vote_request{false, transfer, lastPosition()});
    }
}

void raft_core::countVotes()
{
    if (m_syncedHardState.term == m_hardState.term && m_syncedHardState.votedFor == m_options.self)
        m_votes.insert(m_options.self);
    const auto given
        = std::ranges::count_if(m_votes, [this](member_id id) { return members().isVoter(id); });
    if (m_votes.contains(m_options.self) && static_cast<std::size_t>(given) >= members().quorum())
        becomeLeader();
}

void raft_core::becomeLeader()
{
    m_role = raft_role::Leader;
    m_leader = m_options.self;
    m_leaderSince = m_now;
    m_leaseForfeited = false;
    m_votes.clear();
    m_progress.clear();
    m_uncommittedBytes = 0;
    for (auto index = m_hardState.commit + 1; index <= lastIndex(); ++index)
        m_uncommittedBytes += entryAt(index).payload.size();
    membershipChanged();
    m_termStart = appendAsLeader(entry_kind::Empty, {});
    advanceCommit();
}

bool raft_core::majorityResponds(const membership &voters) const
{
    const auto counts = [&](const member &each) {
        if (each.role != member_role::Voter)
            return false;
        if (each.id == m_options.self)
            return true;
        const auto found = m_progress.find(each.id);
        return found != m_progress.end() && isResponsive(found->second);
    };
    const auto count = std::ranges::count_if(voters.members, counts);
    return static_cast<std::size_t>(count) >= voters.quorum();
}

void raft_core::tickLeader()
{
    const bool settled = m_now - m_leaderSince >= m_options.electionTimeout;
    const bool transferFailed = m_transferTarget != 0 && m_now >= m_transferDeadline;
    if ((settled && !majorityResponds(members())) || transferFailed) {
        becomeFollower(m_hardState.term, 0);
        return;
    }
    for (auto &[id, state] : m_progress)
        tickMember(id, state);
    finishReplacement();
}

bool raft_core::leaseValid(core::instant now) const
{
    if (m_halted || m_role != raft_role::Leader || m_leaseForfeited
        || m_hardState.commit < m_termStart)
        return false;
    std::vector<core::instant> starts;
    for (const auto &each : members().members) {
        if (each.role != member_role::Voter)
            continue;
        const auto found = m_progress.find(each.id);
        if (each.id == m_options.self)
            starts.push_back(now);
        else if (found != m_progress.end() && found->second.leaseFrom)
            starts.push_back(*found->second.leaseFrom);
    }
    const auto quorum = members().quorum();
    if (starts.size() < quorum)
        return false;
    std::ranges::sort(starts, std::greater<>());
    const core::instant::duration timeout = m_options.electionTimeout;
    const auto length = timeout * (1000 - m_options.leaseMarginPermille) / 1000;
    return now < starts[quorum - 1] + length;
}

core::result<log_index> raft_core::readIndex(core::instant now) const
{
    if (m_halted)
        return consensus_error::Halted;
    if (m_role != raft_role::Leader)
        return consensus_error::NotLeader;
    if (!leaseValid(now))
        return consensus_error::LeaseExpired;
    return m_hardState.commit;
}

void raft_core::handle(member_id from, term_number term, const vote_request &request)
{
    // The lease of the leader relies on this member not voting. The exception is a transfer, for
    // which the leader has given up its lease.
    if (heardFromLeaderRecently() && !request.leaderTransfer) {
        // A sender with a lower term cannot follow the leader; the response tells it the term.
        if (request.preVote && term <= m_hardState.term)
            send(from, vote_response{true, false});
        return;
    }
    const bool upToDate = request.lastEntry.isAsUpToDateAs(lastPosition());
    if (request.preVote) {
        const bool granted = term > m_hardState.term && upToDate;
        m_messages.push_back({m_options.group, m_options.self, from,
                              granted ? term : m_hardState.term, vote_response{true, granted}});
        return;
    }
    if (term > m_hardState.term)
        becomeFollower(term, 0);
    const bool free = m_hardState.votedFor == 0 || m_hardState.votedFor == from;
    const bool granted = term == m_hardState.term && free && upToDate;
    if (granted) {
        becomeFollower(m_hardState.term, 0);
        m_hardState.votedFor = from;
    }
    sendAfterSync(from, vote_response{false, granted});
}

void raft_core::handle(member_id from, term_number term, const vote_response &response)
{
    if (response.preVote && response.granted) {
        if (m_role != raft_role::PreCandidate || term != m_hardState.term + 1)
            return;
        m_votes.insert(from);
        const auto given = std::ranges::count_if(
            m_votes, [this](member_id id) { return members().isVoter(id); });
        if (static_cast<std::size_t>(given) >= members().quorum())
            startElection(false);
        return;
    }
    if (term > m_hardState.term) {
        becomeFollower(term, 0);
        return;
    }
    if (term != m_hardState.term || m_role != raft_role::Candidate || response.preVote
        || !response.granted)
        return;
    m_votes.insert(from);
    countVotes();
}

void raft_core::handle(member_id from, term_number term, const timeout_now &)
{
    if (term == m_hardState.term && m_role == raft_role::Follower && from == m_leader && isVoter())
        startElection(true);
}

/// Follows the sender of an append request or snapshot if its term is current.
bool raft_core::acceptLeader(member_id from, term_number term, std::int64_t leaderClock)
{
    if (term < m_hardState.term) {
        // The response makes a leader that was replaced step down.
        sendAfterSync(from, append_response{false, 0, 0, leaderClock});
        return false;
    }
    // Two leaders of one term cannot exist; the message is damaged or from a faulty member.
    if (term == m_hardState.term && m_role == raft_role::Leader)
        return false;
    if (term > m_hardState.term || m_role != raft_role::Follower)
        becomeFollower(term, from);
    m_leader = from;
    m_lastLeaderContact = m_now;
    resetElectionTimer();
    return true;
}

} // namespace quetzalcleat::consensus
