#pragma once

#include "LibCore/time.h"
#include "LibForward/configuration.h"
#include "LibForward/endpoint_table.h"
#include "LibPeer/messages.h"
#include "LibPolicy/capacity_planner.h"
#include "LibPolicy/demand_meter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::fleet {

/// What a control host knows of supply and demand. Does no I/O; time is passed in.
class capacity_sources
{
public:
    /// An older list is not used for orders.
    static constexpr std::chrono::milliseconds maximumListAge{3000};

    /// `regions` gives the region of each data centre.
    explicit capacity_sources(std::map<std::string, std::string> regions)
        : m_regions(std::move(regions))
    {
    }

    /// The platform's list of endpoints, as read completely.
    void setList(std::vector<forward::listed_endpoint> endpoints, core::instant now);
    const std::vector<forward::listed_endpoint> &list() const { return m_endpoints; }
    /// Endpoints that leave at a known time, with the time left.
    std::vector<peer::endpoint_leave> leaves(core::instant now) const;

    /// Requests at the endpoints, over all hosts.
    void setLoads(const std::vector<peer::endpoint_load> &loads);

    /// The report of an entry host.
    void recordReport(const policy::reporting_host &host,
                      const std::vector<peer::service_demand> &demand, core::instant now);

    /// The input of the planner of a service that has an autoscale profile.
    policy::capacity_input inputFor(const forward::service &service, core::instant now) const;

private:
    std::map<std::string, std::string> m_regions;
    std::vector<forward::listed_endpoint> m_endpoints;
    std::optional<core::instant> m_listedAt;
    std::map<std::string, std::uint32_t> m_running; ///< By incarnation.
    policy::demand_meter m_demand;
};

} // namespace quetzalcleat::fleet
