#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace quetzalcleat::policy {

/// The request of a pool that is to be routed next.
struct queue_selection
{
    std::uint32_t classSlot = 0;
    fair_queue::waiting waiting;

    /// WaitLimit or MinimumShare if it goes before requests that would be next otherwise.
    std::optional<decision_reason> overtakes;
};

/// Orders the queues of a pool.
///
/// A class with a request past its maximum wait goes first, then a class that is owed a part of
/// its minimum share, then the tiers by rank; within a tier the class with the earliest due time.
/// Requests past their maximum wait take at most policy_options::agedDispatchShare of the
/// dispatches from the others, which bounds both their wait and the harm to the top tier.
class queue_scheduler
{
public:
    /// Starts a pass over a pool: all classes may be selected again.
    void begin(core_tables &tables, pool_record &pool, core::instant now);

    std::optional<queue_selection> next(const core_tables &tables, const pool_record &pool,
                                        core::instant now);

    /// The strictly oldest request: the order of the baselines.
    std::optional<queue_selection> nextInArrivalOrder(const core_tables &tables,
                                                      const pool_record &pool);

    /// Leaves a class out until the pass ends.
    void block(std::uint32_t classSlot) { m_blocked[classSlot] = true; }

    /// Accounts for a dispatch. Call before the request leaves its queue.
    static void noteDispatch(const core_tables &tables, pool_record &pool,
                             const queue_selection &selection, double work);

private:
    bool isSelectable(const core_tables &tables, const pool_record &pool,
                      std::uint32_t classSlot) const;
    bool higherTierWaits(const core_tables &tables, const pool_record &pool,
                         std::uint32_t rank) const;
    std::optional<queue_selection> nextAged(const core_tables &tables, const pool_record &pool,
                                            core::instant now) const;
    std::optional<queue_selection> nextOwed(const core_tables &tables,
                                            const pool_record &pool) const;
    std::optional<queue_selection> nextByTier(const core_tables &tables,
                                              const pool_record &pool) const;

    std::vector<bool> m_blocked;
};

} // namespace quetzalcleat::policy
