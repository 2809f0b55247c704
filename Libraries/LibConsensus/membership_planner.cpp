#include "LibConsensus/membership_planner.h"

#include "LibConsensus/raft_core.h"

#include <algorithm>

namespace quetzalcleat::consensus {

namespace {

using kind = membership_change_kind;

/// Former members that followers keep track of as well, before old ones are forgotten.
constexpr std::size_t maximumTrackedMembers = 2 * maximumMembers;

membership_change removal(member_id id)
{
    return {kind::RemoveMember, id, {}, 0};
}

/// The change that gives the learner the seat of a voter. While a replacement is pending, a seat is
/// free already, and taking it ends the replacement.
membership_change seatChange(const membership &members, member_id learner, member_id replaced)
{
    if (members.replacement != 0)
        return {kind::PromoteLearner, learner, {}, 0};
    return {kind::ReplaceVoter, learner, {}, replaced};
}

} // namespace

void membership_planner::joinRequested(const std::string &host, member_id id, core::instant now)
{
    m_joins[host] = {id, now};
    m_leaving.erase(id);
}

void membership_planner::leaveRequested(member_id id, std::chrono::milliseconds remaining,
                                        core::instant now)
{
    forgetOldRequests(now);
    auto &leaving = m_leaving[id];
    leaving.at = now;
    leaving.stopsAt = now + remaining;
}

std::vector<membership_change> membership_planner::changes(const raft_core &core, core::instant now)
{
    update(core, now);
    std::vector<membership_change> changes;
    if (!core.membershipCommitted())
        return changes;
    removeLostVoters(core, now, changes);
    replaceVoters(core, now, changes);
    promoteLearners(core, now, changes);
    addLearners(core, changes);
    removeLearners(core, now, changes);
    return changes;
}

bool membership_planner::releases(const raft_core &core, member_id id, core::instant now)
{
    const auto &members = core.members();
    if (!members.isVoter(id))
        return core.membershipCommitted();
    const bool isReleased = m_options.minimumVoters == 0 || !hasSuccessor(members, now);
    if (isReleased)
        m_leaving[id] = {now, now, true};
    return isReleased;
}

bool membership_planner::allVotersAnswer(const raft_core &core, core::instant now) const
{
    return std::ranges::all_of(core.members().members, [&](const member &each) {
        if (each.role != member_role::Voter || each.id == core.self())
            return true;
        const auto heard = m_lastHeard.find(each.id);
        return heard != m_lastHeard.end() && now - heard->second < m_options.silenceTime;
    });
}

/// Whether the group can do without one of its voters, now or once a learner has caught up.
bool membership_planner::hasSuccessor(const membership &members, core::instant now) const
{
    const bool hasLearner = std::ranges::any_of(members.members, [&](const member &each) {
        return each.role == member_role::Learner && !isLeaving(each.id) && !isDead(each)
            && !isSilent(each.id, now);
    });
    const bool isJoined = std::ranges::any_of(
        m_joins, [&](const auto &entry) { return !members.isVoter(entry.second.id); });
    return hasLearner || isJoined || hasSurplusVoter(members);
}

void membership_planner::heard(member_id id, core::instant now)
{
    m_lastHeard[id] = now;
    if (m_lastHeard.size() > maximumTrackedMembers)
        std::erase_if(m_lastHeard, [&](const auto &entry) {
            return now - entry.second > m_options.lostLearnerTime;
        });
}

void membership_planner::forgetOldRequests(core::instant now)
{
    const auto isOld
        = [&](const auto &entry) { return now - entry.second.at > m_options.requestLifetime; };
    std::erase_if(m_joins, isOld);
    std::erase_if(m_leaving, isOld);
}

/// Forgets old requests and members that are gone, and notices the beginning of a term.
void membership_planner::update(const raft_core &core, core::instant now)
{
    if (m_term != core.term()) {
        m_term = core.term();
        m_listeningSince = now;
        m_learnerSince.clear();
    }
    // After a pause of this process, the messages of the members are still to be read.
    if (now - m_lastUpdate > m_options.silenceTime / 2)
        m_listeningSince = now;
    m_lastUpdate = now;
    forgetOldRequests(now);
    const auto &members = core.members();
    std::erase_if(m_lastHeard,
                  [&](const auto &entry) { return members.find(entry.first) == nullptr; });
    std::erase_if(m_learnerSince, [&](const auto &entry) {
        return members.find(entry.first) == nullptr || members.isVoter(entry.first);
    });
    for (const auto &each : members.members) {
        if (each.role == member_role::Learner)
            m_learnerSince.try_emplace(each.id, now);
    }
}

membership_planner::clock_duration membership_planner::silence(member_id id,
                                                               core::instant now) const
{
    const auto heard = m_lastHeard.find(id);
    const auto last
        = heard == m_lastHeard.end() ? m_listeningSince : std::max(heard->second, m_listeningSince);
    return now - last;
}

bool membership_planner::isSilent(member_id id, core::instant now) const
{
    return silence(id, now) >= m_options.silenceTime;
}

bool membership_planner::isSettled(member_id id, core::instant now) const
{
    const auto since = m_learnerSince.find(id);
    return since != m_learnerSince.end() && now - since->second >= m_options.settleTime;
}

/// Whether a voter that is still a member may have stopped already.
bool membership_planner::isReleased(member_id id, core::instant now) const
{
    const auto leaving = m_leaving.find(id);
    return leaving != m_leaving.end()
        && (leaving->second.isReleased || leaving->second.stopsAt - now <= m_options.stopMargin);
}

bool membership_planner::isDead(const member &each) const
{
    const auto joined = m_joins.find(each.name);
    return joined != m_joins.end() && joined->second.id != each.id;
}

/// Whether a member may become a voter.
bool membership_planner::isCandidate(const raft_core &core, const member &each) const
{
    return each.role == member_role::Learner && !isLeaving(each.id) && !isDead(each)
        && core.hasCaughtUp(each.id);
}

bool membership_planner::hasSurplusVoter(const membership &members) const
{
    return m_options.minimumVoters != 0 && members.voterCount() > m_options.minimumVoters;
}

/// Voters beyond the wanted number that do not answer only raise the majority.
void membership_planner::removeLostVoters(const raft_core &core, core::instant now,
                                          std::vector<membership_change> &changes) const
{
    const auto &members = core.members();
    if (m_options.minimumVoters == 0)
        return;
    for (const auto &each : members.members) {
        if (each.role != member_role::Voter || each.id == core.self())
            continue;
        const bool isSucceeded = std::ranges::any_of(members.members, [&](const member &other) {
            return other.role == member_role::Voter && other.name == each.name
                && other.id != each.id;
        });
        if (hasSurplusVoter(members) ? isSilent(each.id, now) || isLeaving(each.id)
                                     : isSucceeded && isSilent(each.id, now))
            changes.push_back(removal(each.id));
    }
    // Those whose disk is certainly lost come first; one that is silent may come back.
    std::stable_partition(changes.begin(), changes.end(), [&](const membership_change &change) {
        return isDead(*core.members().find(change.id));
    });
}

/// Gives the seats of voters that will not answer to learners that have caught up.
void membership_planner::replaceVoters(const raft_core &core, core::instant now,
                                       std::vector<membership_change> &changes) const
{
    const auto &members = core.members();
    for (const auto &learner : members.members) {
        if (!isCandidate(core, learner))
            continue;
        // The earlier id of the same host can never answer again.
        for (const auto &voter : members.members) {
            if (voter.role == member_role::Voter && voter.name == learner.name && isDead(voter))
                changes.push_back(seatChange(members, learner.id, voter.id));
        }
        if (m_options.minimumVoters == 0)
            continue;
        for (const auto &voter : members.members) {
            if (voter.role == member_role::Voter && voter.id != core.self()
                && (isSilent(voter.id, now) || isReleased(voter.id, now)))
                changes.push_back(seatChange(members, learner.id, voter.id));
        }
    }
}

void membership_planner::promoteLearners(const raft_core &core, core::instant now,
                                         std::vector<membership_change> &changes) const
{
    const auto &members = core.members();
    // A voter that leaves still answers, so its successor is added before it is removed: the group
    // never has fewer voters than it should.
    const auto staying = std::ranges::count_if(members.members, [&](const member &each) {
        return each.role == member_role::Voter && (!isLeaving(each.id) || isReleased(each.id, now));
    });
    const bool hasFreeSeat = m_options.minimumVoters == 0
        || static_cast<std::size_t>(staying) < m_options.minimumVoters;
    // Each voter beyond the wanted number is worth it only if all others answer: a new leader may
    // not know yet which of them are gone.
    if (m_options.minimumVoters != 0 && members.voterCount() >= m_options.minimumVoters
        && !allVotersAnswer(core, now))
        return;
    for (const auto &learner : members.members) {
        if (!isCandidate(core, learner))
            continue;
        // Adding a voter without removing the earlier id would only raise the majority.
        const bool replacesItself = std::ranges::any_of(members.members, [&](const member &each) {
            return each.role == member_role::Voter && each.name == learner.name;
        });
        if (!replacesItself && (hasFreeSeat || isSettled(learner.id, now)))
            changes.push_back({kind::PromoteLearner, learner.id, {}, 0});
    }
}

void membership_planner::addLearners(const raft_core &core,
                                     std::vector<membership_change> &changes) const
{
    for (const auto &[host, joined] : m_joins) {
        if (core.members().find(joined.id) == nullptr)
            changes.push_back({kind::AddLearner, joined.id, host, 0});
    }
}

/// Removes the learners of lost disks, so that they block no replacement and fill no bound.
void membership_planner::removeLearners(const raft_core &core, core::instant now,
                                        std::vector<membership_change> &changes) const
{
    const auto &members = core.members();
    for (const auto &each : members.members) {
        if (each.role != member_role::Learner)
            continue;
        if (isDead(each) && each.id == members.replacement)
            changes.push_back({kind::ReplaceVoter, m_joins.at(each.name).id, {}, each.id});
        else if (each.id != members.replacement
                 && (isDead(each) || silence(each.id, now) > m_options.lostLearnerTime))
            changes.push_back(removal(each.id));
    }
}

} // namespace quetzalcleat::consensus
