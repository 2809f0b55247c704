#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/time.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/event_log.h"
#include "LibForward/http_head.h"
#include "LibForward/wire_names.h"

#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::forward {

/// Enters what endpoints say of themselves in their answers into the table of notices, and logs
/// where a notice begins and ends.
class notice_recorder
{
public:
    notice_recorder(endpoint_table &endpoints, core::counter_registry &counters, event_log &log,
                    const wire_names &names)
        : m_endpoints(endpoints), m_counters(counters), m_log(log), m_names(names)
    {
    }

    /// Reads an interim or final answer of the endpoint. One that does not name the request is
    /// ignored, because it may be that of another request or no answer of the endpoint at all.
    /// Returns whether the endpoint asks for a wait.
    bool readAnswer(const endpoint &target, const http_head &answer, std::string_view request,
                    core::instant now);

    /// Logs endpoints that were leaving and have started again under their identity.
    void logStartedAgain(const std::vector<policy::endpoint_notices::ended_leave> &started,
                         core::instant now);

    /// Logs what has begun and ended, and forgets endpoints that have been gone for long.
    void update(core::instant now);

private:
    void readWait(const endpoint &target, std::string_view value, std::string_view request,
                  core::instant now);
    void logLeaving(core::instant now);

    endpoint_table &m_endpoints;
    core::counter_registry &m_counters;
    event_log &m_log;
    const wire_names &m_names;
};

} // namespace quetzalcleat::forward
