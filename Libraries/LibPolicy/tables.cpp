#include "LibPolicy/tables.h"

#include <utility>

namespace quetzalcleat::policy {

void core_tables::enqueue(request_record &record)
{
    auto &pool = pools[record.pool];
    if (pool.queues.size() < classes.size())
        pool.queues.resize(classes.size());
    const std::uint32_t rank = classes[record.classIndex].rank;
    if (queuedByRank.size() <= rank)
        queuedByRank.resize(rank + 1);
    pool.queues[record.classIndex].waiting.push(record.queueEntry());
    deadlines.insert({record.deadline, record.id});
    record.running = false;
    pool.changed = true;
    ++pool.queued;
    ++queued;
    ++queuedByRank[rank];
    ++classes[record.classIndex].queued;
    ++accounts[record.accountIndex].queued;
}

void core_tables::dequeue(request_record &record)
{
    auto &pool = pools[record.pool];
    auto &queue = pool.queues[record.classIndex];
    queue.waiting.remove(record.queueEntry());
    // A class earns credit for its minimum share only while it has waiting requests.
    if (queue.waiting.empty())
        queue.shareCredit = 0;
    deadlines.erase({record.deadline, record.id});
    --pool.queued;
    --queued;
    --queuedByRank[classes[record.classIndex].rank];
    --classes[record.classIndex].queued;
    --accounts[record.accountIndex].queued;
}

void core_tables::startAttempt(request_record &record, std::uint32_t endpointIndex,
                               core::instant now)
{
    auto &endpoint = endpoints[endpointIndex];
    record.running = true;
    record.firstTokenSeen = false;
    record.endpointIndex = endpointIndex;
    record.runningIndex = endpoint.inFlight();
    record.dispatchedAt = now;
    record.incarnation = endpoint.incarnation.number();
    record.written = notices.tryWrite(endpoint.noticeKey, now);
    record.lastTokenAt = now;
    ++record.attempts;
    endpoint.running.push_back(record.id);
    endpoint.load.recordInFlight(endpoint.inFlight(), now);
    ++classes[record.classIndex].running;
    ++accounts[record.accountIndex].running;
}

void core_tables::endAttempt(request_record &record, core::instant now)
{
    auto &endpoint = endpoints[record.endpointIndex];
    const auto written = std::exchange(record.written, std::nullopt);
    if (written && endpoint.incarnation.isCurrent(record.incarnation))
        notices.recordLoss(endpoint.noticeKey, *written);
    const request_id last = endpoint.running.back();
    endpoint.running[record.runningIndex] = last;
    endpoint.running.pop_back();
    if (last != record.id)
        requests.find(last)->runningIndex = record.runningIndex;
    endpoint.load.recordInFlight(endpoint.inFlight(), now);
    record.running = false;
    --classes[record.classIndex].running;
    --accounts[record.accountIndex].running;
    markPoolsChanged(endpoint);
    // Requests of any pool may wait for this slot of a concurrency limit.
    if (classes[record.classIndex].rules.configuredLimits.concurrency
        || accounts[record.accountIndex].configuredLimits.concurrency)
        for (auto &pool : pools)
            pool.changed = true;
}

void core_tables::markPoolsChanged(const endpoint_record &endpoint)
{
    for (const std::uint32_t index : endpoint.pools)
        pools[index].changed = true;
}

double normalisedFirstToken(const request_record &record, core::instant now)
{
    const double milliseconds
        = std::chrono::duration<double, std::milli>(now - record.dispatchedAt).count();
    return milliseconds / (1 + record.promptTokens / promptTokensForTwiceTheTime);
}

} // namespace quetzalcleat::policy
