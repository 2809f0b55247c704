#include "invariant_checker.h"

#include "LibConsensus/byte_codec.h"
#include "LibCore/hash.h"

#include <algorithm>
#include <variant>

namespace quetzalcleat::explore {

using consensus::log_entry;
using consensus::log_index;
using consensus::member_id;
using consensus::raft_core;
using consensus::raft_role;
using consensus::term_number;

namespace {

std::uint64_t hashOf(const log_entry &entry)
{
    return core::hash64(consensus::asText(entry.payload), static_cast<std::uint64_t>(entry.kind));
}

} // namespace

void require(bool condition, const char *guarantee)
{
    if (!condition)
        throw invariant_violation(guarantee);
}

void invariant_checker::observe(member_id id, const raft_core &core)
{
    if (core.role() == raft_role::Leader)
        observeLeader(id, core);
    observeCommit(id, core);
}

void invariant_checker::observeLeader(member_id id, const raft_core &core)
{
    const auto [known, first] = m_leaders.try_emplace(core.term(), id);
    require(known->second == id, "election safety: one leader in a term");
    if (!first)
        return;
    for (log_index index = 1; index <= m_committed.size(); ++index) {
        // If its votes arrived late, a new leader may lead an older term than that of the commit.
        if (m_commitTerms[index - 1] >= core.term())
            break;
        const auto term = core.termAt(index);
        const bool inSnapshot = index <= core.snapshotIndex();
        require(term == m_committed[index - 1] || (term == 0 && inSnapshot),
                "leader completeness: a new leader has every committed entry");
    }
}

void invariant_checker::observeCommit(member_id id, const raft_core &core)
{
    auto &seen = m_observedCommit[id];
    if (core.commitIndex() <= seen)
        return;
    for (auto index = seen + 1; index <= core.commitIndex(); ++index) {
        const auto term = core.termAt(index);
        if (index <= m_committed.size()) {
            require(term == 0 || term == m_committed[index - 1],
                    "a committed entry is never replaced");
        } else {
            require(index == m_committed.size() + 1 && term != 0, "commits have no gap");
            m_committed.push_back(term);
            m_commitTerms.push_back(core.term());
        }
    }
    seen = core.commitIndex();
}

void invariant_checker::observeLease(const raft_core &holder,
                                     const std::vector<const raft_core *> &others) const
{
    for (const auto *other : others) {
        require(other->role() != raft_role::Leader || other->term() <= holder.term(),
                "lease exclusivity: no later leader while a lease is valid");
    }
    require(m_leaders.rbegin()->first <= holder.term(),
            "lease exclusivity: no later leader was elected while a lease is valid");
    require(holder.commitIndex() >= m_committed.size(),
            "a read under a valid lease sees every committed entry");
}

void invariant_checker::entriesWritten(const raft_core &core, const std::vector<log_entry> &entries)
{
    auto previousTerm = entries.empty() ? 0 : core.termAt(entries.front().position.index - 1);
    for (const auto &entry : entries) {
        const auto &[term, index] = entry.position;
        const auto [known, first]
            = m_entries.try_emplace({index, term}, entry_identity{previousTerm, hashOf(entry)});
        require(known->second.payloadHash == hashOf(entry),
                "log matching: index and term identify an entry");
        require(first || previousTerm == 0 || known->second.previousTerm == 0
                    || known->second.previousTerm == previousTerm,
                "log matching: equal entries have equal predecessors");
        previousTerm = term;
    }
}

void invariant_checker::messageSent(const consensus::raft_message &message)
{
    const auto *vote = std::get_if<consensus::vote_response>(&message.body);
    if (vote == nullptr || vote->preVote || !vote->granted)
        return;
    const auto known = m_votes.try_emplace({message.from, message.term}, message.to).first->second;
    require(known == message.to, "a member votes once in a term");
}

bool invariant_checker::entryApplied(const log_entry &entry)
{
    const auto &[term, index] = entry.position;
    const auto identity = std::pair(term, hashOf(entry));
    require(index <= m_committed.size() && m_committed[index - 1] == term,
            "only committed entries are applied");
    if (index <= m_applied.size()) {
        require(m_applied[index - 1] == identity,
                "state machine safety: members apply the same entries");
        return false;
    }
    require(index == m_applied.size() + 1, "entries are applied without gaps");
    m_applied.push_back(identity);
    return true;
}

void invariant_checker::commandApplied(log_index index, std::uint64_t resultHash)
{
    require(m_results.try_emplace(index, resultHash).first->second == resultHash,
            "a command has the same result on every member");
}

void invariant_checker::snapshotTaken(log_index index, std::uint64_t contentHash)
{
    require(m_snapshots.try_emplace(index, contentHash).first->second == contentHash,
            "the state at an index is the same on every member");
}

} // namespace quetzalcleat::explore
