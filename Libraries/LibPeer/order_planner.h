#pragma once

#include "LibCore/time.h"
#include "LibState/command.h"
#include "LibState/command_result.h"
#include "LibState/replicated_state.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace quetzalcleat::peer {

/// The control lease as its holder may use it. Does no I/O.
class control_lease
{
public:
    control_lease(std::string host, std::uint64_t incarnation)
        : m_host(std::move(host)), m_incarnation(incarnation)
    {
    }

    /// The command that acquires or renews the lease, if it is time for that.
    std::optional<state::control_lease_acquire> request(core::instant now);

    /// The verdict on the last request. Time counts from when the request was made.
    void handle(const state::control_lease_verdict &verdict, core::instant now);

    /// To be called if no verdict arrived or an endpoint has seen a later fencing number.
    void invalidate();

    bool isHeld(core::instant now) const { return now < m_usableUntil; }
    std::uint64_t fencing() const { return m_fencing; }

    /// Earliest time for orders to endpoints that do not check fencing numbers: by then the lease
    /// of the predecessor has ended, and its last orders have arrived or never will.
    core::instant unfencedOrdersAllowedFrom() const { return m_unfencedOrdersAllowedFrom; }

private:
    std::string m_host;
    std::uint64_t m_incarnation;
    std::uint64_t m_fencing = 0;
    core::instant m_requestedAt;
    core::instant m_usableUntil;
    core::instant m_unfencedOrdersAllowedFrom;
};

/// A model version on an endpoint, as required by the rules.
struct model_placement
{
    std::string endpoint;
    std::string model;
    std::string version;

    bool operator==(const model_placement &) const = default;
    bool operator<(const model_placement &other) const
    {
        return std::tie(endpoint, model, version)
            < std::tie(other.endpoint, other.model, other.version);
    }
};

/// State reported by an endpoint.
struct reported_endpoint_state
{
    bool checksFencing = false;
    bool reachable = false; ///< Whether `loaded` is recent.
    std::set<std::pair<std::string, std::string>> loaded; ///< Model and version.
};

struct order_plan
{
    /// To be proposed. An order is sent only once it is in the replicated state, so that the next
    /// holder knows of it.
    std::vector<state::order_begin> begin;
    std::vector<state::order_finish> finish; ///< To be proposed.
    std::vector<state::order_begin> send; ///< To be sent or resent to the endpoint.
};

struct order_planner_options
{
    /// Bound of concurrent loads from the weight store, over all holders of the lease.
    std::size_t maximumLoads = 2;
    std::chrono::milliseconds resendInterval{3000};
};

constexpr auto loadModelOrder = "load_model";
constexpr auto unloadModelOrder = "unload_model";

/// Compares the placements required by the rules with the reports of the endpoints, and plans which
/// orders to begin, send and finish. Does no I/O; the holder of the control lease calls plan() at
/// intervals.
///
/// Orders of a previous holder are in the replicated state. They are sent again under the fencing
/// number of the present lease if the rules still require them, and otherwise recorded as undone. A
/// load that takes effect later appears in the reports and is unloaded by a separate order.
class order_planner
{
public:
    explicit order_planner(order_planner_options options) : m_options(options) { }

    order_plan plan(const control_lease &lease, const std::set<model_placement> &wanted,
                    const std::map<std::string, reported_endpoint_state> &endpoints,
                    const std::map<std::string, state::order_record> &orders, core::instant now);

private:
    struct proposed_order
    {
        state::order_begin order;
        core::instant at;
    };

    void planOpenOrder(const state::order_begin &order, const control_lease &lease,
                       const std::set<model_placement> &wanted,
                       const std::map<std::string, reported_endpoint_state> &endpoints,
                       order_plan &plan, core::instant now);
    void begin(const char *kind, const model_placement &placement, const control_lease &lease,
               order_plan &plan, core::instant now);
    bool maySend(const reported_endpoint_state &endpoint, const control_lease &lease,
                 core::instant now) const;

    order_planner_options m_options;
    std::map<std::string, proposed_order> m_proposed; ///< Not in the replicated state yet.
    std::map<std::string, core::instant> m_sentAt;
    std::uint64_t m_lastOrderNumber = 0;
    std::uint64_t m_fencing = 0;
};

} // namespace quetzalcleat::peer
