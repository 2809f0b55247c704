#include "LibConsensus/raft_core.h"

#include "LibConsensus/byte_codec.h"
#include "LibCore/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace quetzalcleat::consensus {

namespace {

std::int64_t clockOf(core::instant time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

core::instant timeOf(std::int64_t clock)
{
    return core::instant(
        std::chrono::duration_cast<core::instant::duration>(std::chrono::nanoseconds(clock)));
}

bool isConsecutive(const append_request &request, term_number term)
{
    auto last = request.previous;
    for (const auto &entry : request.entries) {
        if (entry.position.index != last.index + 1 || entry.position.term < last.term
            || entry.position.term > term)
            return false;
        if (entry.kind == entry_kind::Membership && !decodeMembership(entry.payload))
            return false;
        last = entry.position;
    }
    return true;
}

} // namespace

void raft_core::send(member_id to, decltype(raft_message::body) body)
{
    m_messages.push_back({m_options.group, m_options.self, to, m_hardState.term, std::move(body)});
}

void raft_core::sendAfterSync(member_id to, decltype(raft_message::body) body)
{
    m_messagesAfterSync.push_back(
        {m_options.group, m_options.self, to, m_hardState.term, std::move(body)});
}

// Follower

void raft_core::handle(member_id from, term_number term, const append_request &request)
{
    if (!isConsecutive(request, term) || !acceptLeader(from, term, request.leaderClock))
        return;
    const auto &previous = request.previous;
    if (previous.index > lastIndex()) {
        sendAfterSync(
            from, append_response{false, lastIndex(), termAt(lastIndex()), request.leaderClock});
        return;
    }
    if (previous.index >= m_base.index && termAt(previous.index) != previous.term) {
        const auto hint = conflictHint(previous.index - 1, previous.term);
        sendAfterSync(from, append_response{false, hint, termAt(hint), request.leaderClock});
        return;
    }
    if (!appendReceived(request))
        return;
    const auto match = previous.index + request.entries.size();
    m_hardState.commit = std::max(m_hardState.commit, std::min(request.commit, match));
    sendAfterSync(from, append_response{true, match, 0, request.leaderClock});
}

/// Appends the entries that are missing here. Those at or below m_base are covered by a snapshot.
bool raft_core::appendReceived(const append_request &request)
{
    for (const auto &entry : request.entries) {
        const auto [term, index] = entry.position;
        if (index <= m_base.index || termAt(index) == term)
            continue;
        if (index <= lastIndex())
            truncateFrom(index);
        if (m_halted || !appendToLog(entry))
            return false;
    }
    return true;
}

/// The last index at or below `upTo` whose term is at most `term`: the logs of sender and receiver
/// differ above it.
log_index raft_core::conflictHint(log_index upTo, term_number term) const
{
    auto index = std::min(upTo, lastIndex());
    while (index > m_base.index && termAt(index) > term)
        --index;
    return index;
}

void raft_core::handle(member_id from, term_number term, const snapshot_chunk &chunk)
{
    if (!acceptLeader(from, term, chunk.leaderClock))
        return;
    const bool known = chunk.last.index <= m_hardState.commit
        || (chunk.last.index <= lastIndex() && termAt(chunk.last.index) == chunk.last.term);
    if (known) {
        // The snapshot covers only committed entries, so the equal ones here are committed as well.
        // The log is kept, because the leader may rely on acknowledged entries above them.
        m_hardState.commit = std::max(m_hardState.commit, chunk.last.index);
        m_incomingSnapshot.reset();
        sendAfterSync(from, append_response{true, chunk.last.index, 0, chunk.leaderClock});
        return;
    }
    const bool continues = m_incomingSnapshot && m_incomingSnapshot->from == from
        && m_incomingSnapshot->last == chunk.last
        && m_incomingSnapshot->contentHash == chunk.contentHash
        && m_incomingSnapshot->totalBytes == chunk.totalBytes;
    if (!continues) {
        if (chunk.totalBytes > m_options.maximumSnapshotBytes)
            return;
        m_incomingSnapshot = {from, chunk.last, chunk.contentHash, chunk.totalBytes, {}};
    }
    auto &content = m_incomingSnapshot->content;
    if (chunk.offset == content.size() && chunk.data.size() <= chunk.totalBytes - content.size())
        content.insert(content.end(), chunk.data.begin(), chunk.data.end());
    if (content.size() < chunk.totalBytes) {
        sendAfterSync(from, snapshot_response{chunk.last, content.size(), chunk.leaderClock});
        return;
    }
    if (core::hash64(asText(content)) != chunk.contentHash) {
        m_incomingSnapshot.reset();
        return;
    }
    installSnapshot({chunk.last, chunk.members,
                     std::make_shared<const std::vector<std::byte>>(std::move(content))});
    m_incomingSnapshot.reset();
    sendAfterSync(from, append_response{true, chunk.last.index, 0, chunk.leaderClock});
}

void raft_core::installSnapshot(const snapshot &received)
{
    // The log here does not contain the snapshot's last entry, so nothing above it is committed.
    m_log.clear();
    m_logBytes = 0;
    m_base = received.last;
    m_memberships = {{received.last.index, received.members}};
    m_hardState.commit = received.last.index;
    m_applied = received.last.index;
    m_nextToHandOut = received.last.index + 1;
    m_syncedIndex = 0;
    for (auto &pending : m_pendingSyncs)
        pending.last = {};
    m_snapshot = received;
    m_snapshotToInstall = received;
}

// Leader

void raft_core::recordResponse(progress &state, std::int64_t leaderClock) const
{
    state.lastResponse = m_now;
    const auto sent = timeOf(leaderClock);
    if (sent <= m_now && (!state.leaseFrom || sent > *state.leaseFrom))
        state.leaseFrom = sent;
}

void raft_core::recordMatch(member_id from, progress &state, log_index match)
{
    if (match > lastIndex() || match < state.match)
        return;
    if (match > state.match)
        state.lastProgress = m_now;
    state.match = match;
    state.next = std::max(state.next, match + 1);
    while (!state.inFlight.empty() && state.inFlight.front().last <= match)
        state.inFlight.pop_front();
    const bool snapshotDone = state.outgoingSnapshot && match >= state.outgoingSnapshot->last.index;
    // A response to a heartbeat at position 0 has match 0 and proves nothing about the log.
    if (snapshotDone || (state.mode == replication_mode::Probe && match + 1 >= state.next)) {
        state.mode = replication_mode::Replicate;
        state.outgoingSnapshot.reset();
        state.probeSent = false;
        state.next = match + 1;
        state.inFlight.clear();
    }
    advanceCommit();
    if (m_role == raft_role::Leader && from == m_transferTarget)
        finishTransfer();
}

void raft_core::handle(member_id from, term_number term, const append_response &response)
{
    if (term > m_hardState.term) {
        becomeFollower(term, 0);
        return;
    }
    const auto found = m_progress.find(from);
    if (term < m_hardState.term || m_role != raft_role::Leader || found == m_progress.end())
        return;
    auto &state = found->second;
    recordResponse(state, response.leaderClock);
    if (response.accepted) {
        recordMatch(from, state, response.match);
    } else if (state.mode != replication_mode::Snapshot && response.match >= state.match) {
        state.mode = replication_mode::Probe;
        state.probeSent = false;
        state.inFlight.clear();
        state.next = std::max(conflictHint(response.match, response.matchTerm), state.match) + 1;
    }
    if (m_role == raft_role::Leader)
        replicate(from, state);
}

void raft_core::handle(member_id from, term_number term, const snapshot_response &response)
{
    if (term > m_hardState.term) {
        becomeFollower(term, 0);
        return;
    }
    const auto found = m_progress.find(from);
    if (term < m_hardState.term || m_role != raft_role::Leader || found == m_progress.end())
        return;
    auto &state = found->second;
    recordResponse(state, response.leaderClock);
    if (!state.outgoingSnapshot || state.outgoingSnapshot->last != response.last
        || response.receivedBytes >= state.outgoingSnapshot->content->size()
        || response.receivedBytes == state.snapshotOffset)
        return;
    state.snapshotOffset = response.receivedBytes;
    state.lastProgress = m_now;
    sendChunk(from, state);
}

void raft_core::replicate(member_id to, progress &state)
{
    while (sendEntries(to, state)) { }
    // Members apply an entry only once they know that it is committed; without this message they
    // would wait for the next entry or heartbeat.
    if (state.mode == replication_mode::Replicate && state.next > lastIndex()
        && state.commitSent < std::min(m_hardState.commit, state.match))
        sendHeartbeat(to, state);
}

/// Whether the member has to respond before more is sent to it.
bool raft_core::isWindowFull(const progress &state) const
{
    const auto bytes = std::accumulate(
        state.inFlight.begin(), state.inFlight.end(), std::size_t{0},
        [](std::size_t sum, const request_in_flight &each) { return sum + each.bytes; });
    return state.inFlight.size() >= m_options.maximumInFlight
        || bytes >= m_options.maximumInFlightBytes;
}

/// Sends one append request. False if no more can be sent now.
bool raft_core::sendEntries(member_id to, progress &state)
{
    const bool probing = state.mode == replication_mode::Probe;
    if (state.mode == replication_mode::Snapshot || (probing && state.probeSent)
        || isWindowFull(state))
        return false;
    if (state.next <= m_base.index) {
        startSnapshot(to, state);
        return false;
    }
    if (!probing && state.next > lastIndex())
        return false;
    append_request request;
    request.previous = {termAt(state.next - 1), state.next - 1};
    request.commit = m_hardState.commit;
    request.leaderClock = clockOf(m_now);
    // A probe has no entries: the member may be down, and traffic between regions is billed.
    std::size_t bytes = 0;
    for (auto index = state.next; !probing && index <= lastIndex()
         && request.entries.size() < m_options.maximumAppendEntries;
         ++index) {
        const auto &entry = entryAt(index);
        if (bytes + entry.payload.size() > m_options.maximumAppendBytes && !request.entries.empty())
            break;
        bytes += entry.payload.size();
        request.entries.push_back(entry);
    }
    const auto last = request.previous.index + request.entries.size();
    if (state.inFlight.empty())
        state.lastProgress = m_now;
    if (probing) {
        state.probeSent = true;
    } else {
        state.next = last + 1;
        state.inFlight.push_back({last, bytes});
    }
    state.commitSent = std::min(request.commit, last);
    state.lastSend = m_now;
    send(to, std::move(request));
    return !probing;
}

void raft_core::sendHeartbeat(member_id to, progress &state)
{
    append_request request;
    // Position 0 matches every log; used while the member's log is unknown.
    if (state.match >= m_base.index)
        request.previous = {termAt(state.match), state.match};
    request.commit = std::min(m_hardState.commit, request.previous.index);
    request.leaderClock = clockOf(m_now);
    state.commitSent = std::max(state.commitSent, request.commit);
    state.lastSend = m_now;
    send(to, std::move(request));
}

void raft_core::startSnapshot(member_id to, progress &state)
{
    if (!m_snapshot)
        return;
    state.mode = replication_mode::Snapshot;
    state.inFlight.clear();
    state.outgoingSnapshot = m_snapshot;
    state.contentHash = core::hash64(asText(*m_snapshot->content));
    state.snapshotOffset = 0;
    state.lastProgress = m_now;
    sendChunk(to, state);
}

void raft_core::sendChunk(member_id to, progress &state)
{
    const auto &content = *state.outgoingSnapshot->content;
    const auto begin = std::min<std::size_t>(state.snapshotOffset, content.size());
    const auto end = std::min(content.size(), begin + m_options.snapshotChunkBytes);
    snapshot_chunk chunk;
    chunk.last = state.outgoingSnapshot->last;
    chunk.members = state.outgoingSnapshot->members;
    chunk.totalBytes = content.size();
    chunk.contentHash = state.contentHash;
    chunk.offset = begin;
    chunk.data.assign(content.begin() + static_cast<std::ptrdiff_t>(begin),
                      content.begin() + static_cast<std::ptrdiff_t>(end));
    chunk.leaderClock = clockOf(m_now);
    state.lastSend = m_now;
    send(to, std::move(chunk));
}

/// Sends heartbeats and resends messages that were lost.
void raft_core::tickMember(member_id to, progress &state)
{
    // Two intervals are well above the round trip of 40 ms between regions plus a sync.
    const bool stalled = m_now - state.lastProgress >= 2 * m_options.heartbeatInterval;
    if (state.mode == replication_mode::Snapshot && stalled && isResponsive(state)) {
        state.lastProgress = m_now;
        sendChunk(to, state);
    } else if (state.mode == replication_mode::Replicate && stalled && !state.inFlight.empty()) {
        state.mode = replication_mode::Probe;
        state.next = state.match + 1;
        state.inFlight.clear();
        state.probeSent = false;
    }
    if (m_now - state.lastSend < m_options.heartbeatInterval)
        return;
    state.probeSent = false;
    if (state.mode == replication_mode::Probe)
        replicate(to, state);
    if (m_now - state.lastSend >= m_options.heartbeatInterval)
        sendHeartbeat(to, state);
}

void raft_core::advanceCommit()
{
    std::vector<log_index> matches;
    for (const auto &each : members().members) {
        if (each.role != member_role::Voter)
            continue;
        const auto found = m_progress.find(each.id);
        if (each.id == m_options.self)
            matches.push_back(m_syncedIndex);
        else
            matches.push_back(found == m_progress.end() ? 0 : found->second.match);
    }
    std::ranges::sort(matches, std::greater<>());
    const auto agreed = matches[members().quorum() - 1];
    // Entries of earlier terms are committed only together with one of the leader's term (section
    // 3.6.2 of the dissertation): even if a majority holds them they could still be replaced.
    if (agreed <= m_hardState.commit || termAt(agreed) != m_hardState.term)
        return;
    for (auto index = m_hardState.commit + 1; index <= agreed; ++index)
        m_uncommittedBytes -= std::min(m_uncommittedBytes, entryAt(index).payload.size());
    m_hardState.commit = agreed;
    for (auto &[id, state] : m_progress)
        replicate(id, state);
}

} // namespace quetzalcleat::consensus
