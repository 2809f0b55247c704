#pragma once

#include "LibConsensus/log_store.h"
#include "LibConsensus/raft_core.h"
#include "LibState/replicated_state.h"
#include "LibState/state_clock.h"
#include "invariant_checker.h"
#include "schedule_random.h"
#include "simulated_clients.h"
#include "simulated_files.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalcleat::explore {

using simulated_store = consensus::basic_log_store<simulated_files>;

struct schedule_statistics
{
    std::size_t commits = 0;
    std::size_t crashes = 0;
    std::size_t powerLosses = 0;
    std::size_t storeFailures = 0;
    std::size_t emptiedDisks = 0;
    std::size_t replacements = 0;
    std::size_t installedSnapshots = 0;
    std::size_t transfers = 0;
    std::size_t pauses = 0;
    std::size_t dispatches = 0;
    std::size_t leaseChecks = 0; ///< Checks of a member with a valid lease.

    void add(const schedule_statistics &other);
};

/// Runs one random schedule over 3 or 5 voters and up to 2 more hosts: a phase with faults, then a
/// phase without faults in which the members must converge.
///
/// Time is virtual. Each member has a clock of its own that runs up to 4% too fast or too slow.
/// Every member uses the real store on a simulated disk.
class simulated_cluster
{
public:
    explicit simulated_cluster(std::uint64_t seed);

    /// Throws invariant_violation.
    schedule_statistics run();

    /// One line per member, for the report of a violation.
    std::string describe() const;

private:
    struct node
    {
        std::size_t host = 0;
        consensus::member_id id = 0;
        std::shared_ptr<simulated_disk> disk;
        std::optional<simulated_store> store;
        std::optional<consensus::raft_core> core; ///< Empty while the process is down.
        state::replicated_state state;
        consensus::log_index applied = 0;
        std::deque<consensus::ready> pending; ///< Taken from the core but not yet synced.
        std::optional<state::state_clock> clock; ///< For proposals as leader of clockTerm.
        consensus::term_number clockTerm = 0;
        core::instant pausedUntil;
        std::int64_t ratePermille = 1000;
        core::instant restartAt;
        std::size_t restarts = 0;
        std::size_t snapshotEvery = 20;
    };

    struct message_in_flight
    {
        core::instant arrival;
        consensus::raft_message message;
    };

    struct fault_profile
    {
        std::size_t lossPermille = 0;
        std::size_t duplicatePermille = 0;
        std::size_t longestDelayMs = 5;
        std::size_t crashPermille = 0;
        std::size_t pausePermille = 0;
        std::size_t partitionPermille = 0;
        std::size_t diskPermille = 0;
        std::size_t emptyDiskPermille = 0;
        std::size_t membershipPermille = 0;
        std::size_t slowDiskPermille = 0;
    };

    /// A host whose disk was emptied and whose new member is not a voter yet.
    struct replacement_plan
    {
        consensus::member_id oldId = 0;
        consensus::member_id newId = 0;
    };

    bool paused(const node &each) const { return each.pausedUntil > m_now; }
    bool runs(const node &each) const { return each.core && !paused(each); }
    core::instant localTime(const node &each) const;
    consensus::raft_options options(const node &each) const;
    node *findNode(consensus::member_id id);
    node *leader();

    void createNodes();
    void step();
    void start(node &each);
    void stop(node &each, bool powerLoss);
    void startEmpty(node &each);
    void injectFaults();
    void injectDiskFault(node &each);
    void changePartitions();
    void emptyDisk();
    void changeMembership();
    void continueReplacement();
    void transferLeadership();
    void deliver();
    void propose();
    void processReady(node &each);
    void completeSync(node &each, consensus::ready done);
    void apply(node &each, const consensus::log_entry &entry);
    void takeSnapshot(node &each);
    void send(const std::vector<consensus::raft_message> &messages);
    void observe(node &each);
    void checkLeases();
    void heal();
    bool converged();

    schedule_random m_random;
    fault_profile m_faults;
    invariant_checker m_checker;
    simulated_clients m_clients;
    schedule_statistics m_statistics;
    core::instant m_now;
    std::vector<node> m_nodes;
    std::vector<message_in_flight> m_messagesInFlight;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks; ///< Pairs of hosts: from, to.
    std::optional<replacement_plan> m_replacement;
    consensus::member_id m_lastId = 0;
};

} // namespace quetzalcleat::explore
