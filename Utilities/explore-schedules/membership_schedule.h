#pragma once

#include "LibConsensus/membership_planner.h"
#include "LibConsensus/raft_core.h"
#include "invariant_checker.h"
#include "schedule_random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quetzalcleat::explore {

struct membership_statistics
{
    std::size_t commits = 0;
    std::size_t lostDisks = 0;
    std::size_t repeatedLosses = 0; ///< Of a host that has not come back to the group yet.
    std::size_t plannedReplacements = 0;
    std::size_t unplannedReplacements = 0;
    std::size_t replacedSuccessors = 0; ///< Gone for good before they count.
    std::size_t restarts = 0;
    std::size_t plannedStops = 0;
    std::size_t freezes = 0;
    std::size_t installedSnapshots = 0;
    std::size_t largeLogs = 0;
    std::chrono::milliseconds longestWithoutLeader{0};

    void add(const membership_statistics &other);
};

/// Runs one random schedule of lost disks, replacements, stops and freezes of the hosts of a
/// control group, and never loses more hosts at a time than the group has to bear.
///
/// A host is lost while it is down or frozen and for syncTime after it is back or, if it is new,
/// after its start. One that is replaced counts together with its successor. The guarantee that is
/// checked at every moment: among the voters whose ids can still answer, a majority remains even if
/// as many further hosts are lost as the group has to bear beyond those that are lost already.
///
/// The membership is decided by consensus::membership_planner, as in peer::control_service. The
/// disks keep what was written: simulated_cluster covers the faults of disks. Sizes are those of a
/// deployment divided by sizeDivisor, so that a schedule with a long log stays cheap.
class membership_schedule
{
public:
    static constexpr std::chrono::milliseconds syncTime{4000};
    static constexpr std::size_t sizeDivisor = 32;

    explicit membership_schedule(std::uint64_t seed);

    /// Throws invariant_violation.
    membership_statistics run();

    /// The group and the last events, for the report of a violation.
    std::string describe() const;

private:
    using milliseconds = std::chrono::milliseconds;

    struct join_request
    {
        std::string host;
        consensus::member_id id = 0;
        bool isForwarded = false;
    };

    struct leave_request
    {
        consensus::member_id id = 0;
        milliseconds remaining{0};
    };

    struct leave_answer
    {
        consensus::member_id id = 0;
        bool isRemoved = false;
    };

    using content
        = std::variant<consensus::raft_message, join_request, leave_request, leave_answer>;

    struct message_in_flight
    {
        core::instant arrival;
        std::string from;
        std::string to;
        std::uint64_t toStart = 0; ///< Process to which the connection leads.
        content body;
    };

    /// What one data folder holds.
    struct disk
    {
        consensus::hard_state hardState;
        std::optional<consensus::snapshot> latestSnapshot;
        std::deque<consensus::log_entry> entries;
    };

    struct host
    {
        std::string name;
        consensus::member_id id = 0;
        disk folder;
        std::optional<consensus::raft_core> core; ///< Empty while the process is down.
        std::optional<consensus::membership_planner> planner;
        std::uint64_t starts = 0;
        std::vector<std::string> seeds; ///< Hosts in the settings of the process.
        std::set<std::string> contacts; ///< Hosts that sent messages of the log to it.
        core::instant listedFrom; ///< Operators list the host from then on.
        core::instant listedUntil = core::instant::max();
        consensus::log_index applied = 0;
        std::vector<std::byte> document; ///< The last command applied.
        std::size_t bytesSinceSnapshot = 0;
        core::instant nextJoin;
        core::instant nextSnapshot;
        core::instant frozenUntil;
        std::optional<core::instant> stopSince; ///< Of a planned stop.
        core::instant nextLeave;
        bool hasLeft = false;
        bool isRemoved = false;
        bool hasSuccessor = false; ///< Will be stopped for good.
        std::function<void()> whenStopped;
    };

    /// A host and its successors, which count as one.
    struct loss
    {
        std::vector<std::string> hosts;
        core::instant end = core::instant::max();
    };

    struct voters_of_loss
    {
        std::size_t answering = 0;
        std::size_t missing = 0;
    };

    struct timed_event
    {
        core::instant at;
        std::function<void()> act;
    };

    bool runs(const host &each) const { return each.core && each.frozenUntil <= m_now; }
    host &find(const std::string &name);
    host *leader();
    consensus::raft_options options(consensus::member_id self) const;
    consensus::membership_planner_options plannerOptions() const;

    void createGroup(std::size_t voters);
    host &addHost();
    void start(host &each);
    std::vector<std::string> currentSeeds(const std::string &own);
    void stop(host &each);
    void removeForGood(host &each);
    void loseDisk(host &each);
    void beginPlannedStop(host &each, std::function<void()> whenStopped);
    void at(milliseconds delay, std::function<void()> act);
    void note(const std::string &text);

    void step();
    void tick(host &each);
    void processReady(host &each);
    void apply(host &each, const consensus::log_entry &entry);
    void saveSnapshotIfDue(host &each);
    void changeMembership(host &each);
    void requestToJoin(host &each);
    void leave(host &each);
    void finishPlannedStop(host &each);
    void propose();
    void send(const std::string &from, const std::string &to, content body);
    void sendAll(const host &from, const std::vector<consensus::raft_message> &messages);
    void deliver();
    void receive(host &each, const std::string &from, const content &body);
    void receiveJoin(host &each, const std::string &from, const join_request &request);

    // Events
    void startEventIfAllowed();
    void beginLoss(const std::string &name);
    const loss *lossOf(const std::string &name) const;
    bool isEligible(const host &each) const;
    std::string chooseHost();
    void loseDiskRepeatedly(const std::string &name, std::size_t times);
    void replaceAsPlanned(const std::string &name);
    void replaceUnplanned(const std::string &name);
    void startSuccessor(const std::string &name, milliseconds delay, std::size_t replacements);
    void restart(const std::string &name, bool isPlanned);
    void freeze(const std::string &name);
    void endLoss(const std::string &name, milliseconds delay);

    void checkMajority();
    void checkEnd();

    schedule_random m_random;
    invariant_checker m_checker;
    membership_statistics m_statistics;
    core::instant m_now{std::chrono::hours(1)};
    std::size_t m_tolerableLosses = 1;
    std::size_t m_minimumVoters = 3;
    milliseconds m_linkDelay{20};
    std::size_t m_commandBytes = 0;
    std::size_t m_commandPermille = 0; ///< Chance of a command in a step.
    std::size_t m_eventsLeft = 0;
    core::instant m_nextEvent;
    std::vector<std::unique_ptr<host>> m_hosts; ///< Those that are gone for good included.
    std::vector<loss> m_losses;
    std::vector<timed_event> m_timed;
    std::vector<message_in_flight> m_inFlight;
    std::map<std::pair<std::string, std::string>, core::instant> m_linkFree;
    std::map<consensus::member_id, std::string> m_hostOfId;
    consensus::member_id m_lastId = 0;
    core::instant m_leaderSeen;
    consensus::log_index m_committed = 0;
    std::deque<std::string> m_notes;
};

} // namespace quetzalcleat::explore
