#include "LibPolicy/pool_candidates.h"

#include "LibPolicy/notice_control.h"

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
    return std::min(tables.options.maximumSpillDelay,
                    std::chrono::duration_cast<std::chrono::milliseconds>(target));
}

} // namespace

void pool_candidates::refresh(core_tables &tables, pool_record &pool, bool isBaseline,
                              core::instant now)
{
    m_local.clear();
    m_remote.clear();
    m_probes.clear();
    m_lastResorts.clear();
    m_anyUsable = false;
    m_localUsable = false;
    pool.usableSlots = 0;
    double inFlight = 0;
    for (std::uint32_t index = 0; index < pool.localEndpoints; ++index)
        inFlight += tables.endpoints[pool.endpoints[index]].inFlight();
    const double meanInFlight = pool.localEndpoints == 0 ? 0 : inFlight / pool.localEndpoints;
    for (std::uint32_t index = 0; index < pool.endpoints.size(); ++index) {
        const std::uint32_t endpointIndex = pool.endpoints[index];
        auto &endpoint = tables.endpoints[endpointIndex];
        const auto use = notice_control::use(tables, endpoint, now);
        if (!notice_control::accepts(use))
            continue;
        const bool isLocal = index < pool.localEndpoints;
        if (!isBaseline) {
            endpoint.health.advance(tables.options, now);
            if (!hasModelLoaded(endpoint, pool))
                continue;
            addEndpoint(tables, pool, endpointIndex, isLocal, meanInFlight, now,
                        use == endpoint_use::LastResort);
        } else if (endpoint.inFlight() < endpoint.description.capacity) {
            m_local.push_back({{endpointIndex, &endpoint, 0, false},
                               static_cast<double>(endpoint.description.capacity),
                               static_cast<double>(endpoint.description.capacity)});
        }
    }
    for (const auto &entry : m_local)
        pool.usableSlots += entry.limit;
    for (const auto &entry : m_remote)
        pool.usableSlots += entry.limit;
    const auto isFull
        = [](const entry &entry) { return entry.candidate.endpoint->inFlight() >= entry.limit; };
    std::erase_if(m_local, isFull);
    std::erase_if(m_remote, isFull);
    std::erase_if(m_lastResorts, isFull);
}

void pool_candidates::addEndpoint(const core_tables &tables, const pool_record &pool,
                                  std::uint32_t endpointIndex, bool isLocal, double meanInFlight,
                                  core::instant now, bool isLastResort)
{
    const auto &endpoint = tables.endpoints[endpointIndex];
    if (endpoint.health.acceptsProbe() && !isLastResort) {
        m_probes.push_back({{endpointIndex, &endpoint, 0, true}, 0, 0});
        return;
    }
    const double usableFraction = endpoint.health.usableFraction(tables.options, now);
    if (usableFraction <= 0)
        return;
    const double capacity = endpoint.description.capacity * usableFraction;
    // Without a recent report the other hosts are assumed to be as busy as this one, because the
    // load balancer spreads callers evenly.
    const double hosts = pool.hostsPerLocalEndpoint;
    const double prior = isLocal ? std::min(meanInFlight * (hosts - 1), capacity * (1 - 1 / hosts))
                                 : std::min(meanInFlight * hosts, capacity);
    const double otherHostsLoad
        = endpoint.load.estimate(prior, tables.options.maximumReportAge, now);
    // Each host may always use its share of a local endpoint; otherwise hosts that already hold
    // slots would keep refilling them and starve the others.
    const double fairShare = isLocal ? capacity / hosts : 0;
    entry entry;
    // Whole attempts, rounded down: above its capacity an engine queues requests of the top tier
    // internally. A local endpoint always gets one, else all hosts would leave a small one idle.
    entry.limit
        = std::max(std::floor(std::max(capacity - otherHostsLoad, fairShare)), isLocal ? 1.0 : 0.0);
    entry.capacity = std::max(1.0, capacity);
    entry.candidate = {endpointIndex, &endpoint,
                       (endpoint.inFlight() + otherHostsLoad) / entry.capacity, false};
    if (isLastResort) {
        m_lastResorts.push_back(entry);
        return;
    }
    m_anyUsable = true;
    m_localUsable = m_localUsable || isLocal;
    (isLocal ? m_local : m_remote).push_back(entry);
}

void pool_candidates::collect(const std::vector<entry> &entries, const request_record &request)
{
    for (const auto &entry : entries) {
        const auto &candidate = entry.candidate;
        // Another engine would generate a different answer, which must not continue this one.
        if (request.mustResume && candidate.endpointIndex != request.endpointIndex)
            continue;
        m_result.push_back(candidate);
    }
    // A retry goes to another endpoint if there is one.
    if (request.failedAttempts > 0 && m_result.size() > 1)
        std::erase_if(m_result, [&request](const routing_candidate &candidate) {
            return candidate.endpointIndex == request.endpointIndex;
        });
}

bool pool_candidates::addProbe(const core_tables &tables, const request_record &request,
                               core::instant now)
{
    if (!request.repeatable || request.attempts > 0)
        return false;
    // A request of the top tier probes only after no lower tier has sent a probe for this long.
    constexpr std::chrono::milliseconds topTierProbeDelay(2000);
    const bool isTop = tables.classes[request.classIndex].rank == 0;
    for (const auto &entry : m_probes) {
        if (isTop && entry.candidate.endpoint->health.halfOpenFor(now) < topTierProbeDelay)
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
    collect(m_local, request);
    if (!m_result.empty())
        return m_result;
    const bool mustWait = m_localUsable && !request.mustResume
        && now - request.submittedAt < spillDelay(tables, request);
    if (!mustWait)
        collect(m_remote, request);
    // The rest of a broken stream can come from its own engine only.
    if (m_result.empty() && (!m_anyUsable || request.mustResume))
        collect(m_lastResorts, request);
    return m_result;
}

double pool_candidates::freeSlots() const
{
    double free = 0;
    const auto addFree = [&free](const std::vector<entry> &entries) {
        for (const auto &entry : entries)
            free += entry.limit - entry.candidate.endpoint->inFlight();
    };
    addFree(m_local);
    addFree(m_remote);
    if (!m_anyUsable)
        addFree(m_lastResorts);
    return free;
}

void pool_candidates::recordDispatch(const core_tables &tables, std::uint32_t endpointIndex,
                                     core::instant now)
{
    std::erase_if(m_probes, [endpointIndex](const entry &entry) {
        return entry.candidate.endpointIndex == endpointIndex;
    });
    // After a wait, requests return one after another.
    const bool takesMore = notice_control::accepts(
        notice_control::use(tables, tables.endpoints[endpointIndex], now));
    for (auto *entries : {&m_local, &m_remote, &m_lastResorts}) {
        const auto found = std::ranges::find_if(*entries, [endpointIndex](const entry &entry) {
            return entry.candidate.endpointIndex == endpointIndex;
        });
        if (found == entries->end())
            continue;
        found->candidate.load += 1 / found->capacity;
        if (!takesMore || found->candidate.endpoint->inFlight() >= found->limit)
            entries->erase(found);
        return;
    }
}

} // namespace quetzalcleat::policy
