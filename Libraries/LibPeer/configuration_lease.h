#pragma once

#include "LibCore/time.h"
#include "LibPeer/control_plane.h"
#include "LibPeer/endpoint_catalogue.h"
#include "LibPeer/peer_network.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

struct configuration_lease_options
{
    /// Between two requests to the leader, in a fleet of up to `fleetSizeAtBaseInterval` hosts. In
    /// a larger one each host asks less often, so that the request rate at the leader stays the
    /// same. The largest known deployment has 83 hosts.
    std::chrono::milliseconds interval{250};
    std::uint32_t fleetSizeAtBaseInterval = 100;
    /// Upper bound of the interval. A revoked key has to be rejected within 5 s.
    std::chrono::milliseconds maximumInterval{1000};

    std::chrono::milliseconds intervalFor(std::uint32_t hosts) const;
    /// Without a confirmation for this long, all known control hosts are asked.
    std::chrono::milliseconds leaderSearchDelay{600};
    core::time_source now = core::suspendAwareNow; ///< Has to count suspended time.
};

/// Keeps the configuration of a host without the replicated log up to date, and tells when a leader
/// last confirmed that it is the newest.
class configuration_lease : public std::enable_shared_from_this<configuration_lease>
{
public:
    struct handlers
    {
        configuration_handler changed; ///< A newer configuration.
        std::function<std::vector<endpoint_load>()> ownLoads;
        /// The sums of the loads of all other hosts, and the number of hosts. Called for each
        /// answer of a leader, with its list of endpoints in endpoints().
        std::function<void(const std::vector<endpoint_load> &, std::uint32_t)> loads;
        /// Adds what this host has seen of crashes of engines.
        std::function<void(configuration_lease_request &)> addCrashes;
        /// The answer of a leader to one of the requests.
        std::function<void(const configuration_lease_answer &)> quarantine;
        std::function<void(bool)> confirmationChanged; ///< Whether a leader confirms.
    };

    static std::shared_ptr<configuration_lease> create(std::shared_ptr<peer_network> network,
                                                       std::vector<std::string> seeds,
                                                       configuration_lease_options options,
                                                       handlers handlers);

    void start();
    void stop();

    /// Replaces the hosts that are asked when no leader answers.
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// Age of the last confirmation that the configuration in force is the newest. Counts from the
    /// request, and includes time in which the host was suspended. The maximum if there was none.
    std::chrono::milliseconds age() const;

    /// Upper bound of the age of the list of endpoints from a control host; the maximum if there is
    /// none.
    std::chrono::milliseconds listAge() const;
    const endpoint_replica &endpoints() const { return m_endpoints; }

    std::uint64_t revision() const { return m_revision; }
    const std::string &leader() const { return m_leader; }

private:
    configuration_lease(std::shared_ptr<peer_network> network, std::vector<std::string> seeds,
                        configuration_lease_options options, handlers handlers);

    void startTimer();
    std::chrono::milliseconds interval() const { return m_options.intervalFor(m_hostCount); }
    std::chrono::milliseconds leaderSearchDelay() const;
    void sendRequest();
    void receive(const std::string &host, const configuration_lease_answer &answer);
    void applyConfiguration(const configuration_lease_answer &answer);

    std::shared_ptr<peer_network> m_network;
    std::vector<std::string> m_seeds;
    configuration_lease_options m_options;
    handlers m_handlers;
    asio::steady_timer m_timer;
    std::set<std::string> m_controlHosts; ///< By the last answer of a leader.
    std::string m_leader;
    std::uint32_t m_hostCount = 0; ///< Of the fleet, by the last answer of a leader.
    std::uint64_t m_revision = 0;
    std::string m_document; ///< Of the revision; patches start from it.
    bool m_needsDocument = false; ///< A patch could not be applied.
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, core::instant> m_requestTimes; ///< When each request was sent.
    std::optional<core::instant> m_confirmedAt;
    endpoint_replica m_endpoints;
    bool m_wasConfirmed = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::peer
