#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <vector>

namespace quetzalcleat::policy {

/// Compares the endpoints of each pool with each other and ejects stragglers and those that fail.
class outlier_detector
{
public:
    /// Judges the endpoints of one pool, the next that was last judged
    /// policy_options::outlierInterval ago. Returns the number of ejections. One pool per call
    /// keeps the time of a tick short.
    std::uint32_t run(core_tables &tables, core::instant now);

    /// Ejects an endpoint unless too many of its peers are ejected already.
    static bool ejectIfAllowed(core_tables &tables, const pool_record &pool,
                               std::uint32_t endpointSlot, core::instant now);

    /// Judges the first token of a probe: reinstates the endpoint or ejects it again.
    static void judgeProbe(core_tables &tables, const pool_record &pool, std::uint32_t endpointSlot,
                           double firstToken, core::instant now);

private:
    std::uint32_t judge(core_tables &tables, pool_record &pool, core::instant now);
    static void samplePending(core_tables &tables, const pool_record &pool, core::instant now);
    void updateMedians(const core_tables &tables, pool_record &pool);
    static void updateRatio(const core_tables &tables, const pool_record &pool,
                            endpoint_record &endpoint);
    double median();

    std::vector<double> m_values;
};

} // namespace quetzalcleat::policy
