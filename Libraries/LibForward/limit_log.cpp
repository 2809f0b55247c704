#include "LibForward/limit_log.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::forward {

void limit_log::record(std::string_view limit)
{
    constexpr std::chrono::seconds interval{1};
    auto found = m_limits.find(limit);
    if (found == m_limits.end())
        found = m_limits.emplace(std::string(limit), limit_count{}).first;
    const auto &name = found->first;
    ++m_counters.counter("caller_limits_total",
                         "server=\"" + m_server + "\",limit=\"" + name + '"');
    ++found->second.unlogged;
    const auto now = std::chrono::steady_clock::now();
    if (now - found->second.logged < interval)
        return;
    found->second.logged = now;
    m_log.write("callers_limited",
                {{"server", m_server},
                 {"limit", name},
                 {"count", std::to_string(std::exchange(found->second.unlogged, 0))}});
}

} // namespace quetzalcleat::forward
