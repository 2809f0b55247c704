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

    /// Ejects the endpoint again if the first token of its probe was late. Returns whether it was.
    static bool judgeFirstToken(core_tables &tables, const pool_record &pool,
                                std::uint32_t endpointSlot, double firstToken, core::instant now);

    /// Judges a probe that was answered, by the time between its tokens (0 if it had none):
    /// reinstates the endpoint or ejects it again. In overload a straggler's first token is not
    /// conspicuous, because the first tokens of its peers wait for a free place.
    static void judgeAnswer(core_tables &tables, const pool_record &pool,
                            std::uint32_t endpointSlot, double betweenTokens, core::instant now);

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
