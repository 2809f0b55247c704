#include "LibForward/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace quetzalcleat::forward {

namespace {

/// Weight of the newest outcome; about the last eight outcomes count.
constexpr double outcomeWeight = 0.15;
/// An endpoint that fails more than this share of its requests is ejected. Well above 14%, as
/// healthy plain services may fail up to that share of their requests.
constexpr double ejectionShare = 0.45;
/// Outcomes needed before the average is used.
constexpr std::uint32_t minimumOutcomes = 4;
/// Duration of the first ejection, doubled for each further one.
constexpr std::chrono::milliseconds firstEjection{700};
constexpr std::chrono::milliseconds longestEjection{6000};
/// A loss is reported to other hosts for this long. Longer than the first ejection, so that this
/// host has probed the endpoint again before the report expires.
constexpr std::chrono::milliseconds lossReportTime{1000};
/// A single host may have lost only its own network path to the endpoint.
constexpr std::uint32_t minimumLossReporters = 2;
/// Duration of an ejection caused by loss reports; renewed while they continue.
constexpr std::chrono::milliseconds reportedEjection{600};
/// Loss reports for more than this share of the endpoints of a service are ignored.
constexpr double maximumReportedShare = 0.4;
/// An endpoint that this host received bytes from within this time is not ejected by loss reports.
constexpr std::chrono::milliseconds recentContact{500};
/// Bounds of the interval of the sums of other hosts' loads, as hosts ask for them. An interval
/// above the upper bound is a gap in the sums.
constexpr std::chrono::milliseconds shortestLoadInterval{100};
constexpr std::chrono::milliseconds longestLoadInterval{1000};

} // namespace

void endpoint_table::update(const std::vector<listed_endpoint> &list, core::instant now)
{
    std::set<std::string_view> named;
    std::set<std::string_view> moved;
    for (const auto &entry : list) {
        named.insert(entry.incarnation);
        auto &known = m_endpoints[entry.incarnation];
        if (!known) {
            known = std::make_shared<endpoint>();
            known->addedAt = now;
            m_services[entry.service].push_back(known);
        } else if (known->listed.address != entry.address) {
            moved.insert(entry.incarnation);
        }
        known->listed = entry;
        known->isUnlisted = false;
        if (!entry.isLeaving) {
            known->listedAsStaying = now;
            continue;
        }
        // An endpoint that was never listed otherwise may have been leaving for long.
        const auto since = known->listedAsStaying ? *known->listedAsStaying - maximumListDelay
                                                  : now - m_notices.limits().drainTime;
        m_notices.reportLeaving(entry.incarnation, {since, policy::notice_source::EndpointList, {}},
                                now);
    }
    for (auto &[incarnation, known] : m_endpoints)
        known->isUnlisted = !named.contains(incarnation);
    for (auto &[service, endpoints] : m_services) {
        std::erase_if(endpoints, [](const endpoint_pointer &entry) {
            return entry->isUnlisted && entry->running == 0;
        });
    }
    std::erase_if(m_endpoints, [](const auto &entry) {
        return entry.second->isUnlisted && entry.second->running == 0;
    });
    (void)m_notices.reportList(
        [&](const std::string &incarnation) {
            return isStaying(incarnation) && !moved.contains(incarnation);
        },
        false, now);
}

std::vector<policy::endpoint_notices::ended_leave> endpoint_table::confirmList(core::instant now)
{
    auto started = m_notices.reportList(
        [this](const std::string &incarnation) { return isStaying(incarnation); }, true, now);
    for (const auto &[incarnation, notice] : started)
        replaceByNewStart(m_endpoints.at(incarnation), now);
    return started;
}

bool endpoint_table::isStaying(const std::string &incarnation) const
{
    const auto found = m_endpoints.find(incarnation);
    return found != m_endpoints.end() && !found->second->isUnlisted
        && !found->second->listed.isLeaving;
}

/// Requests in progress keep the endpoint that they were sent to.
void endpoint_table::replaceByNewStart(endpoint_pointer &known, core::instant now)
{
    auto fresh = std::make_shared<endpoint>();
    fresh->listed = known->listed;
    fresh->listedAsStaying = now;
    fresh->addedAt = now;
    fresh->restart = ++m_restarts;
    auto &endpoints = m_services[known->listed.service];
    std::replace(endpoints.begin(), endpoints.end(), known, fresh);
    known = std::move(fresh);
}

const std::vector<endpoint_table::endpoint_pointer> &
endpoint_table::ofService(std::string_view service) const
{
    static const std::vector<endpoint_pointer> none;
    const auto found = m_services.find(service);
    return found == m_services.end() ? none : found->second;
}

void endpoint_table::recordOutcome(endpoint &target, endpoint_outcome outcome, core::instant now)
{
    const bool wasProbing = target.isProbing;
    target.isProbing = false;
    if (outcome == endpoint_outcome::Replaced) {
        m_notices.reportLeaving(target.listed.incarnation,
                                {now, policy::notice_source::OtherIncarnation, {}}, now);
        target.lostAt = now;
    }
    if (outcome == endpoint_outcome::Abandoned || outcome == endpoint_outcome::Refused
        || outcome == endpoint_outcome::Replaced)
        return;
    if (outcome == endpoint_outcome::Unreachable)
        target.lostAt = now;
    else if (outcome == endpoint_outcome::Served)
        target.lostAt.reset();
    const bool failed = outcome != endpoint_outcome::Served;
    target.failureShare += outcomeWeight * ((failed ? 1.0 : 0.0) - target.failureShare);
    target.outcomes = std::min(target.outcomes + 1, minimumOutcomes);
    if (!failed) {
        if (wasProbing) {
            target.failureShare = 0;
            target.outcomes = 0;
        }
        if (target.failureShare < ejectionShare / 2)
            target.ejections = 0;
        return;
    }
    const bool eject = outcome == endpoint_outcome::Unreachable || wasProbing
        || (target.outcomes >= minimumOutcomes && target.failureShare > ejectionShare);
    if (!eject || target.ejectedUntil > now)
        return;
    const auto doublings = std::min(target.ejections, std::uint32_t{4});
    const auto length = std::min(firstEjection * (1 << doublings), longestEjection);
    ++target.ejections;
    target.ejectedUntil = now + length;
}

/// Other hosts report as often as this one, so their reports are half an interval old on average.
void endpoint_table::applyLoads(const std::map<std::string, reported_load> &loads,
                                core::instant now)
{
    const auto interval = m_loadsArrivedAt ? std::clamp<core::instant::duration>(
                              now - *m_loadsArrivedAt, shortestLoadInterval, longestLoadInterval)
                                           : shortestLoadInterval;
    m_loadsArrivedAt = now;
    m_loadsMadeAt = now - interval / 2;
    for (const auto &[incarnation, target] : m_endpoints) {
        const auto found = loads.find(incarnation);
        const auto load = found == loads.end() ? reported_load{} : found->second;
        target->runningByOtherHosts = load.running;
        target->waitingTokensOfOtherHosts = load.waitingTokens;
        target->loadOfOtherHosts.report(
            {static_cast<double>(load.running), static_cast<double>(load.waitingTokens)},
            *m_loadsMadeAt);
    }
}

void endpoint_table::forgetLoads()
{
    m_loadsArrivedAt.reset();
    m_loadsMadeAt.reset();
    for (const auto &[incarnation, target] : m_endpoints) {
        target->runningByOtherHosts = 0;
        target->waitingTokensOfOtherHosts = 0;
        target->loadOfOtherHosts.forget();
    }
}

std::optional<std::chrono::milliseconds> endpoint_table::loadAge(core::instant now) const
{
    if (!m_loadsMadeAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_loadsMadeAt);
}

const policy::pause_prediction &endpoint_table::pauses(std::string_view service) const
{
    static const policy::pause_prediction unknown;
    const auto found = m_pauses.find(service);
    return found == m_pauses.end() ? unknown : found->second;
}

void endpoint_table::applyLossReports(const std::map<std::string, std::uint32_t> &reporters,
                                      core::instant now)
{
    const auto isLost = [&](const endpoint_pointer &entry) {
        const auto found = reporters.find(entry->listed.incarnation);
        return found != reporters.end() && found->second >= minimumLossReporters;
    };
    for (const auto &[service, endpoints] : m_services) {
        const auto count = std::count_if(endpoints.begin(), endpoints.end(), isLost);
        if (static_cast<double>(count)
            > maximumReportedShare * static_cast<double>(endpoints.size()))
            continue;
        for (const auto &entry : endpoints) {
            if (isLost(entry) && now - entry->lastReceived >= recentContact)
                entry->ejectedUntil = std::max(entry->ejectedUntil, now + reportedEjection);
        }
    }
}

bool endpoint_table::shouldReportLoss(const endpoint &target, core::instant now)
{
    return target.lostAt && now - *target.lostAt < lossReportTime;
}

} // namespace quetzalcleat::forward
