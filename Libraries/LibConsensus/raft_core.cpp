#include "LibConsensus/raft_core.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::consensus {

namespace {

/// A term this large cannot be reached by elections; a message that carries one is damaged.
constexpr term_number maximumTerm = term_number{1} << 62U;
/// Limits the entries that are applied after one ready.
constexpr std::size_t maximumCommittedEntries = 4096;

} // namespace

raft_core::raft_core(raft_options options, restored_state restored, std::uint64_t seed,
                     core::instant now)
    : m_options(options), m_random(seed), m_now(now), m_lastLeaderContact(now)
{
    // The time of the last contact with a leader is not stored, so the start counts as one: before
    // a restart the member may have responded to a leader whose lease is still valid.
    restoreLog(std::move(restored));
    resetElectionTimer();
}

void raft_core::restoreLog(restored_state restored)
{
    m_hardState = restored.hardState;
    m_snapshot = std::move(restored.latestSnapshot);
    const auto snapshotEnd = m_snapshot ? m_snapshot->last : log_position();
    m_memberships.push_back({snapshotEnd.index, m_snapshot ? m_snapshot->members : membership()});

    auto &entries = restored.entries;
    if (!entries.empty() && entries.front().position.index > 1) {
        // m_base needs the term of the entry before the first one. It is known only if the snapshot
        // ends there; otherwise the first entry becomes m_base.
        if (entries.front().position.index == snapshotEnd.index + 1) {
            m_base = snapshotEnd;
        } else {
            m_base = entries.front().position;
            entries.erase(entries.begin());
        }
    }
    for (auto &entry : entries) {
        if (!appendToLog(std::move(entry)))
            m_halted = true;
    }
    if (lastIndex() < snapshotEnd.index || termAt(snapshotEnd.index) != snapshotEnd.term) {
        m_log.clear();
        m_logBytes = 0;
        m_base = snapshotEnd;
        m_memberships.resize(1);
    }
    m_applied = snapshotEnd.index;
    m_hardState.commit = std::clamp(m_hardState.commit, snapshotEnd.index, lastIndex());
    m_syncedIndex = lastIndex();
    m_nextToHandOut = lastIndex() + 1;
    m_handedOutHardState = m_hardState;
    m_syncedHardState = m_hardState;
}

void raft_core::tick(core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted)
        return;
    if (m_role == raft_role::Leader) {
        tickLeader();
        return;
    }
    if (m_now < m_electionDeadline)
        return;
    if (isVoter()) {
        startPreVote();
        return;
    }
    m_leader = 0;
    resetElectionTimer();
}

void raft_core::receive(const raft_message &message, core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted || message.group != m_options.group || message.to != m_options.self
        || message.from == 0 || message.from == m_options.self || message.term > maximumTerm)
        return;
    std::visit([&](const auto &body) { handle(message.from, message.term, body); }, message.body);
}

core::result<log_position> raft_core::propose(std::vector<std::byte> command, core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted)
        return consensus_error::Halted;
    if (m_role != raft_role::Leader)
        return consensus_error::NotLeader;
    if (command.size() > m_options.maximumCommandBytes)
        return consensus_error::CommandTooLarge;
    // New entries would keep the target of a transfer from catching up.
    if (m_transferTarget != 0
        || m_uncommittedBytes + command.size() > m_options.maximumUncommittedBytes)
        return consensus_error::Overloaded;
    return log_position{m_hardState.term, appendAsLeader(entry_kind::Command, std::move(command))};
}

bool raft_core::hasReady() const
{
    if (m_halted)
        return false;
    return m_hardState.term != m_handedOutHardState.term
        || m_hardState.votedFor != m_handedOutHardState.votedFor || m_nextToHandOut <= lastIndex()
        || m_snapshotToInstall || !m_messages.empty() || !m_messagesAfterSync.empty()
        || std::min(m_hardState.commit, m_syncedIndex) > m_applied;
}

ready raft_core::takeReady()
{
    ready work;
    work.number = ++m_readyNumber;
    if (m_halted)
        return work;
    // Proposals made since the last ready are sent together.
    if (m_role == raft_role::Leader) {
        for (auto &[id, state] : m_progress)
            replicate(id, state);
    }
    for (; m_nextToHandOut <= lastIndex(); ++m_nextToHandOut)
        work.entries.push_back(entryAt(m_nextToHandOut));
    work.snapshotToInstall = std::exchange(m_snapshotToInstall, std::nullopt);
    if (m_hardState.term != m_handedOutHardState.term
        || m_hardState.votedFor != m_handedOutHardState.votedFor || !work.entries.empty()
        || work.snapshotToInstall) {
        work.hardState = m_hardState;
        m_handedOutHardState = m_hardState;
    }
    work.messages = std::exchange(m_messages, {});
    work.messagesAfterSync = std::exchange(m_messagesAfterSync, {});
    const auto end = std::min({m_hardState.commit, m_syncedIndex,
                               m_applied + static_cast<log_index>(maximumCommittedEntries)});
    while (m_applied < end)
        work.committed.push_back(entryAt(++m_applied));
    m_pendingSyncs.push_back({work.number, work.hardState, lastPosition()});
    return work;
}

void raft_core::synced(std::uint64_t readyNumber, core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted)
        return;
    while (!m_pendingSyncs.empty() && m_pendingSyncs.front().number <= readyNumber) {
        const auto &done = m_pendingSyncs.front();
        if (done.hardState)
            m_syncedHardState = *done.hardState;
        if (termAt(done.last.index) == done.last.term)
            m_syncedIndex = std::max(m_syncedIndex, done.last.index);
        m_pendingSyncs.pop_front();
    }
    if (m_role == raft_role::Candidate)
        countVotes();
    if (m_role == raft_role::Leader)
        advanceCommit();
}

void raft_core::snapshotSaved(snapshot saved)
{
    if (m_halted || (m_snapshot && saved.last.index <= m_snapshot->last.index)
        || saved.last.index > m_applied)
        return;
    const auto base = compactionIndex(saved.last.index);
    if (base > m_base.index) {
        const auto count = base - m_base.index;
        m_base = {termAt(base), base};
        for (log_index i = 0; i < count; ++i) {
            m_logBytes -= m_log.front().payload.size();
            m_log.pop_front();
        }
    }
    // Of the memberships up to the snapshot only the last is still needed.
    while (m_memberships.size() > 1 && m_memberships[1].index <= saved.last.index)
        m_memberships.erase(m_memberships.begin());
    m_snapshot = std::move(saved);
}

void raft_core::halt()
{
    m_halted = true;
    m_role = raft_role::Follower;
    m_leader = 0;
    m_messages.clear();
    m_messagesAfterSync.clear();
    m_snapshotToInstall.reset();
    m_incomingSnapshot.reset();
}

membership raft_core::membershipAt(log_index index) const
{
    const auto *found = &m_memberships.front();
    for (const auto &record : m_memberships) {
        if (record.index <= index)
            found = &record;
    }
    return found->members;
}

term_number raft_core::termAt(log_index index) const
{
    if (index == m_base.index)
        return m_base.term;
    if (index < m_base.index || index > lastIndex())
        return 0;
    return entryAt(index).position.term;
}

/// The index up to which entries are not needed for members that lag slightly.
log_index raft_core::trailingIndex(log_index snapshotIndex) const
{
    auto index = snapshotIndex;
    std::size_t bytes = 0;
    while (index > m_base.index && snapshotIndex - index < m_options.trailingEntries) {
        bytes += entryAt(index).payload.size();
        if (bytes > m_options.trailingBytes)
            break;
        --index;
    }
    return index;
}

log_index raft_core::compactionIndex(log_index snapshotIndex) const
{
    auto floor = trailingIndex(snapshotIndex);
    if (m_logBytes > m_options.maximumRetainedBytes)
        return floor;
    for (const auto &[id, state] : m_progress) {
        if (isResponsive(state))
            floor = std::min(
                floor, state.outgoingSnapshot ? state.outgoingSnapshot->last.index : state.match);
    }
    return floor;
}

raft_status raft_core::status() const
{
    raft_status view;
    view.role = m_role;
    view.term = m_hardState.term;
    view.leader = m_leader;
    view.lastIndex = lastIndex();
    view.commit = m_hardState.commit;
    view.applied = m_applied;
    view.snapshotIndex = m_snapshot ? m_snapshot->last.index : 0;
    view.logBytes = m_logBytes;
    view.halted = m_halted;
    view.members = members();
    view.membershipIndex = m_memberships.back().index;
    for (const auto &[id, state] : m_progress)
        view.matches[id] = state.match;
    return view;
}

bool raft_core::appendToLog(log_entry entry)
{
    const auto index = entry.position.index;
    if (index != lastIndex() + 1)
        return false;
    if (entry.kind == entry_kind::Membership) {
        auto decoded = decodeMembership(entry.payload);
        if (!decoded)
            return false;
        if (index > m_memberships.back().index)
            m_memberships.push_back({index, std::move(decoded).value()});
    }
    m_logBytes += entry.payload.size();
    m_log.push_back(std::move(entry));
    return true;
}

log_index raft_core::appendAsLeader(entry_kind kind, std::vector<std::byte> payload)
{
    m_uncommittedBytes += payload.size();
    appendToLog({{m_hardState.term, lastIndex() + 1}, kind, std::move(payload)});
    if (kind == entry_kind::Membership)
        membershipChanged();
    return lastIndex();
}

void raft_core::truncateFrom(log_index index)
{
    // Raft never replaces a committed entry. A request to do so shows that some member has lost
    // synced state or is faulty, and to continue could lose committed entries.
    if (index <= m_hardState.commit) {
        halt();
        return;
    }
    while (lastIndex() >= index) {
        m_logBytes -= m_log.back().payload.size();
        m_log.pop_back();
    }
    while (m_memberships.size() > 1 && m_memberships.back().index >= index)
        m_memberships.pop_back();
    m_nextToHandOut = std::min(m_nextToHandOut, index);
    m_syncedIndex = std::min(m_syncedIndex, index - 1);
    // A sync in progress does not cover entries that replace the removed ones.
    for (auto &pending : m_pendingSyncs) {
        if (pending.last.index >= index)
            pending.last = lastPosition();
    }
}

} // namespace quetzalcleat::consensus
