#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibHttp/message.h"
#include "LibInventory/document.h"
#include "LibPolicy/policy_types.h"
#include "quetzalcleatd/dispatcher.h"

#include <string_view>

namespace quetzalcleat::daemon {

/// An attempt whose answer is read.
struct answered_attempt
{
    policy::request_id request;
    std::string_view attemptId; ///< X-Request-Id at the endpoint.
    std::string_view requestId; ///< Of the caller, for the log.
    const inventory::endpoint &endpoint;
};

/// Reports what endpoints say of themselves in their answers to the decision core, and logs where a
/// notice begins and ends.
class notice_recorder
{
public:
    notice_recorder(dispatcher &decisions, core::counter_registry &counters,
                    const core::logger &log)
        : m_decisions(decisions), m_counters(counters), m_log(log)
    {
    }

    /// Reads the head of an interim or final answer. One that does not name the attempt is ignored,
    /// because it may be that of another request. Returns whether the endpoint refused the request
    /// and asks for a wait.
    bool readAnswer(const answered_attempt &attempt, const http::response_head &head);

    /// Logs what has begun and ended since the last call.
    void update();

private:
    std::chrono::milliseconds readWait(const answered_attempt &attempt, std::string_view value);

    dispatcher &m_decisions;
    core::counter_registry &m_counters;
    const core::logger &m_log;
};

} // namespace quetzalcleat::daemon
