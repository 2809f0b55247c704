#pragma once

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibPeer/load_aggregator.h"
#include "LibState/edits.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::state {
class replicated_state;
} // namespace quetzalcleat::state

namespace quetzalcleat::peer {

class configuration_feed;
class configuration_publisher;
class endpoint_catalogue;
class peer_network;

struct control_service_options
{
    std::filesystem::path dataFolder;
    /// First start of a control host of a new cluster: the control hosts in the settings are its
    /// initial voters. Only has an effect on an empty data folder.
    bool initialiseCluster = false;
    /// First configuration of a new cluster; empty for none.
    std::string seedDocument;
    /// A snapshot is taken after this many applied entries, or after this many bytes of them, but
    /// at least twice the size of the last snapshot.
    std::uint64_t snapshotEntries = 10'000;
    std::size_t snapshotBytes = std::size_t{4} * 1024 * 1024;
    /// See consensus::raft_options.
    std::chrono::milliseconds electionTimeout{1000};
    std::chrono::milliseconds heartbeatInterval{150};
    /// See consensus::membership_planner_options.
    std::size_t minimumVoters = 0;
    /// Whether a voter that knows no leader asks to join again, in case it was removed.
    bool rejoinWithoutLeader = false;
    core::time_source now = core::suspendAwareNow; ///< Has to count suspended time.
    /// The loads that hosts report while this host leads, at the times of `now`.
    std::shared_ptr<load_aggregator> loads = std::make_shared<load_aggregator>();
};

/// The replicated log and state on a control host: runs raft over the peer network, syncs on a
/// worker thread, answers proposals of all hosts and publishes accepted configurations.
class control_service
{
public:
    /// Opens the data folder. Errors are those of the log store.
    static core::result<std::shared_ptr<control_service>>
    create(std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed,
           std::shared_ptr<configuration_publisher> publisher, control_service_options options);
    ~control_service();

    control_service(const control_service &) = delete;
    control_service &operator=(const control_service &) = delete;

    void start();

    /// Stops raft and waits for the disk write in progress.
    void stop();

    /// The newest accepted configuration, if isConfirmed().
    std::optional<state::configuration> confirmedConfiguration() const;

    /// Whether this host leads with a valid lease, so that its configuration is certainly the
    /// newest.
    bool isConfirmed() const;

    /// Host name of the leader that this host follows; empty if unknown.
    std::string leaderHost() const;

    /// Hosts whose members may vote, by the newest membership known to be committed.
    std::vector<std::string> voterHosts() const;

    /// Sets the list of endpoints that is sent to hosts with their leases.
    void setCatalogue(std::shared_ptr<const endpoint_catalogue> catalogue);

    /// Calls the handler whenever this host begins to confirm configurations as the leader.
    void onConfirming(std::function<void()> handler);

    /// Transfers leadership to the voter that has most of the log, if this host leads.
    void transferLeadership();

    /// Begins a planned stop, after which the host may never start again: transfers leadership and
    /// asks the leader to take this host out of the membership, in favour of a host that is joining
    /// if there is one. To be repeated until the stop, which follows in any case after the
    /// remaining time.
    void leave(std::chrono::milliseconds remaining);

    /// Whether the leader has answered that this host may stop.
    bool hasLeft() const;

    /// What this host has applied; certainly up to date only while isConfirmed().
    const state::replicated_state &replicatedState() const;

    bool isLeader() const;
    bool isVoter() const;

private:
    class implementation;

    explicit control_service(std::shared_ptr<implementation> content);

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::peer
