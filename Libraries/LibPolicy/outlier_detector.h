#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <vector>

namespace quetzalcleat::policy {

/// Compares the endpoints of each pool with each other and ejects stragglers and those that fail.
class outlier_detector
{
public:
    /// Evaluates one pool, the one that has waited longest of those that were not evaluated for
    /// policy_options::outlierInterval. Returns the number of ejections. One pool per call keeps a
    /// tick short; with more pools than ticks in an interval, all still have their turn.
    std::uint32_t run(core_tables &tables, core::instant now);

    /// Ejects an endpoint unless too many of its peers are ejected already.
    static bool ejectIfAllowed(core_tables &tables, const pool_record &pool,
                               std::uint32_t endpointIndex, core::instant now);

    /// Ejects the endpoint again if the first token of its probe was slow. Returns whether it was.
    static bool evaluateProbeFirstToken(core_tables &tables, const pool_record &pool,
                                        std::uint32_t endpointIndex, double firstToken,
                                        core::instant now);

    /// Reinstates the endpoint of a probe that was answered or ejects it again, by the time between
    /// the tokens (0 if there were none). In overload the first token does not reveal a straggler,
    /// because the first tokens of its peers wait for a free slot, too.
    static void evaluateProbeAnswer(core_tables &tables, const pool_record &pool,
                                    std::uint32_t endpointIndex, double betweenTokens,
                                    core::instant now);

private:
    std::uint32_t evaluatePool(core_tables &tables, pool_record &pool, core::instant now);
    static void addPendingSamples(core_tables &tables, const pool_record &pool, core::instant now);
    void updateMedians(const core_tables &tables, pool_record &pool);
    static void updateRatio(const core_tables &tables, const pool_record &pool,
                            endpoint_record &endpoint);
    double median();

    std::vector<double> m_values;
};

} // namespace quetzalcleat::policy
