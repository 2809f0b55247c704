#pragma once

#include "LibCore/time.h"
#include "LibPeer/control_plane.h"
#include "LibState/command.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzalcleat::peer {

class configuration_feed;
class peer_network;

struct control_client_options
{
    /// Interval between two transmissions of the same proposal, each to another control host.
    std::chrono::milliseconds resendInterval{400};
    /// How long the finish or abandonment of a claim is resent while no majority has committed it.
    std::chrono::milliseconds backgroundTime{60'000};
    /// Interval of subscriptions; each one also recovers a revision whose push was lost.
    std::chrono::milliseconds subscribeInterval{1000};
    /// The revision counts as stale once the last confirmation by a control host is this old.
    std::chrono::milliseconds staleAfter{3000};
    /// Reads the bounds of the claims ledger from a document; they are sent with its edit. May be
    /// empty.
    std::function<std::optional<state::claim_ledger_limits>(const std::string &document)>
        readClaimLedgerLimits;
    core::time_source now = core::suspendAwareNow; ///< Has to count suspended time.
};

/// Access to the replicated state from any host: proposes through any control host, keeps the
/// newest configuration, and reports on the fleet.
///
/// All calls and callbacks run on the thread of the event loop. A callback is never called from
/// within the call that registers it, is called exactly once, and gets peer_error::Undecided if no
/// verdict arrived in time. A later verdict is dropped. The attempt of a claim that timed out is
/// abandoned, so its request must not be sent.
class control_client
{
public:
    static std::shared_ptr<control_client> create(std::shared_ptr<peer_network> network,
                                                  std::shared_ptr<configuration_feed> feed,
                                                  control_client_options options = {});
    ~control_client();

    control_client(const control_client &) = delete;
    control_client &operator=(const control_client &) = delete;

    /// Subscribes to the configuration and registers this host's incarnation.
    void start();

    /// Fails every waiting call with peer_error::Undecided.
    void stop();

    void claim(state::claim_request request, std::chrono::milliseconds timeout,
               claim_handler handler);

    /// Records how the call of a granted attempt ended; repeated in the background.
    void finishClaim(state::claim_result result);

    /// Frees the key of an attempt of which nothing was sent and nothing will be; repeated in the
    /// background.
    void abandonClaim(state::claim_attempt attempt);

    void closeClaim(state::claim_key key, std::chrono::milliseconds timeout, claim_handler handler);

    void applyEdit(state::edit edit, std::chrono::milliseconds timeout, edit_handler handler);

    /// Calls the handler with the revision in force, if there is one, and with each later one.
    void onConfiguration(configuration_handler handler);

    /// Calls the handler with the number under which this process claims from now on, whenever it
    /// is raised: the state knew an earlier process of this host under a higher one.
    void onIncarnationRaised(incarnation_handler handler);

    std::uint64_t incarnation() const;

    fleet_status status() const;

    /// Demand of this host for fleet-wide limits, for example requests in the last seconds. The
    /// limits are divided among the hosts by it.
    void reportDemand(std::uint64_t demand);

    /// Part of the fleet-wide limits that this host may use now, 0 to 1. It drops to 0 a few
    /// seconds after the leader of the log becomes unreachable; the sum over all hosts is at
    /// most 1.
    double leasedShare() const;

private:
    class implementation;

    explicit control_client(std::shared_ptr<implementation> content);

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::peer
