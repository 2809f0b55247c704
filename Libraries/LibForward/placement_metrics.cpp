#include "LibForward/placement_metrics.h"

#include <algorithm>
#include <cstdint>

namespace quetzalcleat::forward {

namespace {

std::string serviceLabel(const std::string &service)
{
    return "service=\"" + service + '"';
}

struct service_load
{
    std::uint64_t total = 0;
    std::uint64_t busiest = 0;
    std::uint64_t endpoints = 0;
};

} // namespace

void placement_metrics::recordChoice(const std::string &service, placement_reason reason)
{
    ++m_counters.counter("placements_total",
                         serviceLabel(service) + ",reason=\"" + std::string(toString(reason))
                             + '"');
}

void placement_metrics::recordStream(const std::string &service, const placement_record &placement,
                                     std::chrono::milliseconds longestPause)
{
    const auto observe = [&](std::string_view name, auto time) {
        histogram(name, service)
            .observe(std::chrono::duration_cast<std::chrono::milliseconds>(time));
    };
    observe("expected_wait_ms", placement.expectedWait());
    observe("expected_pause_ms", placement.expectedPause());
    observe("longest_pause_ms", longestPause);
}

void placement_metrics::update(const endpoint_table &endpoints, core::instant now)
{
    // -1 if there are no sums, so that the alarm on an old age does not take it for a fresh one.
    const auto age = endpoints.loadAge(now);
    m_counters.gauge("load_age_ms") = age ? static_cast<double>(age->count()) : -1;
    std::map<std::string_view, service_load> services;
    for (const auto &[incarnation, target] : endpoints.all()) {
        if (target->isUnlisted)
            continue;
        auto &load = services[target->listed.service];
        const std::uint64_t running = target->running + target->runningByOtherHosts;
        load.total += running;
        load.busiest = std::max(load.busiest, running);
        ++load.endpoints;
    }
    for (const auto &[service, load] : services)
        m_counters.gauge("load_busiest_to_mean", serviceLabel(std::string(service)))
            = load.total == 0
            ? 1
            : static_cast<double>(load.busiest * load.endpoints) / static_cast<double>(load.total);
}

core::latency_histogram &placement_metrics::histogram(std::string_view name,
                                                      const std::string &service)
{
    const auto key = std::string(name) + ' ' + service;
    auto found = m_histograms.find(key);
    if (found == m_histograms.end())
        found = m_histograms
                    .emplace(key, core::latency_histogram(m_counters, name, serviceLabel(service)))
                    .first;
    return found->second;
}

} // namespace quetzalcleat::forward
