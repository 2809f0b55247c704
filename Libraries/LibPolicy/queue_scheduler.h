#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quetzalcleat::policy {

/// The request of a pool that is to be routed next.
struct queue_selection
{
    std::uint32_t classIndex = 0;
    fair_queue::queue_entry entry;

    /// WaitLimit or MinimumShare if the request goes ahead of others that are next by tier.
    std::optional<decision_reason> promotionReason;
};

/// Selects the request of a pool that is routed next.
///
/// A class with a request past its maximum wait goes first, then a class below its minimum share,
/// then the tiers by rank; within a tier the class with the earliest due time. Requests past their
/// maximum wait take at most policy_options::agedDispatchShare of the dispatches from the others,
/// which bounds both their wait and the delay of the top tier.
class queue_scheduler
{
public:
    /// Starts a pass over a pool: all classes may be selected again.
    void begin(core_tables &tables, pool_record &pool, core::instant now);

    std::optional<queue_selection> next(const core_tables &tables, const pool_record &pool,
                                        core::instant now);

    /// The request that arrived first: the order of the baselines.
    std::optional<queue_selection> nextInArrivalOrder(const core_tables &tables,
                                                      const pool_record &pool);

    /// Excludes a class until the pass ends.
    void block(std::uint32_t classIndex) { m_blocked[classIndex] = true; }

    /// Updates credits and turns for a dispatch. Call before the request leaves its queue.
    static void recordDispatch(const core_tables &tables, pool_record &pool,
                               const queue_selection &selection, double work);

private:
    bool isSelectable(const core_tables &tables, const pool_record &pool,
                      std::uint32_t classIndex) const;
    bool higherTierWaits(const core_tables &tables, const pool_record &pool,
                         std::uint32_t rank) const;
    std::optional<queue_selection> nextAged(const core_tables &tables, const pool_record &pool,
                                            core::instant now) const;
    std::optional<queue_selection> nextByMinimumShare(const core_tables &tables,
                                                      const pool_record &pool) const;
    std::optional<queue_selection> nextByTier(const core_tables &tables,
                                              const pool_record &pool) const;

    std::vector<bool> m_blocked;
};

} // namespace quetzalcleat::policy
