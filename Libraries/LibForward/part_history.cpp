#include "LibForward/part_history.h"

#include <algorithm>
#include <vector>

namespace quetzalcleat::forward {

void part_history::record(policy::part_id part, core::instant now)
{
    if (part == 0)
        return;
    /// Between two searches for old entries.
    constexpr std::chrono::milliseconds interval = retention / 4;
    m_times[part] = now;
    if (m_times.size() > maximumParts || now - m_dropped >= interval)
        dropOld(now);
}

void part_history::dropOld(core::instant now)
{
    m_dropped = now;
    std::erase_if(m_times, [now](const auto &entry) { return now - entry.second > retention; });
    if (m_times.size() <= maximumParts)
        return;
    // A quarter at once, so that not every request sorts the entries.
    std::vector<core::instant> times;
    times.reserve(m_times.size());
    for (const auto &[part, time] : m_times)
        times.push_back(time);
    const auto dropped = static_cast<std::ptrdiff_t>(m_times.size() - maximumParts * 3 / 4);
    std::nth_element(times.begin(), times.begin() + dropped, times.end());
    const auto oldestKept = times[static_cast<std::size_t>(dropped)];
    auto left = static_cast<std::size_t>(dropped);
    left -= std::erase_if(m_times, [&](const auto &entry) { return entry.second < oldestKept; });
    // The parts of one request have the same time, and may be more than are kept.
    std::erase_if(m_times, [&](const auto &entry) {
        if (entry.second != oldestKept || left == 0)
            return false;
        --left;
        return true;
    });
}

} // namespace quetzalcleat::forward
