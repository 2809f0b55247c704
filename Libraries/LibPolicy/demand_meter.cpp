#include "LibPolicy/demand_meter.h"

#include <algorithm>
#include <iterator>

namespace quetzalcleat::policy {

void demand_meter::record(const reporting_host &host, const std::string &service,
                          const work_counts &counts, core::instant now)
{
    recordHost(host, now);
    const std::pair key(service, host.name);
    if (m_series.size() >= maximumSeries && !m_series.contains(key))
        return;
    auto &known = m_series[key];
    if (known.incarnation != host.incarnation) {
        // The counts of a new process begin at 0.
        known = {host.dataCentre, host.incarnation, {}};
    }
    if (!known.samples.empty()) {
        const auto &last = known.samples.back();
        if (counts.requests < last.counts.requests
            || counts.prefillTokens < last.counts.prefillTokens
            || counts.outputTokens < last.counts.outputTokens || now <= last.at)
            return;
    }
    known.samples.push_back({now, counts});
    while (known.samples.size() > 2 && now - known.samples[1].at >= window)
        known.samples.pop_front();
}

void demand_meter::recordHost(const reporting_host &host, core::instant now)
{
    auto &hosts = m_hosts[host.dataCentre];
    if (hosts.size() < maximumSeries || hosts.contains(host.name))
        hosts[host.name] = now;
}

std::map<std::string, work_rate> demand_meter::rates(const std::string &service, core::instant now,
                                                     std::chrono::milliseconds span) const
{
    std::map<std::string, work_rate> sums;
    for (auto entry = m_series.lower_bound({service, {}});
         entry != m_series.end() && entry->first.first == service; ++entry) {
        const auto &known = entry->second;
        auto &sum = sums[known.dataCentre];
        if (known.samples.size() < 2 || now - known.samples.back().at > silenceLimit)
            continue;
        const auto &last = known.samples.back();
        // The newest one that is old enough.
        const auto start
            = std::find_if(std::next(known.samples.rbegin()), std::prev(known.samples.rend()),
                           [&](const sample &entry) { return last.at - entry.at >= span; });
        const auto &first = *start;
        const double seconds = std::chrono::duration<double>(last.at - first.at).count();
        const auto perSecond = [seconds](std::uint64_t from, std::uint64_t to) {
            return static_cast<double>(to - from) / seconds;
        };
        sum.requests += perSecond(first.counts.requests, last.counts.requests);
        sum.prefillTokens += perSecond(first.counts.prefillTokens, last.counts.prefillTokens);
        sum.outputTokens += perSecond(first.counts.outputTokens, last.counts.outputTokens);
    }
    return sums;
}

bool demand_meter::isHeard(const std::string &dataCentre, core::instant now) const
{
    const auto hosts = m_hosts.find(dataCentre);
    if (hosts == m_hosts.end() || hosts->second.empty())
        return true;
    return std::any_of(hosts->second.begin(), hosts->second.end(),
                       [now](const auto &host) { return now - host.second <= silenceLimit; });
}

void demand_meter::forgetOld(core::instant now)
{
    std::erase_if(m_series, [now](const auto &entry) {
        const auto &samples = entry.second.samples;
        return samples.empty() || now - samples.back().at > retention;
    });
    for (auto &[dataCentre, hosts] : m_hosts) {
        std::erase_if(hosts, [now](const auto &host) { return now - host.second > retention; });
    }
}

} // namespace quetzalcleat::policy
