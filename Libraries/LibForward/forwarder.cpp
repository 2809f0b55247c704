#include "LibForward/forwarder.h"

#include "LibForward/caller_session.h"
#include "LibForward/exchange.h"
#include "LibForward/listen.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <asio/post.hpp>

namespace quetzalcleat::forward {

namespace {

constexpr std::chrono::milliseconds tickInterval{200};
/// Connections that may wait to be accepted.
constexpr int backlog = 1024;
/// Delay after a failed accept, for example because no file descriptor is free.
constexpr std::chrono::milliseconds acceptRetryDelay{20};

} // namespace

forwarder::forwarder(asio::io_context &context, core::counter_registry &counters, event_log &log,
                     forwarder_options options,
                     std::function<std::chrono::milliseconds()> confirmationAge)
    : m_context(context), m_counters(counters), m_log(log), m_options(std::move(options)),
      m_confirmationAge(std::move(confirmationAge)), m_acceptor(context), m_timer(context),
      m_pool(std::make_shared<connection_pool>(context, m_options.upstream, &counters)),
      m_endpoints(m_options.notices), m_notices(m_endpoints, counters, log, m_options.names),
      m_streamMover(m_endpoints, counters, log), m_placements(counters), m_heldRequests(context),
      m_retryBudget(m_options.retries),
      m_protection(m_options.memory, m_options.protection, m_sessions, counters, log),
      m_partsCharge(m_protection.budget(), policy::memory_kind::PromptParts)
{
}

core::result<void> forwarder::start()
{
    const auto error = listenOn(m_acceptor, m_options.callerAddress, backlog);
    if (error) {
        m_log.write("listen_failed",
                    {{"address", m_options.callerAddress.text()}, {"error", error.message()}});
        return forward_error::ListenFailed;
    }
    // Accepted connections inherit the sizes.
    std::error_code ignored;
    m_acceptor.set_option(
        asio::socket_base::receive_buffer_size(m_options.protection.receiveBufferBytes), ignored);
    m_acceptor.set_option(asio::socket_base::send_buffer_size(m_options.protection.sendBufferBytes),
                          ignored);
    acceptNext();
    startTimer();
    return {};
}

void forwarder::setEndpoints(const std::vector<listed_endpoint> &list)
{
    const auto now = m_options.now();
    m_endpoints.update(list, now);
    m_notices.update(now);
    for (const auto &entry : list) {
        if (entry.leavesIn)
            m_streamMover.recordLeave(entry.incarnation, *entry.leavesIn, now);
    }
    m_heldRequests.resume();
}

void forwarder::confirmEndpoints()
{
    const auto now = m_options.now();
    const auto started = m_endpoints.confirmList(now);
    if (started.empty())
        return;
    m_notices.logStartedAgain(started, now);
    m_heldRequests.resume();
}

void forwarder::acceptNext()
{
    m_acceptor.async_accept([self = shared_from_this()](std::error_code error,
                                                        asio::ip::tcp::socket socket) {
        if (self->m_stopped)
            return;
        if (error) {
            if (error == asio::error::operation_aborted)
                return;
            self->m_log.write("accept_failed", {{"error", error.message()}});
            auto timer = std::make_shared<asio::steady_timer>(self->m_context, acceptRetryDelay);
            timer->async_wait([self, timer](std::error_code) {
                if (!self->m_stopped)
                    self->acceptNext();
            });
            return;
        }
        self->openSession(std::move(socket));
        self->acceptNext();
    });
}

void forwarder::openSession(asio::ip::tcp::socket socket)
{
    std::error_code error;
    const auto address = socket.remote_endpoint(error).address();
    if (error)
        return;
    if (!m_protection.admitsConnection(address, m_options.maximumSessions)) {
        ++m_counters.counter("connections_refused_total");
        return;
    }
    auto session = std::make_shared<caller_session>(shared_from_this(), std::move(socket), address);
    m_sessions.insert(session);
    session->start();
}

/// Closing the listener resets connections that wait in its queue, with the requests on them.
void forwarder::acceptWaiting()
{
    std::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error)
            openSession(std::move(socket));
    }
}

void forwarder::startTimer()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->m_pool->closeIdle(std::chrono::steady_clock::now());
        self->m_notices.update(self->now());
        if (!self->m_streamMover.isIdle())
            self->m_streamMover.update(self->requests(), tickInterval, self->now());
        self->m_placements.update(self->m_endpoints, self->now());
        self->m_protection.closeExcess();
        self->chargeParts();
        self->m_protection.update();
        self->m_log.flush();
        self->startTimer();
    });
}

void forwarder::chargeParts()
{
    std::size_t parts = 0;
    for (const auto &[incarnation, target] : m_endpoints.all())
        parts += target->partSentTimes.size();
    m_partsCharge.resize(parts * part_history::entryBytes);
}

void forwarder::checkMemory()
{
    if (m_protection.budget()->excess() == 0 || std::exchange(m_checksMemory, true))
        return;
    // Posted, as the connection that was charged last may be among those closed.
    asio::post(m_context, [self = shared_from_this()] {
        self->m_checksMemory = false;
        self->m_protection.closeExcess();
    });
}

core::latency_histogram &forwarder::latency(const std::string &service)
{
    auto found = m_latencies.find(service);
    if (found == m_latencies.end())
        found = m_latencies
                    .emplace(service,
                             core::latency_histogram(m_counters, "request_latency_ms",
                                                     "service=\"" + service + '"'))
                    .first;
    return found->second;
}

void forwarder::beginStop(stop_times times)
{
    m_stopStart = std::chrono::steady_clock::now();
    m_stopTimes = {std::min(times.noticeEnd, times.end), times.end};
}

bool forwarder::isNoticeOver() const
{
    return isStopping() && std::chrono::steady_clock::now() >= m_stopTimes.noticeEnd;
}

bool forwarder::acceptsDeadline(core::instant deadline) const
{
    return !isNoticeOver() || deadline <= m_stopTimes.end;
}

void forwarder::closeListener()
{
    if (!m_acceptor.is_open())
        return;
    acceptWaiting();
    std::error_code ignored;
    m_acceptor.close(ignored);
}

void forwarder::closeIdle()
{
    closeListener();
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->closeIfIdle();
}

void forwarder::endRequests()
{
    closeListener();
    // Each request that ends would make room for a held one, which is ended as well.
    m_heldRequests.stop();
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        session->endRequest();
}

void forwarder::stop()
{
    if (std::exchange(m_stopped, true))
        return;
    std::error_code ignored;
    m_acceptor.close(ignored);
    m_timer.cancel();
    const auto sessions = std::exchange(m_sessions, {});
    for (const auto &session : sessions)
        session->close();
    m_pool->closeAll();
    m_heldRequests.stop();
    m_log.flush();
}

std::vector<std::shared_ptr<exchange>> forwarder::requests() const
{
    std::vector<std::shared_ptr<exchange>> requests;
    for (const auto &session : m_sessions) {
        if (const auto &request = session->currentExchange())
            requests.push_back(request);
    }
    return requests;
}

void forwarder::recallRequests(const endpoint &target)
{
    auto late = requests();
    std::erase_if(late,
                  [&target](const auto &request) { return !request->mayArriveLaterAt(target); });
    // Those that cannot be recalled come first, so that the one that is left is among them.
    std::stable_partition(late.begin(), late.end(),
                          [](const auto &request) { return !request->isRetrySafe(); });
    for (std::size_t index = 1; index < late.size(); ++index)
        late[index]->recall();
}

void forwarder::recordStream(const service &target, const endpoint &engine,
                             const placement_record &placement,
                             std::chrono::milliseconds longestPause)
{
    const double batch = engine.running + engine.runningByOtherHosts;
    m_endpoints.pauses(target.name)
        .record(longestPause, paceOf(target, m_options.placement.speed, batch));
    m_placements.recordStream(target.name, placement, longestPause);
}

void forwarder::recordOutcome(endpoint &target, endpoint_outcome outcome)
{
    const auto time = now();
    const bool wasEjected = target.ejectedUntil > time;
    const bool wasLost = target.lostAt.has_value();
    m_endpoints.recordOutcome(target, outcome, time);
    if (outcome == endpoint_outcome::Unreachable || outcome == endpoint_outcome::Replaced)
        m_crashWitness.recordLost(target.listed.incarnation, time);
    if (!wasLost && target.lostAt)
        m_log.write("endpoint_lost",
                    {{"endpoint", target.listed.incarnation}, {"service", target.listed.service}});
    if (!wasEjected && target.ejectedUntil > time)
        m_log.write(
            "endpoint_ejected",
            {{"endpoint", target.listed.incarnation},
             {"service", target.listed.service},
             {"failure_percent", std::to_string(static_cast<int>(target.failureShare * 100))},
             {"ejections", std::to_string(target.ejections)}});
}

void forwarder::checkIsRunning(const endpoint_table::endpoint_pointer &target)
{
    if (target->isBeingChecked || endpoint_table::shouldReportLoss(*target, now()))
        return;
    target->isBeingChecked = true;
    m_pool->open(target->listed.address, target->connectionKey(),
                 [weak = weak_from_this(), target](std::error_code error) {
                     target->isBeingChecked = false;
                     const auto self = weak.lock();
                     if (!self || self->m_stopped || !error)
                         return;
                     self->recordOutcome(*target, endpoint_outcome::Unreachable);
                 });
}

void forwarder::checkIsRunning(const std::string &incarnation)
{
    const auto found = m_endpoints.all().find(incarnation);
    if (found != m_endpoints.all().end())
        checkIsRunning(found->second);
}

void forwarder::endQuarantined()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        if (const auto request = session->currentExchange())
            request->endIfQuarantined();
    }
}

void forwarder::sessionEnded(const std::shared_ptr<caller_session> &session)
{
    if (m_sessions.erase(session) > 0)
        m_protection.connectionClosed(session->address());
}

} // namespace quetzalcleat::forward
