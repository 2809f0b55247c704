#pragma once

#include "LibPolicy/routing_policy.h"

#include <span>
#include <vector>

namespace quetzalcleat::policy {

/// Endpoints of one pool that have free slots, local ones first. Rebuilt for each pass over a pool
/// and updated while the pass dispatches.
class pool_candidates
{
public:
    /// With `isBaseline` set, every live endpoint is a candidate until the attempts of this host
    /// fill its capacity; load reports and health are ignored.
    void refresh(core_tables &tables, pool_record &pool, bool isBaseline, core::instant now);

    /// Candidates for one request. Endpoints of other data centres are excluded until the request
    /// has waited for its spill delay.
    std::span<const routing_candidate> forRequest(const core_tables &tables,
                                                  const request_record &request, core::instant now);

    /// Updates the load of an endpoint to which a request was dispatched.
    void recordDispatch(const core_tables &tables, std::uint32_t endpointIndex, core::instant now);

    /// Further attempts that the candidates can accept.
    double freeSlots() const;

    bool empty() const
    {
        return m_local.empty() && m_remote.empty() && m_probes.empty() && m_lastResorts.empty();
    }

private:
    struct entry
    {
        routing_candidate candidate;
        double limit = 0; ///< Attempts that this host may run at the endpoint.
        double capacity = 0;
    };

    void addEndpoint(const core_tables &tables, const pool_record &pool,
                     std::uint32_t endpointIndex, bool isLocal, double meanInFlight,
                     core::instant now, bool isLastResort);
    void collect(const std::vector<entry> &entries, const request_record &request);
    bool addProbe(const core_tables &tables, const request_record &request, core::instant now);

    std::vector<entry> m_local;
    std::vector<entry> m_remote;
    std::vector<entry> m_probes;
    std::vector<entry> m_lastResorts; ///< Leaving; used if no other accepts work, full or not.
    std::vector<routing_candidate> m_result;
    bool m_anyUsable = false; ///< Whether any endpoint that is not leaving accepts work.
    bool m_localUsable = false; ///< Whether any local endpoint accepts work, free slots or not.
};

} // namespace quetzalcleat::policy
