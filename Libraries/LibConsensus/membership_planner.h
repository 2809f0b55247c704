#pragma once

#include "LibConsensus/membership.h"
#include "LibConsensus/raft_message.h"
#include "LibCore/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::consensus {

class raft_core;

struct membership_planner_options
{
    /// Voters that the group is to have. Voters beyond them are removed when they are silent or
    /// leave, and learners are promoted beyond them once they have been members for settleTime. If
    /// 0, a voter is only ever replaced by a new member of its own host.
    std::size_t minimumVoters = 0;
    /// A voter that nothing was heard of for this long may be replaced or removed. Must be shorter
    /// than the election timeout: a leader that has lost its majority steps down after it, and only
    /// a leader can change the membership.
    std::chrono::milliseconds silenceTime{800};
    std::chrono::milliseconds settleTime{2000};
    /// Requests to join or to leave are repeated; one that is older does not count.
    std::chrono::milliseconds requestLifetime{1500};
    /// A member that will stop in any case within this time counts as gone.
    std::chrono::milliseconds stopMargin{500};
    /// A learner that is silent for this long is removed. It can join again.
    std::chrono::milliseconds lostLearnerTime{10'000};
};

/// Decides which changes of the membership a leader should propose, from what it heard of the
/// members and which hosts asked to join or to leave. Does no I/O; time is passed in.
///
/// What each step may lose is described in docs/design.md, section 5.1.
class membership_planner
{
public:
    explicit membership_planner(membership_planner_options options) : m_options(options) { }

    /// A message of this member arrived.
    void heard(member_id id, core::instant now);
    /// The host has a data folder with this id, so its folders with other ids are gone.
    void joinRequested(const std::string &host, member_id id, core::instant now);
    /// The member will stop, after this time in any case, and its host may never start again.
    void leaveRequested(member_id id, std::chrono::milliseconds remaining, core::instant now);

    /// The changes that the leader `core` should propose, the most urgent one first. Each one may
    /// be refused, for example because a learner has not caught up; then the next one counts.
    std::vector<membership_change> changes(const raft_core &core, core::instant now);

    /// Whether the member asked to leave recently, so that it should not lead.
    bool isLeaving(member_id id) const { return m_leaving.contains(id); }

    /// Whether a member that asked to leave may stop: it is no voter any more, or there is nobody
    /// to take its place, so that waiting would not help. Then it counts as gone.
    bool releases(const raft_core &core, member_id id, core::instant now);

private:
    struct host_join
    {
        member_id id = 0;
        core::instant at;
    };

    struct leaving_member
    {
        core::instant at;
        core::instant stopsAt; ///< In any case.
        bool isReleased = false;
    };

    using clock_duration = core::instant::duration;

    void forgetOldRequests(core::instant now);
    void update(const raft_core &core, core::instant now);
    clock_duration silence(member_id id, core::instant now) const;
    bool isSilent(member_id id, core::instant now) const;
    bool isSettled(member_id id, core::instant now) const;
    bool isReleased(member_id id, core::instant now) const;
    bool hasSuccessor(const membership &members, core::instant now) const;
    bool allVotersAnswer(const raft_core &core, core::instant now) const;
    /// Whether the host of this member has joined under another id.
    bool isDead(const member &each) const;
    bool isCandidate(const raft_core &core, const member &each) const;
    bool hasSurplusVoter(const membership &members) const;
    void removeLostVoters(const raft_core &core, core::instant now,
                          std::vector<membership_change> &changes) const;
    void replaceVoters(const raft_core &core, core::instant now,
                       std::vector<membership_change> &changes) const;
    void promoteLearners(const raft_core &core, core::instant now,
                         std::vector<membership_change> &changes) const;
    void addLearners(const raft_core &core, std::vector<membership_change> &changes) const;
    void removeLearners(const raft_core &core, core::instant now,
                        std::vector<membership_change> &changes) const;

    membership_planner_options m_options;
    std::map<member_id, core::instant> m_lastHeard;
    std::map<std::string, host_join, std::less<>> m_joins; ///< By host.
    std::map<member_id, leaving_member> m_leaving;
    std::map<member_id, core::instant> m_learnerSince; ///< As seen by this leader.
    term_number m_term = 0; ///< In which this host leads.
    /// Silence is counted from here at the earliest: before the term began, the members may have
    /// talked to another leader.
    core::instant m_listeningSince;
    core::instant m_lastUpdate;
};

} // namespace quetzalcleat::consensus
