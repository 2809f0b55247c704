#include "LibPolicy/other_hosts_load.h"

#include <algorithm>

namespace quetzalcleat::policy {

void other_hosts_load::recordInFlight(std::uint32_t inFlight, core::instant now)
{
    m_history[m_changes % historyLength] = {now, inFlight};
    ++m_changes;
}

std::uint32_t other_hosts_load::inFlightAt(core::instant at) const
{
    const std::size_t oldest = m_changes > historyLength ? m_changes - historyLength : 0;
    for (std::size_t index = m_changes; index > oldest; --index) {
        const auto &change = m_history[(index - 1) % historyLength];
        if (change.at <= at)
            return change.inFlight;
    }
    // The sample is older than the history, so the oldest known count is the closest.
    return oldest == 0 ? 0 : m_history[oldest % historyLength].inFlight;
}

void other_hosts_load::report(const load_report &report, core::instant now)
{
    const core::instant sampledAt = now - std::max(std::chrono::milliseconds(0), report.age);
    if (m_reported && sampledAt < m_sampledAt)
        return;
    m_reported = true;
    m_sampledAt = sampledAt;
    const double total = static_cast<double>(report.running) + report.waiting;
    m_attempts = std::max(0.0, total - inFlightAt(sampledAt));
    m_cachePressure = report.totalBlocks == 0
        ? 0
        : std::min(1.0, static_cast<double>(report.usedBlocks) / report.totalBlocks);
}

double other_hosts_load::estimate(double prior, std::chrono::milliseconds maximumAge,
                                  core::instant now) const
{
    if (!m_reported)
        return prior;
    const double age = std::chrono::duration<double>(now - m_sampledAt).count();
    const double limit = std::chrono::duration<double>(maximumAge).count();
    const double weight = std::clamp(1 - age / limit, 0.0, 1.0);
    return weight * m_attempts + (1 - weight) * prior;
}

void other_hosts_load::reset()
{
    m_reported = false;
    m_attempts = 0;
    m_cachePressure = 0;
}

} // namespace quetzalcleat::policy
