#pragma once

#include "LibCore/time.h"
#include "LibPeer/control_service.h"
#include "LibPeer/peer_network.h"
#include "LibPolicy/fleet_clock.h"
#include "LibPolicy/usage_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::fleet {

/// What the entry hosts report to the leader for its duties. Answers them while this host leads
/// with a confirmed lease; other hosts ignore them.
class duty_reports : public std::enable_shared_from_this<duty_reports>
{
public:
    /// The newest report of a host.
    struct host_demand
    {
        std::uint64_t incarnation = 0; ///< Of the process; the counts begin at 0 with each.
        std::string dataCentre;
        std::vector<peer::service_demand> services;
        core::instant receivedAt; ///< By the clock that counts suspended time.
    };
    using leave_source = std::function<std::vector<peer::endpoint_leave>()>;

    /// To be called before the network starts.
    static std::shared_ptr<duty_reports> create(std::shared_ptr<peer::peer_network> network,
                                                std::shared_ptr<peer::control_service> service,
                                                policy::usage_ledger_options options,
                                                core::time_source now = core::suspendAwareNow);

    /// To be called every few 10 ms.
    void tick();

    /// Newest cumulative counts by host. Hosts that have not reported for a minute are forgotten.
    const std::map<std::string, host_demand> &demand() const { return m_demand; }

    /// Sets what is sent with each answer.
    void setLeaving(leave_source source) { m_leaving = std::move(source); }

    /// True time; empty if too few clocks are known.
    std::optional<core::wall_time> time() const;

    policy::usage_ledger &ledger() { return m_ledger; }

private:
    duty_reports(std::shared_ptr<peer::peer_network> network,
                 std::shared_ptr<peer::control_service> service,
                 policy::usage_ledger_options options, core::time_source now);

    void receive(const std::string &host, const peer::duty_report &report);

    std::shared_ptr<peer::peer_network> m_network;
    std::shared_ptr<peer::control_service> m_service;
    core::time_source m_now;
    policy::fleet_clock m_clock;
    policy::usage_ledger m_ledger;
    std::map<std::string, host_demand> m_demand;
    leave_source m_leaving;
    bool m_wasConfirmed = false;
    core::instant m_confirmedSince;
};

} // namespace quetzalcleat::fleet
