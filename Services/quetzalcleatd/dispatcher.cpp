#include "quetzalcleatd/dispatcher.h"

#include <asio/post.hpp>

#include <chrono>

namespace quetzalcleat::daemon {

namespace {

constexpr std::chrono::milliseconds tickInterval{10};

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

dispatcher::dispatcher(asio::io_context &context, std::uint64_t seed)
    : m_context(context), m_core(seed), m_timer(context)
{
}

void dispatcher::start()
{
    scheduleTick();
}

void dispatcher::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void dispatcher::configure(const inventory::document &document, const policy::host_location &self)
{
    m_core.configure(document, self, now());
    postTick();
}

core::result<policy::request_id> dispatcher::submit(policy::request_spec spec,
                                                    decision_handler handler)
{
    const auto accepted = m_core.submit(std::move(spec), now());
    if (!accepted)
        return accepted;
    m_handlers.emplace(accepted.value(), std::move(handler));
    postTick();
    return accepted;
}

void dispatcher::cancel(policy::request_id request)
{
    m_core.cancel(request, now());
    m_handlers.erase(request);
    postTick();
}

bool dispatcher::finished(policy::request_id request, policy::attempt_outcome outcome)
{
    const bool queuedAgain = m_core.reportFinished(request, outcome, now());
    if (!queuedAgain)
        m_handlers.erase(request);
    postTick();
    return queuedAgain;
}

bool dispatcher::answered(policy::request_id request, const policy::answer_notice &notice)
{
    const bool begins = m_core.reportAnswer(request, notice, now());
    if (notice.isLeaving || notice.wait)
        postTick();
    return begins;
}

bool dispatcher::mayStillSend(policy::request_id request) const
{
    return m_core.mayStillSend(request, now());
}

void dispatcher::firstToken(policy::request_id request)
{
    m_core.reportFirstToken(request, now());
}

void dispatcher::tokens(policy::request_id request, std::uint32_t count)
{
    m_core.reportTokens(request, count, now());
}

void dispatcher::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](std::error_code error) {
        if (error || alive.expired() || m_stopped)
            return;
        tick();
        scheduleTick();
    });
}

void dispatcher::postTick()
{
    if (m_tickPosted || m_stopped)
        return;
    m_tickPosted = true;
    asio::post(m_context, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.expired())
            return;
        m_tickPosted = false;
        tick();
    });
}

void dispatcher::tick()
{
    if (m_stopped)
        return;
    for (const auto &decision : m_core.tick(now()))
        deliver(decision);
}

void dispatcher::deliver(const policy::decision &decision)
{
    const auto found = m_handlers.find(decision.request);
    if (found == m_handlers.end())
        return;
    const bool ended = decision.kind == policy::decision_kind::Shed
        || decision.kind == policy::decision_kind::Expire;
    // Copied, because the handler may end the request, which erases the entry.
    const auto handler = found->second;
    if (ended)
        m_handlers.erase(found);
    handler(decision);
}

} // namespace quetzalcleat::daemon
