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

/// Runs the decision core of the process and delivers its decisions to the sessions.
///
/// Ticks every 10 ms, and from the event loop after each change of requests or configuration.
class dispatcher
{
public:
    using decision_handler = std::function<void(const policy::decision &)>;

    dispatcher(asio::io_context &context, std::uint64_t seed);

    void start();
    void stop();

    void configure(const inventory::document &document, const policy::host_location &self);

    /// The handler is called with each decision about the request until it ends, but never from
    /// within submit(). Shed and Expire end the request.
    core::result<policy::request_id> submit(policy::request_spec spec, decision_handler handler);

    /// Cancels a request; its handler is not called again.
    void cancel(policy::request_id request);

    /// Reports the end of an attempt. Returns true if the request was queued again.
    bool finished(policy::request_id request, policy::attempt_outcome outcome);

    /// Reports what an answer says of its endpoint. Returns whether that begins to be held off.
    bool answered(policy::request_id request, const policy::answer_notice &notice);

    /// Whether an attempt that was dispatched may still be sent.
    bool mayStillSend(policy::request_id request) const;

    void firstToken(policy::request_id request);
    void tokens(policy::request_id request, std::uint32_t count);

    policy::decision_core &core() { return m_core; }
    const policy::decision_core &core() const { return m_core; }

    /// Number of requests that are queued or running.
    std::size_t openRequests() const { return m_handlers.size(); }

private:
    void scheduleTick();
    void postTick();
    void tick();
    void deliver(const policy::decision &decision);

    asio::io_context &m_context;
    policy::decision_core m_core;
    asio::steady_timer m_timer;
    std::map<policy::request_id, decision_handler> m_handlers;
    /// Expires with the dispatcher; callbacks that are already posted check it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_tickPosted = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::daemon
