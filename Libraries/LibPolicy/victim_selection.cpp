#include "LibPolicy/victim_selection.h"

#include "LibPolicy/notice_control.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quetzalcleat::policy {

namespace {

std::uint32_t queuedOfRank(const core_tables &tables, std::uint32_t rank)
{
    return rank < tables.queuedByRank.size() ? tables.queuedByRank[rank] : 0;
}

std::uint32_t queuedOfAccount(const core_tables &tables, std::uint32_t classIndex,
                              std::uint32_t accountIndex)
{
    std::uint32_t count = 0;
    for (const auto &pool : tables.pools)
        if (classIndex < pool.queues.size())
            count += pool.queues[classIndex].waiting.queuedOf(accountIndex);
    return count;
}

bool classIsFull(const core_tables &tables, const request_record &arrival)
{
    const auto &entry = tables.classes[arrival.classIndex];
    return entry.queued >= entry.rules.queueLength;
}

} // namespace

bool victim_selection::hasQueueSpace(const core_tables &tables, const request_record &arrival)
{
    const std::uint32_t rank = tables.classes[arrival.classIndex].rank;
    return !classIsFull(tables, arrival)
        && queuedOfRank(tables, rank) < tables.options.tierQueueBound
        && tables.queued < tables.options.hostQueueBound;
}

std::optional<request_id> victim_selection::lastRequestOfLargestAccount(const core_tables &tables,
                                                                        std::uint32_t classIndex,
                                                                        std::uint32_t queuedAbove)
{
    struct candidate
    {
        const fair_queue *queue;
        fair_queue::account_count account;
    };
    std::vector<candidate> candidates;
    for (const auto &pool : tables.pools) {
        if (classIndex >= pool.queues.size())
            continue;
        const auto &waiting = pool.queues[classIndex].waiting;
        for (const auto &account : waiting.accounts()) {
            if (account.queued > queuedAbove)
                candidates.push_back({&waiting, account});
        }
    }
    std::ranges::sort(candidates, [](const candidate &left, const candidate &right) {
        return std::pair(right.account.queued, left.account.accountIndex)
            < std::pair(left.account.queued, right.account.accountIndex);
    });
    std::optional<request_id> victim;
    for (const auto &entry : candidates) {
        entry.queue->visitInSheddingOrder(
            entry.account.accountIndex, [&](const fair_queue::queue_entry &waiting) {
                // The work of earlier attempts would be wasted.
                if (tables.requests.find(waiting.request)->attempts > 0)
                    return false;
                victim = waiting.request;
                return true;
            });
        if (victim)
            break;
    }
    return victim;
}

std::optional<request_id> victim_selection::lastRequestOfLowerTier(const core_tables &tables,
                                                                   std::uint32_t rank)
{
    for (auto lowest = static_cast<std::uint32_t>(tables.queuedByRank.size()); lowest > rank + 1;
         --lowest) {
        const std::uint32_t victimRank = lowest - 1;
        if (tables.queuedByRank[victimRank] == 0)
            continue;
        for (std::uint32_t index = 0; index < tables.classes.size(); ++index) {
            const auto &entry = tables.classes[index];
            if (entry.rank != victimRank || entry.queued == 0)
                continue;
            if (const auto victim = lastRequestOfLargestAccount(tables, index, 0))
                return victim;
        }
    }
    return std::nullopt;
}

std::optional<victim_selection::shed_victim>
victim_selection::chooseToShed(const core_tables &tables, const request_record &arrival)
{
    const std::uint32_t rank = tables.classes[arrival.classIndex].rank;
    if (classIsFull(tables, arrival)) {
        const std::uint32_t ownQueued
            = queuedOfAccount(tables, arrival.classIndex, arrival.accountIndex);
        const auto victim = lastRequestOfLargestAccount(tables, arrival.classIndex, ownQueued + 1);
        if (!victim)
            return std::nullopt;
        return shed_victim{*victim, decision_reason::QueueFull};
    }
    // Shedding a request of a lower tier does not lower the count of this tier.
    if (queuedOfRank(tables, rank) >= tables.options.tierQueueBound)
        return std::nullopt;
    const auto victim = lastRequestOfLowerTier(tables, rank);
    if (!victim)
        return std::nullopt;
    return shed_victim{*victim, decision_reason::HigherTierWaiting};
}

bool victim_selection::mayPreempt(const core_tables &tables, const request_record &victim,
                                  const request_record &waiting)
{
    const auto &entry = tables.classes[victim.classIndex];
    return entry.rank > tables.classes[waiting.classIndex].rank && entry.rules.preemptible
        && victim.pool == waiting.pool && victim.repeatable && !victim.promoted && !victim.probe
        && victim.preemptions < tables.options.maximumPreemptions;
}

std::optional<request_id> victim_selection::chooseToPreempt(const core_tables &tables,
                                                            const request_record &waiting,
                                                            core::instant now)
{
    const request_record *best = nullptr;
    for (const std::uint32_t index : tables.pools[waiting.pool].endpoints) {
        const auto &endpoint = tables.endpoints[index];
        const bool isUsable = notice_control::use(tables, endpoint, now) == endpoint_use::Free
            && endpoint.description.canResume
            && endpoint.health.health() == endpoint_health::Healthy;
        if (!isUsable)
            continue;
        for (const request_id id : endpoint.running) {
            const auto *victim = tables.requests.find(id);
            if (!mayPreempt(tables, *victim, waiting))
                continue;
            const auto rank = tables.classes[victim->classIndex].rank;
            const auto bestRank = best == nullptr ? 0 : tables.classes[best->classIndex].rank;
            // Within a tier the request that has delivered the fewest tokens.
            if (best == nullptr || rank > bestRank
                || (rank == bestRank && victim->deliveredTokens < best->deliveredTokens))
                best = victim;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

} // namespace quetzalcleat::policy
