#pragma once

#include "LibCore/result.h"
#include "LibPolicy/decision_core.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace quetzalcleat::daemon {

/// Drives the decision core of the process and hands its decisions to the sessions.
///
/// It ticks every 10 ms, and as soon as the event loop gets round to it after a submit or an end.
class dispatcher
{
public:
    using decision_handler = std::function<void(const policy::decision &)>;

    dispatcher(asio::io_context &context, std::uint64_t seed);

    void start();
    void stop();

    void configure(const inventory::document &document, const policy::host_location &self);

    /// The handler gets every decision about the request until it has ended; it is never called
    /// from within submit(). After Shed and Expire the request has ended.
    core::result<policy::request_id> submit(policy::request_spec spec, decision_handler handler);

    /// Forgets a request.
    void cancel(policy::request_id request);

    /// Returns true if the request was queued again.
    bool finished(policy::request_id request, policy::attempt_outcome outcome);

    void firstToken(policy::request_id request);
    void tokens(policy::request_id request, std::uint32_t count);

    policy::decision_core &core() { return m_core; }
    const policy::decision_core &core() const { return m_core; }

    /// Requests that are queued or running.
    std::size_t openRequests() const { return m_handlers.size(); }

private:
    void scheduleTick();
    void tickSoon();
    void tick();
    void carryOut(const policy::decision &decision);

    asio::io_context &m_context;
    policy::decision_core m_core;
    asio::steady_timer m_timer;
    std::map<policy::request_id, decision_handler> m_handlers;
    /// Expires with the dispatcher; handlers that are already queued check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_tickPosted = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::daemon
