#include "LibPolicy/pool_candidates.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

namespace {

bool hasModelLoaded(const endpoint_record &endpoint, const pool_record &pool)
{
    return endpoint.reportedModels.empty() || pool.key.model.empty()
        || std::ranges::find(endpoint.reportedModels, pool.key.model)
        != endpoint.reportedModels.end();
}

std::chrono::milliseconds spillDelay(const core_tables &tables, const request_record &request)
{
    const auto target = std::chrono::duration<double>(request.due - request.submittedAt)
        * tables.options.spillFraction;
    return std::min(tables.options.longestSpillDelay,
                    std::chrono::duration_cast<std::chrono::milliseconds>(target));
}

} // namespace

void pool_candidates::refresh(core_tables &tables, pool_record &pool, bool simple,
                              core::instant now)
{
    m_near.clear();
    m_far.clear();
    m_probes.clear();
    m_nearUsable = false;
    pool.usableSlots = 0;
    double inFlight = 0;
    for (std::uint32_t index = 0; index < pool.localEndpoints; ++index)
        inFlight += tables.endpoints[pool.endpoints[index]].inFlight();
    const double meanInFlight = pool.localEndpoints == 0 ? 0 : inFlight / pool.localEndpoints;
    for (std::uint32_t index = 0; index < pool.endpoints.size(); ++index) {
        const std::uint32_t slot = pool.endpoints[index];
        auto &endpoint = tables.endpoints[slot];
        if (!endpoint.acceptsWork())
            continue;
        const bool isNear = index < pool.localEndpoints;
        if (!simple) {
            endpoint.health.advance(tables.options, now);
            if (!hasModelLoaded(endpoint, pool))
                continue;
            addEndpoint(tables, pool, slot, isNear, meanInFlight, now);
        } else if (endpoint.inFlight() < endpoint.description.capacity) {
            m_near.push_back({{slot, &endpoint, 0, false},
                              static_cast<double>(endpoint.description.capacity),
                              static_cast<double>(endpoint.description.capacity)});
        }
    }
    for (const auto &entry : m_near)
        pool.usableSlots += entry.limit;
    for (const auto &entry : m_far)
        pool.usableSlots += entry.limit;
    const auto isFull
        = [](const entry &entry) { return entry.candidate.endpoint->inFlight() >= entry.limit; };
    std::erase_if(m_near, isFull);
    std::erase_if(m_far, isFull);
}

void pool_candidates::addEndpoint(const core_tables &tables, const pool_record &pool,
                                  std::uint32_t slot, bool isNear, double meanInFlight,
                                  core::instant now)
{
    const auto &endpoint = tables.endpoints[slot];
    if (endpoint.health.acceptsProbe()) {
        m_probes.push_back({{slot, &endpoint, 0, true}, 0, 0});
        return;
    }
    const double part = endpoint.health.usablePart(tables.options, now);
    if (part <= 0)
        return;
    const double capacity = endpoint.description.capacity * part;
    // Without a fresh report the other hosts are taken to be as busy as this one, because the
    // balancer spreads callers evenly.
    const double hosts = pool.hostsPerLocalEndpoint;
    const double guess = isNear ? std::min(meanInFlight * (hosts - 1), capacity * (1 - 1 / hosts))
                                : std::min(meanInFlight * hosts, capacity);
    const double foreign = endpoint.load.estimate(guess, tables.options.reportHorizon, now);
    // Each host keeps its part of a local endpoint, else the hosts that hold the slots would refill
    // them first for ever.
    const double fairPart = isNear ? capacity / hosts : 0;
    entry entry;
    // Whole attempts, rounded down: an engine above its capacity makes the top tier wait inside it.
    // One is always allowed near by, so that a small endpoint is not left idle by all hosts.
    entry.limit = std::max(std::floor(std::max(capacity - foreign, fairPart)), isNear ? 1.0 : 0.0);
    entry.capacity = std::max(1.0, capacity);
    entry.candidate = {slot, &endpoint, (endpoint.inFlight() + foreign) / entry.capacity, false};
    m_nearUsable = m_nearUsable || isNear;
    (isNear ? m_near : m_far).push_back(entry);
}

void pool_candidates::collect(const std::vector<entry> &entries, const request_record &request)
{
    for (const auto &entry : entries) {
        const auto &candidate = entry.candidate;
        // Another engine would generate another answer, which must not be joined to this one.
        if (request.mustResume && candidate.endpointSlot != request.endpointSlot)
            continue;
        m_result.push_back(candidate);
    }
    // A retry goes elsewhere if it can.
    if (request.failedAttempts > 0 && m_result.size() > 1)
        std::erase_if(m_result, [&request](const routing_candidate &candidate) {
            return candidate.endpointSlot == request.endpointSlot;
        });
}

bool pool_candidates::addProbe(const core_tables &tables, const request_record &request,
                               core::instant now)
{
    if (!request.repeatable || request.attempts > 0)
        return false;
    // The top tier probes only if no other request has done it for a while.
    constexpr std::chrono::milliseconds topTierDelay(2000);
    const bool isTop = tables.classes[request.classSlot].rank == 0;
    for (const auto &entry : m_probes) {
        if (isTop && entry.candidate.endpoint->health.halfOpenFor(now) < topTierDelay)
            continue;
        m_result.push_back(entry.candidate);
        return true;
    }
    return false;
}

std::span<const routing_candidate> pool_candidates::forRequest(const core_tables &tables,
                                                               const request_record &request,
                                                               core::instant now)
{
    m_result.clear();
    if (addProbe(tables, request, now))
        return m_result;
    collect(m_near, request);
    if (!m_result.empty())
        return m_result;
    const bool mustWait = m_nearUsable && !request.mustResume
        && now - request.submittedAt < spillDelay(tables, request);
    if (!mustWait)
        collect(m_far, request);
    return m_result;
}

double pool_candidates::freeSlots() const
{
    double free = 0;
    for (const auto *entries : {&m_near, &m_far})
        for (const auto &entry : *entries)
            free += entry.limit - entry.candidate.endpoint->inFlight();
    return free;
}

void pool_candidates::noteDispatch(std::uint32_t endpointSlot)
{
    std::erase_if(m_probes, [endpointSlot](const entry &entry) {
        return entry.candidate.endpointSlot == endpointSlot;
    });
    for (auto *entries : {&m_near, &m_far}) {
        const auto found = std::ranges::find_if(*entries, [endpointSlot](const entry &entry) {
            return entry.candidate.endpointSlot == endpointSlot;
        });
        if (found == entries->end())
            continue;
        found->candidate.load += 1 / found->capacity;
        if (found->candidate.endpoint->inFlight() >= found->limit)
            entries->erase(found);
        return;
    }
}

} // namespace quetzalcleat::policy
