#include "LibPolicy/outlier_detector.h"

#include "LibPolicy/notice_control.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

// Smaller differences are noise, whatever the ratio.
constexpr double minimumLatencyDifferenceMilliseconds = 50;

bool isComparable(const core_tables &tables, const endpoint_record &endpoint)
{
    return notice_control::isStaying(tables, endpoint)
        && endpoint.health.firstToken.samples >= tables.options.minimumOutlierSamples;
}

} // namespace

std::uint32_t outlier_detector::run(core_tables &tables, core::instant now)
{
    const auto longest = std::ranges::min_element(tables.pools, {}, &pool_record::evaluatedAt);
    if (longest == tables.pools.end()
        || now - longest->evaluatedAt < tables.options.outlierInterval)
        return 0;
    longest->evaluatedAt = now;
    return evaluatePool(tables, *longest, now);
}

std::uint32_t outlier_detector::evaluatePool(core_tables &tables, pool_record &pool,
                                             core::instant now)
{
    addPendingSamples(tables, pool, now);
    updateMedians(tables, pool);
    std::uint32_t ejected = 0;
    for (const std::uint32_t index : pool.endpoints) {
        auto &endpoint = tables.endpoints[index];
        if (endpoint.health.usableFraction(tables.options, now) <= 0)
            continue;
        updateRatio(tables, pool, endpoint);
        const double excess
            = std::max(endpoint.health.firstToken.milliseconds - pool.medianFirstToken,
                       endpoint.health.betweenTokens.milliseconds - pool.medianBetweenTokens);
        const bool isStraggler = isComparable(tables, endpoint)
            && endpoint.health.ratioToPeers > tables.options.stragglerRatio
            && excess > minimumLatencyDifferenceMilliseconds;
        if (isStraggler && ejectIfAllowed(tables, pool, index, now))
            ++ejected;
    }
    return ejected;
}

void outlier_detector::addPendingSamples(core_tables &tables, const pool_record &pool,
                                         core::instant now)
{
    // An endpoint that has stopped answering gives no samples, so the time that attempts have
    // waited counts as soon as it exceeds the average.
    for (const std::uint32_t index : pool.endpoints) {
        auto &endpoint = tables.endpoints[index];
        double oldestPending = 0;
        double longestGap = 0;
        for (const request_id id : endpoint.running) {
            const auto &record = *tables.requests.find(id);
            const double gap
                = std::chrono::duration<double, std::milli>(now - record.lastTokenAt).count();
            if (record.firstTokenSeen)
                longestGap = std::max(longestGap, gap);
            else
                oldestPending = std::max(oldestPending, normalisedFirstToken(record, now));
        }
        if (oldestPending
            > endpoint.health.firstToken.milliseconds + minimumLatencyDifferenceMilliseconds)
            endpoint.health.firstToken.add(oldestPending);
        if (longestGap
            > endpoint.health.betweenTokens.milliseconds + minimumLatencyDifferenceMilliseconds)
            endpoint.health.betweenTokens.add(longestGap);
    }
}

double outlier_detector::median()
{
    // A single value has no peers for comparison.
    if (m_values.size() < 2)
        return 0;
    const auto middle = m_values.begin() + static_cast<std::ptrdiff_t>((m_values.size() - 1) / 2);
    std::ranges::nth_element(m_values, middle);
    return *middle;
}

void outlier_detector::updateMedians(const core_tables &tables, pool_record &pool)
{
    m_values.clear();
    for (const std::uint32_t index : pool.endpoints)
        if (isComparable(tables, tables.endpoints[index]))
            m_values.push_back(tables.endpoints[index].health.firstToken.milliseconds);
    pool.medianFirstToken = median();
    m_values.clear();
    for (const std::uint32_t index : pool.endpoints)
        if (isComparable(tables, tables.endpoints[index])
            && tables.endpoints[index].health.betweenTokens.samples > 0)
            m_values.push_back(tables.endpoints[index].health.betweenTokens.milliseconds);
    pool.medianBetweenTokens = median();
}

void outlier_detector::updateRatio(const core_tables &tables, const pool_record &pool,
                                   endpoint_record &endpoint)
{
    auto &health = endpoint.health;
    health.ratioToPeers = 1;
    if (!isComparable(tables, endpoint))
        return;
    if (pool.medianFirstToken > 0)
        health.ratioToPeers = health.firstToken.milliseconds / pool.medianFirstToken;
    if (pool.medianBetweenTokens > 0)
        health.ratioToPeers = std::max(
            health.ratioToPeers, health.betweenTokens.milliseconds / pool.medianBetweenTokens);
}

bool outlier_detector::ejectIfAllowed(core_tables &tables, const pool_record &pool,
                                      std::uint32_t endpointIndex, core::instant now)
{
    constexpr std::size_t ejectableDivisor = 3;
    std::size_t usable = 0;
    std::size_t unusable = 0;
    for (const std::uint32_t index : pool.endpoints) {
        const auto &endpoint = tables.endpoints[index];
        if (!notice_control::isStaying(tables, endpoint))
            continue;
        const bool isUsable = endpoint.health.usableFraction(tables.options, now) > 0;
        (isUsable ? usable : unusable) += 1;
    }
    const std::size_t all = usable + unusable;
    const std::size_t maximumEjected
        = all < 2 ? 0 : std::max<std::size_t>(1, all / ejectableDivisor);
    if (unusable >= maximumEjected)
        return false;
    tables.endpoints[endpointIndex].health.eject(tables.options, now);
    return true;
}

bool outlier_detector::evaluateProbeFirstToken(core_tables &tables, const pool_record &pool,
                                               std::uint32_t endpointIndex, double firstToken,
                                               core::instant now)
{
    const double allowed = pool.medianFirstToken * tables.options.stragglerRatio
        + minimumLatencyDifferenceMilliseconds;
    if (pool.medianFirstToken <= 0 || firstToken <= allowed)
        return false;
    tables.endpoints[endpointIndex].health.eject(tables.options, now);
    return true;
}

void outlier_detector::evaluateProbeAnswer(core_tables &tables, const pool_record &pool,
                                           std::uint32_t endpointIndex, double betweenTokens,
                                           core::instant now)
{
    auto &health = tables.endpoints[endpointIndex].health;
    const double allowed = pool.medianBetweenTokens * tables.options.stragglerRatio;
    if (pool.medianBetweenTokens <= 0 || betweenTokens <= allowed)
        health.probeSucceeded(now);
    else
        health.eject(tables.options, now);
}

} // namespace quetzalcleat::policy
