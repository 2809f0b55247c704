#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/latency_histogram.h"
#include "LibForward/caller_protection.h"
#include "LibForward/endpoint_table.h"
#include "LibForward/event_log.h"
#include "LibForward/held_requests.h"
#include "LibForward/notice_recorder.h"
#include "LibForward/placement.h"
#include "LibForward/placement_metrics.h"
#include "LibForward/retry_budget.h"
#include "LibForward/route_table.h"
#include "LibForward/stream_mover.h"
#include "LibForward/upstream.h"
#include "LibForward/wire_names.h"
#include "LibForward/work_counters.h"
#include "LibPolicy/crash_witness.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

class caller_session;
class exchange;

struct forwarder_options
{
    core::socket_address callerAddress;
    wire_names names;
    placement_options placement;
    retry_limits retries;
    upstream_options upstream;
    policy::notice_limits notices;
    /// Requests with keys are refused if the last confirmation of the configuration is older.
    std::chrono::milliseconds confirmationLifetime{4000};
    std::size_t maximumSessions = 2500;
    caller_protection_limits protection;
    /// Of the process; null for one of the default size.
    std::shared_ptr<policy::memory_budget> memory;
    core::time_source now = core::suspendAwareNow; ///< Has to count suspended time.
};

/// Times of a planned stop.
struct stop_times
{
    core::instant noticeEnd; ///< Until then every request is taken, whatever its deadline.
    core::instant end; ///< Requests in progress are ended.
};

/// Accepts callers and forwards their requests to endpoints.
///
/// Used only on the thread of the event loop.
class forwarder : public std::enable_shared_from_this<forwarder>
{
public:
    /// `confirmationAge` returns how long ago the configuration was confirmed to be the newest.
    forwarder(asio::io_context &context, core::counter_registry &counters, event_log &log,
              forwarder_options options,
              std::function<std::chrono::milliseconds()> confirmationAge);

    /// Listens on the caller address. Errors: ListenFailed.
    core::result<void> start();

    void setRoutes(std::shared_ptr<const route_table> routes) { m_routes = std::move(routes); }
    void setEndpoints(const std::vector<listed_endpoint> &list);
    /// The list that was set last is not older than endpoint_table::maximumListDelay.
    void confirmEndpoints();

    /// Persistent connections close after their next response; new ones are still accepted. After
    /// the notice, only requests are taken that end before the stop does.
    void beginStop(stop_times times);
    /// Accepts the connections that already wait, then closes the listener and idle connections.
    void closeIdle();
    /// Answers all requests in progress, at the end of the grace time. Answers that are being
    /// written go on.
    void endRequests();
    void stop();

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    bool isStopping() const { return m_stopStart.has_value(); }
    /// Whether a stop is in progress and callers have had the time to notice it.
    bool isNoticeOver() const;
    /// Whether a request with this deadline is taken now. After the notice of a stop, its deadline
    /// has to come before the end of the stop.
    bool acceptsDeadline(core::instant deadline) const;
    std::optional<core::instant> stopStart() const { return m_stopStart; }
    bool hasConfirmedConfiguration() const
    {
        return m_confirmationAge() <= m_options.confirmationLifetime;
    }
    std::chrono::milliseconds confirmationAge() const { return m_confirmationAge(); }
    std::size_t requestsInProgress() const { return m_requests; }
    std::size_t sessions() const { return m_sessions.size(); }

    const std::shared_ptr<const route_table> &routes() const { return m_routes; }
    caller_limits callerLimits() const
    {
        return m_routes ? m_routes->content().limits : caller_limits{};
    }
    /// For endpoints(), notices() and retryBudget(), whose times have to count suspended time. Not
    /// comparable with the time points of timers, arrivals and deadlines.
    core::instant now() const { return m_options.now(); }
    /// The time point for a timer.
    core::instant timerTime(core::instant time) const
    {
        return std::chrono::steady_clock::now() + (time - now());
    }

    endpoint_table &endpoints() { return m_endpoints; }
    notice_recorder &notices() { return m_notices; }
    held_requests &heldRequests() { return m_heldRequests; }
    retry_budget &retryBudget() { return m_retryBudget; }
    work_counters &work() { return m_work; }
    policy::crash_witness &crashWitness() { return m_crashWitness; }
    caller_protection &protection() { return m_protection; }
    /// To be called after memory was charged that could not be refused. If the bound is exceeded,
    /// connections are closed once the current handler has returned.
    void checkMemory();
    const std::shared_ptr<connection_pool> &pool() const { return m_pool; }
    const forwarder_options &options() const { return m_options; }
    core::counter_registry &counters() { return m_counters; }
    event_log &log() { return m_log; }
    asio::io_context &context() { return m_context; }
    core::latency_histogram &latency(const std::string &service);

    /// An endpoint has asked for a wait. Of the requests written to it that may still arrive there,
    /// one is left and the others are sent elsewhere if they are safe to send again.
    void recallRequests(const endpoint &target);

    /// The endpoint is gone after this time, as a control host says. Streams that would outlast it
    /// continue elsewhere.
    void recordLeave(const std::string &incarnation, std::chrono::milliseconds remaining)
    {
        m_streamMover.recordLeave(incarnation, remaining, now());
    }

    /// An engine has ended a stream. To be called before the endpoint is released.
    void recordStream(const service &target, const endpoint &engine,
                      const placement_record &placement, std::chrono::milliseconds longestPause);
    placement_metrics &placements() { return m_placements; }
    /// Records how an attempt at the endpoint ended, and logs what follows from it.
    void recordOutcome(endpoint &target, endpoint_outcome outcome);
    /// Finds out whether the endpoint still runs after a connection to it broke.
    void checkIsRunning(const endpoint_table::endpoint_pointer &target);
    /// The same for an endpoint that another host has lost; ignored if it is not known here.
    void checkIsRunning(const std::string &incarnation);
    /// Ends the requests with quarantined parts that engines are not answering yet.
    void endQuarantined();

    void sessionEnded(const std::shared_ptr<caller_session> &session);
    void requestStarted() { ++m_requests; }
    void requestEnded() { --m_requests; }
    std::size_t waitingRequests() const { return m_waitingRequests; }
    void waitStarted() { ++m_waitingRequests; }
    void waitEnded() { --m_waitingRequests; }

private:
    std::vector<std::shared_ptr<exchange>> requests() const;
    void acceptNext();
    void acceptWaiting();
    void closeListener();
    void openSession(asio::ip::tcp::socket socket);
    void chargeParts();
    void startTimer();

    asio::io_context &m_context;
    core::counter_registry &m_counters;
    event_log &m_log;
    forwarder_options m_options;
    std::function<std::chrono::milliseconds()> m_confirmationAge;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::shared_ptr<connection_pool> m_pool;
    std::shared_ptr<const route_table> m_routes;
    endpoint_table m_endpoints;
    notice_recorder m_notices;
    stream_mover m_streamMover;
    placement_metrics m_placements;
    held_requests m_heldRequests;
    retry_budget m_retryBudget;
    policy::crash_witness m_crashWitness;
    work_counters m_work;
    caller_protection::session_set m_sessions;
    caller_protection m_protection;
    policy::memory_charge m_partsCharge; ///< For what is known of the caches of engines.
    std::map<std::string, core::latency_histogram> m_latencies;
    std::size_t m_requests = 0;
    std::size_t m_waitingRequests = 0; ///< Requests that wait for a configuration or an endpoint.
    std::optional<core::instant> m_stopStart; ///< Of a planned stop.
    stop_times m_stopTimes;
    bool m_checksMemory = false;
    bool m_stopped = false;
};

} // namespace quetzalcleat::forward
