#include "LibPolicy/queue_scheduler.h"

#include <algorithm>
#include <tuple>

namespace quetzalcleat::policy {

namespace {

auto accountMayRun(const core_tables &tables)
{
    return [&tables](std::uint32_t accountIndex) {
        const auto &account = tables.accounts[accountIndex];
        return account.limits.allowsRunning(account.running);
    };
}

} // namespace

void queue_scheduler::begin(core_tables &tables, pool_record &pool, core::instant now)
{
    m_blocked.assign(tables.classes.size(), false);
    for (auto &queue : pool.queues)
        queue.waiting.moveLateRequestsBack(now);
}

bool queue_scheduler::isSelectable(const core_tables &tables, const pool_record &pool,
                                   std::uint32_t classIndex) const
{
    const auto &entry = tables.classes[classIndex];
    return !m_blocked[classIndex] && !pool.queues[classIndex].waiting.empty()
        && entry.limits.allowsRunning(entry.running);
}

bool queue_scheduler::higherTierWaits(const core_tables &tables, const pool_record &pool,
                                      std::uint32_t rank) const
{
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index)
        if (tables.classes[index].rank < rank && isSelectable(tables, pool, index))
            return true;
    return false;
}

std::optional<queue_selection> queue_scheduler::nextAged(const core_tables &tables,
                                                         const pool_record &pool,
                                                         core::instant now) const
{
    std::optional<std::uint32_t> chosen;
    core::instant::duration longestExcess{0};
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index) {
        if (!isSelectable(tables, pool, index))
            continue;
        const auto *first = tables.requests.find(pool.queues[index].waiting.firstArrival());
        const auto excess = now - first->submittedAt - tables.classes[index].rules.maximumWait;
        if (excess.count() >= 0 && (!chosen || excess > longestExcess)) {
            chosen = index;
            longestExcess = excess;
        }
    }
    if (!chosen)
        return std::nullopt;
    const auto entry = pool.queues[*chosen].waiting.oldest(accountMayRun(tables));
    if (!entry)
        return std::nullopt;
    // Late requests must not delay those that can still meet their target, not even in their own
    // class: in overload every answer would be late.
    const auto regular = nextByTier(tables, pool);
    const bool isPromotion = regular && regular->entry.request != entry->request;
    if (isPromotion && pool.agedCredit < 1)
        return std::nullopt;
    queue_selection selection{*chosen, *entry, {}};
    if (isPromotion)
        selection.promotionReason = decision_reason::WaitLimit;
    return selection;
}

std::optional<queue_selection> queue_scheduler::nextByMinimumShare(const core_tables &tables,
                                                                   const pool_record &pool) const
{
    std::optional<queue_selection> best;
    double highest = 0;
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index) {
        const double credit = pool.queues[index].shareCredit;
        if (credit <= highest || !isSelectable(tables, pool, index))
            continue;
        const auto entry = pool.queues[index].waiting.next(accountMayRun(tables));
        if (!entry || credit < tables.requests.find(entry->request)->work())
            continue;
        best = queue_selection{index, *entry, {}};
        highest = credit;
    }
    if (best && higherTierWaits(tables, pool, tables.classes[best->classIndex].rank))
        best->promotionReason = decision_reason::MinimumShare;
    return best;
}

std::optional<queue_selection> queue_scheduler::nextByTier(const core_tables &tables,
                                                           const pool_record &pool) const
{
    std::optional<std::uint32_t> best;
    std::tuple<std::uint32_t, core::instant, request_id> bestKey;
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index) {
        if (!isSelectable(tables, pool, index))
            continue;
        const auto &waiting = pool.queues[index].waiting;
        // A class with only late requests goes after the others of its tier.
        const std::tuple key{tables.classes[index].rank,
                             waiting.earliestDue().value_or(core::instant::max()),
                             waiting.firstArrival()};
        if (!best || key < bestKey) {
            best = index;
            bestKey = key;
        }
    }
    if (!best)
        return std::nullopt;
    const auto entry = pool.queues[*best].waiting.next(accountMayRun(tables));
    // An empty entry tells next() that no account of the class may run, so that it blocks the
    // class.
    return queue_selection{*best, entry.value_or(fair_queue::queue_entry{}), {}};
}

std::optional<queue_selection> queue_scheduler::next(const core_tables &tables,
                                                     const pool_record &pool, core::instant now)
{
    if (auto aged = nextAged(tables, pool, now))
        return aged;
    if (auto belowShare = nextByMinimumShare(tables, pool))
        return belowShare;
    while (auto selection = nextByTier(tables, pool)) {
        if (selection->entry.request.value != 0)
            return selection;
        // All its waiting accounts are at their concurrency limits.
        block(selection->classIndex);
    }
    return std::nullopt;
}

std::optional<queue_selection> queue_scheduler::nextInArrivalOrder(const core_tables &tables,
                                                                   const pool_record &pool)
{
    std::optional<queue_selection> first;
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index) {
        if (!isSelectable(tables, pool, index))
            continue;
        const auto entry = pool.queues[index].waiting.oldest(accountMayRun(tables));
        if (entry && (!first || entry->request < first->entry.request))
            first = queue_selection{index, *entry, {}};
    }
    return first;
}

void queue_scheduler::recordDispatch(const core_tables &tables, pool_record &pool,
                                     const queue_selection &selection, double work)
{
    auto &chosen = pool.queues[selection.classIndex];
    chosen.waiting.advanceVirtualTime(selection.entry.accountIndex);
    chosen.waiting.charge(selection.entry.accountIndex, work);
    if (selection.promotionReason == decision_reason::WaitLimit)
        pool.agedCredit -= 1;
    else
        pool.agedCredit = std::min(1.0, pool.agedCredit + tables.options.agedDispatchShare);
    // Limits the burst of a class after a long time without free slots.
    constexpr double creditBound = 4;
    for (std::uint32_t index = 0; index < pool.queues.size(); ++index) {
        const double share = tables.classes[index].rules.minimumShare;
        auto &queue = pool.queues[index];
        if (share <= 0 || queue.waiting.empty())
            continue;
        const auto *first = tables.requests.find(queue.waiting.firstArrival());
        queue.shareCredit = std::min(queue.shareCredit + share * work, creditBound * first->work());
    }
    chosen.shareCredit = std::max(0.0, chosen.shareCredit - work);
}

} // namespace quetzalcleat::policy
