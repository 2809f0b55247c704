#include "LibExperiment/service_queue.h"

#include <algorithm>

namespace quetzalcleat::experiment {

service_queue::service_queue(std::uint32_t servers) : m_servers(servers) { }

void service_queue::submit(std::uint64_t id, std::chrono::nanoseconds runTime, core::instant now)
{
    if (m_running.size() < m_servers)
        m_running.push_back({id, now + runTime});
    else
        m_waiting.push_back({id, runTime});
}

std::optional<core::instant> service_queue::nextEnd() const
{
    if (m_running.empty())
        return std::nullopt;
    return std::ranges::min_element(m_running, {}, &call::end)->end;
}

std::vector<service_queue::call> service_queue::advance(core::instant now)
{
    std::vector<call> ended;
    while (!m_running.empty()) {
        const auto next = std::ranges::min_element(m_running, {}, &call::end);
        if (next->end > now)
            break;
        const auto finished = *next;
        m_running.erase(next);
        ended.push_back(finished);
        if (m_waiting.empty())
            continue;
        m_running.push_back({m_waiting.front().id, finished.end + m_waiting.front().runTime});
        m_waiting.pop_front();
    }
    return ended;
}

} // namespace quetzalcleat::experiment
