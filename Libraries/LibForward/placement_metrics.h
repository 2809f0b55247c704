#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/latency_histogram.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/placement_record.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Metrics of the placement: how often each reason decided, how even this host sees the load, and
/// predicted beside observed times.
class placement_metrics
{
public:
    explicit placement_metrics(core::counter_registry &counters) : m_counters(counters) { }

    void recordChoice(const std::string &service, placement_reason reason);

    /// A stream has ended.
    void recordStream(const std::string &service, const placement_record &placement,
                      std::chrono::milliseconds longestPause);

    /// The age of the sums of other hosts, and for each service the requests in progress at the
    /// busiest endpoint by their mean.
    void update(const endpoint_table &endpoints, core::instant now);

private:
    core::latency_histogram &histogram(std::string_view name, const std::string &service);

    core::counter_registry &m_counters;
    std::map<std::string, core::latency_histogram> m_histograms; ///< By name and service.
};

} // namespace quetzalcleat::forward
