#include "LibPolicy/queue_scheduler.h"

#include <algorithm>
#include <tuple>

namespace quetzalcleat::policy {

namespace {

auto callerMayRun(const core_tables &tables)
{
    return [&tables](std::uint32_t callerSlot) {
        const auto &caller = tables.callers[callerSlot];
        return caller.limits.allowsRunning(caller.running);
    };
}

} // namespace

void queue_scheduler::begin(core_tables &tables, pool_record &pool, core::instant now)
{
    m_blocked.assign(tables.classes.size(), false);
    for (auto &queue : pool.queues)
        queue.waiting.demoteLate(now);
}

bool queue_scheduler::isSelectable(const core_tables &tables, const pool_record &pool,
                                   std::uint32_t classSlot) const
{
    const auto &entry = tables.classes[classSlot];
    return !m_blocked[classSlot] && !pool.queues[classSlot].waiting.empty()
        && entry.limits.allowsRunning(entry.running);
}

bool queue_scheduler::higherTierWaits(const core_tables &tables, const pool_record &pool,
                                      std::uint32_t rank) const
{
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot)
        if (tables.classes[slot].rank < rank && isSelectable(tables, pool, slot))
            return true;
    return false;
}

std::optional<queue_selection> queue_scheduler::nextAged(const core_tables &tables,
                                                         const pool_record &pool,
                                                         core::instant now) const
{
    std::optional<std::uint32_t> chosen;
    core::instant::duration longestExcess{0};
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot) {
        if (!isSelectable(tables, pool, slot))
            continue;
        const auto *first = tables.requests.find(pool.queues[slot].waiting.firstArrival());
        const auto excess = now - first->submittedAt - tables.classes[slot].rules.maximumWait;
        if (excess.count() >= 0 && (!chosen || excess > longestExcess)) {
            chosen = slot;
            longestExcess = excess;
        }
    }
    if (!chosen)
        return std::nullopt;
    const auto waiting = pool.queues[*chosen].waiting.oldest(callerMayRun(tables));
    if (!waiting)
        return std::nullopt;
    // Requests that are late already must not keep those from their target that can still meet
    // it, not even in their own class: in overload every answer would be late.
    const auto inTurn = nextByTier(tables, pool);
    const bool overtakes = inTurn && inTurn->waiting.request != waiting->request;
    if (overtakes && pool.agedCredit < 1)
        return std::nullopt;
    queue_selection selection{*chosen, *waiting, {}};
    if (overtakes)
        selection.overtakes = decision_reason::WaitLimit;
    return selection;
}

std::optional<queue_selection> queue_scheduler::nextOwed(const core_tables &tables,
                                                         const pool_record &pool) const
{
    std::optional<queue_selection> best;
    double highest = 0;
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot) {
        const double credit = pool.queues[slot].shareCredit;
        if (credit <= highest || !isSelectable(tables, pool, slot))
            continue;
        const auto waiting = pool.queues[slot].waiting.next(callerMayRun(tables));
        if (!waiting || credit < tables.requests.find(waiting->request)->work())
            continue;
        best = queue_selection{slot, *waiting, {}};
        highest = credit;
    }
    if (best && higherTierWaits(tables, pool, tables.classes[best->classSlot].rank))
        best->overtakes = decision_reason::MinimumShare;
    return best;
}

std::optional<queue_selection> queue_scheduler::nextByTier(const core_tables &tables,
                                                           const pool_record &pool) const
{
    std::optional<std::uint32_t> best;
    std::tuple<std::uint32_t, core::instant, request_id> bestKey;
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot) {
        if (!isSelectable(tables, pool, slot))
            continue;
        const auto &waiting = pool.queues[slot].waiting;
        // A class that holds only late requests goes after the others of its tier.
        const std::tuple key{tables.classes[slot].rank,
                             waiting.earliestDue().value_or(core::instant::max()),
                             waiting.firstArrival()};
        if (!best || key < bestKey) {
            best = slot;
            bestKey = key;
        }
    }
    if (!best)
        return std::nullopt;
    const auto waiting = pool.queues[*best].waiting.next(callerMayRun(tables));
    // The class itself is returned as blocked: the caller of this function leaves it out.
    return queue_selection{*best, waiting.value_or(fair_queue::waiting{}), {}};
}

std::optional<queue_selection> queue_scheduler::next(const core_tables &tables,
                                                     const pool_record &pool, core::instant now)
{
    if (auto aged = nextAged(tables, pool, now))
        return aged;
    if (auto owed = nextOwed(tables, pool))
        return owed;
    while (auto selection = nextByTier(tables, pool)) {
        if (selection->waiting.request.value != 0)
            return selection;
        // All its waiting callers are at their concurrency limits.
        block(selection->classSlot);
    }
    return std::nullopt;
}

std::optional<queue_selection> queue_scheduler::nextInArrivalOrder(const core_tables &tables,
                                                                   const pool_record &pool)
{
    std::optional<queue_selection> first;
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot) {
        if (!isSelectable(tables, pool, slot))
            continue;
        const auto waiting = pool.queues[slot].waiting.oldest(callerMayRun(tables));
        if (waiting && (!first || waiting->request < first->waiting.request))
            first = queue_selection{slot, *waiting, {}};
    }
    return first;
}

void queue_scheduler::noteDispatch(const core_tables &tables, pool_record &pool,
                                   const queue_selection &selection, double work)
{
    auto &chosen = pool.queues[selection.classSlot];
    chosen.waiting.noteTurn(selection.waiting.callerSlot);
    chosen.waiting.charge(selection.waiting.callerSlot, work);
    if (selection.overtakes == decision_reason::WaitLimit)
        pool.agedCredit -= 1;
    else
        pool.agedCredit = std::min(1.0, pool.agedCredit + tables.options.agedDispatchShare);
    // Bounds what a class can claim at once after a long time without room.
    constexpr double creditBound = 4;
    for (std::uint32_t slot = 0; slot < pool.queues.size(); ++slot) {
        const double share = tables.classes[slot].rules.minimumShare;
        auto &queue = pool.queues[slot];
        if (share <= 0 || queue.waiting.empty())
            continue;
        const auto *first = tables.requests.find(queue.waiting.firstArrival());
        queue.shareCredit = std::min(queue.shareCredit + share * work, creditBound * first->work());
    }
    chosen.shareCredit = std::max(0.0, chosen.shareCredit - work);
}

} // namespace quetzalcleat::policy
