#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/time.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/event_log.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::forward {

class exchange;

/// Continues streams elsewhere that would outlast an endpoint which leaves at a known time. All
/// other streams run on as long as the endpoint does.
class stream_mover
{
public:
    stream_mover(endpoint_table &endpoints, core::counter_registry &counters, event_log &log)
        : m_endpoints(endpoints), m_counters(counters), m_log(log)
    {
    }

    /// The endpoint is gone after this time. The earliest time that was announced counts.
    void recordLeave(const std::string &incarnation, std::chrono::milliseconds remaining,
                     core::instant now);

    bool isIdle() const { return m_ends.empty(); }

    /// To be called once in each interval, with the requests in progress.
    void update(const std::vector<std::shared_ptr<exchange>> &requests,
                std::chrono::milliseconds interval, core::instant now);

private:
    bool hasOther(const endpoint &leaving, core::instant now) const;
    void move(const std::string &incarnation,
              const std::vector<std::shared_ptr<exchange>> &requests,
              std::chrono::milliseconds left, std::chrono::milliseconds interval);

    endpoint_table &m_endpoints;
    core::counter_registry &m_counters;
    event_log &m_log;
    std::map<std::string, core::instant> m_ends; ///< When each endpoint is gone, by incarnation.
};

} // namespace quetzalcleat::forward
