#include "LibConsensus/raft_core.h"

#include <algorithm>

namespace quetzalcleat::consensus {

/// Adds and removes elements of m_progress to match the membership in force.
void raft_core::membershipChanged()
{
    std::erase_if(m_progress, [this](const auto &each) { return !members().find(each.first); });
    for (const auto &each : members().members) {
        if (each.id == m_options.self || m_progress.contains(each.id))
            continue;
        auto &state = m_progress[each.id];
        state.next = lastIndex() + 1;
        state.lastProgress = m_now;
    }
}

bool raft_core::isResponsive(const progress &state) const
{
    return state.lastResponse && m_now - *state.lastResponse < m_options.electionTimeout;
}

/// Whether the member lacks more than this many entries or bytes, and more than one entry.
bool raft_core::misses(const progress &state, log_index entries, std::size_t bytes) const
{
    const auto missing = lastIndex() - std::min(state.match, lastIndex());
    if (missing <= 1)
        return false;
    if (missing > entries || state.match < m_base.index)
        return true;
    std::size_t sum = 0;
    for (auto index = state.match + 1; index <= lastIndex(); ++index)
        sum += entryAt(index).payload.size();
    return sum > bytes;
}

bool raft_core::hasCaughtUp(member_id id) const
{
    const auto found = m_progress.find(id);
    if (found == m_progress.end())
        return false;
    const auto &state = found->second;
    // It must know of its own membership and respond, or it could not help to commit its promotion.
    return state.mode == replication_mode::Replicate
        && !misses(state, m_options.catchUpEntries, m_options.catchUpBytes)
        && state.match >= m_memberships.back().index && isResponsive(state);
}

core::result<membership> raft_core::changedMembership(const membership_change &change) const
{
    auto changed = members();
    const auto position = std::ranges::find(changed.members, change.id, &member::id);
    const bool present = position != changed.members.end();
    if (change.kind == membership_change_kind::AddLearner) {
        if (present)
            return consensus_error::AlreadyMember;
        if (change.id == 0 || change.name.size() > maximumMemberNameBytes
            || changed.members.size() >= maximumMembers)
            return consensus_error::InvalidMembership;
        changed.members.push_back({change.id, member_role::Learner, change.name});
        return changed;
    }
    if (!present)
        return consensus_error::UnknownMember;
    if (change.kind == membership_change_kind::RemoveMember) {
        // The leader must transfer leadership first. While a replacement is pending, neither its
        // successor nor a voter can be removed.
        if (change.id == m_options.self)
            return consensus_error::InvalidMembership;
        if (change.id == changed.replacement
            || (position->role == member_role::Voter && changed.replacement != 0))
            return consensus_error::ReplacementPending;
        changed.members.erase(position);
        return changed;
    }
    if (position->role == member_role::Voter)
        return consensus_error::AlreadyMember;
    const bool isPending = changed.replacement != 0;
    if (change.kind == membership_change_kind::ReplaceVoter && isPending
        && change.replaced == changed.replacement && change.id != changed.replacement) {
        // The learner that should follow will not finish, for example because its disk was lost as
        // well. No voter changes, so the new one need not have caught up yet.
        std::erase_if(changed.members,
                      [&](const member &each) { return each.id == change.replaced; });
        changed.replacement = change.id;
        return changed;
    }
    if (change.kind == membership_change_kind::ReplaceVoter && isPending)
        return consensus_error::ReplacementPending;
    if (!hasCaughtUp(change.id))
        return consensus_error::NotCaughtUp;
    if (change.kind == membership_change_kind::PromoteLearner) {
        position->role = member_role::Voter;
        changed.replacement = 0;
        return changed;
    }
    if (!changed.isVoter(change.replaced))
        return consensus_error::UnknownMember;
    if (change.replaced == m_options.self)
        return consensus_error::InvalidMembership;
    changed.replacement = change.id;
    std::erase_if(changed.members, [&](const member &each) { return each.id == change.replaced; });
    return changed;
}

core::result<log_position> raft_core::proposeMembership(membership_change change, core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted)
        return consensus_error::Halted;
    if (m_role != raft_role::Leader)
        return consensus_error::NotLeader;
    // A leader whose own term has no committed entry may not know of an earlier change that a
    // majority already follows (D. Ongaro, "bug in single-server membership changes", 2015).
    if (m_transferTarget != 0 || m_hardState.commit < m_termStart
        || m_hardState.commit < m_memberships.back().index)
        return consensus_error::ChangeInProgress;
    auto changed = changedMembership(change);
    if (!changed)
        return changed.error();
    if (changed.value().voterCount() == 0)
        return consensus_error::InvalidMembership;
    if (change.kind != membership_change_kind::AddLearner && !majorityResponds(changed.value()))
        return consensus_error::QuorumAtRisk;
    const auto index = appendAsLeader(entry_kind::Membership, encodeMembership(changed.value()));
    return log_position{m_hardState.term, index};
}

/// Second step of ReplaceVoter; also taken by a later leader.
void raft_core::finishReplacement()
{
    const auto successor = members().replacement;
    if (successor == 0)
        return;
    // Errors are temporary: the next tick tries again.
    static_cast<void>(
        proposeMembership({membership_change_kind::PromoteLearner, successor, {}, 0}, m_now));
}

core::result<void> raft_core::transferLeadership(member_id target, core::instant now)
{
    m_now = std::max(m_now, now);
    if (m_halted)
        return consensus_error::Halted;
    if (m_role != raft_role::Leader)
        return consensus_error::NotLeader;
    if (m_transferTarget != 0)
        return consensus_error::ChangeInProgress;
    if (target == m_options.self || !members().isVoter(target))
        return consensus_error::UnknownMember;
    if (!hasCaughtUp(target))
        return consensus_error::NotCaughtUp;
    m_transferTarget = target;
    m_transferDeadline = m_now + m_options.electionTimeout;
    // The target's election does not wait until the lease is over, so the lease ends here, for the
    // rest of the term. If the transfer fails, the leader steps down at the deadline.
    m_leaseForfeited = true;
    finishTransfer();
    return {};
}

void raft_core::finishTransfer()
{
    const auto found = m_progress.find(m_transferTarget);
    if (found != m_progress.end() && found->second.match == lastIndex())
        send(m_transferTarget, timeout_now{});
}

} // namespace quetzalcleat::consensus
