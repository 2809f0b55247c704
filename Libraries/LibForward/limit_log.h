#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/time.h"
#include "LibForward/event_log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Counts which limits on callers took effect, in the metric `caller_limits_total` and in at most
/// one line `callers_limited` for each limit and second.
class limit_log
{
public:
    limit_log(std::string server, core::counter_registry &counters, event_log &log)
        : m_server(std::move(server)), m_counters(counters), m_log(log)
    {
    }

    void record(std::string_view limit);

private:
    struct limit_count
    {
        core::instant logged;
        std::uint64_t unlogged = 0;
    };

    std::string m_server;
    core::counter_registry &m_counters;
    event_log &m_log;
    std::map<std::string, limit_count, std::less<>> m_limits;
};

} // namespace quetzalcleat::forward
