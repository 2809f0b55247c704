#pragma once

#include "LibPolicy/routing_policy.h"

#include <span>
#include <vector>

namespace quetzalcleat::policy {

/// Endpoints of one pool that have room now, nearest group first. Rebuilt for each pass over a
/// pool and kept up to date while the pass dispatches.
class pool_candidates
{
public:
    /// With `simple` set, every live endpoint with a free own slot counts, as a baseline sees it.
    void refresh(core_tables &tables, pool_record &pool, bool simple, core::instant now);

    /// Candidates for one request. Another data centre is left out until the request has waited
    /// for its spill delay.
    std::span<const routing_candidate> forRequest(const core_tables &tables,
                                                  const request_record &request, core::instant now);

    /// Updates the load of an endpoint that was given a request.
    void noteDispatch(std::uint32_t endpointSlot);

    /// Attempts that the endpoints still have room for.
    double freeSlots() const;

    bool empty() const { return m_near.empty() && m_far.empty() && m_probes.empty(); }

private:
    struct entry
    {
        routing_candidate candidate;
        double limit = 0; ///< Own attempts that the endpoint may have.
        double capacity = 0;
    };

    void addEndpoint(const core_tables &tables, const pool_record &pool, std::uint32_t slot,
                     bool isNear, double meanInFlight, core::instant now);
    void collect(const std::vector<entry> &entries, const request_record &request);
    bool addProbe(const core_tables &tables, const request_record &request, core::instant now);

    std::vector<entry> m_near;
    std::vector<entry> m_far;
    std::vector<entry> m_probes;
    std::vector<routing_candidate> m_result;
    bool m_nearUsable = false; ///< Whether any near endpoint takes work at all.
};

} // namespace quetzalcleat::policy
