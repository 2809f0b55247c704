#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/result.h"
#include "LibHttp/caller_server.h"
#include "LibHttp/endpoint_client.h"
#include "LibInventory/parser.h"
#include "LibPeer/control_plane.h"
#include "quetzalcleatd/completion_session.h"
#include "quetzalcleatd/endpoint_observer.h"
#include "quetzalcleatd/entry_options.h"
#include "quetzalcleatd/operator_api.h"
#include "quetzalcleatd/service_session.h"
#include "quetzalcleatd/stop_sequence.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace quetzalcleat::daemon {

/// The entry role of a process: serves callers and operators and routes their requests.
///
/// Use it only on the thread that runs the context. The context and the control plane must outlive
/// it.
template <peer::control_plane Control>
class entry
{
public:
    entry(asio::io_context &context, Control &control, core::counter_registry &counters,
          entry_options options)
        : m_options(std::move(options)), m_control(control), m_log("quetzalcleatd"),
          m_endpoints(context, &counters), m_decisions(context, m_options.seed),
          m_notices(m_decisions, counters, m_log),
          m_environment{context,           m_endpoints,        m_decisions,
                        m_notices,         counters,           m_log,
                        nullptr,           m_options.hostName, m_options.hostIncarnation,
                        m_options.sessions},
          m_inputs(std::make_shared<http::input_account>(
              m_options.inputs,
              [this](http::closing_reason reason) { recordClosedConnection(reason); })),
          m_callers(context,
                    {.address = m_options.callerAddress,
                     .maximumConnections = m_options.maximumConnections,
                     .writeProgressTimeout = m_options.callerProgressTimeout,
                     .inputs = m_inputs},
                    [this](const exchange_pointer &exchange) { handleCaller(exchange); }),
          m_operators(context,
                      {.address = m_options.operatorAddress,
                       .maximumConnections = m_options.maximumOperatorConnections,
                       .inputs = m_inputs},
                      [this](const exchange_pointer &exchange) { handleOperator(exchange); }),
          m_stop(std::make_shared<stop_sequence>(m_environment, m_callers, m_options)),
          m_observer(std::make_shared<endpoint_observer>(m_environment, m_options.observer)),
          m_operatorApi(m_environment, control, m_options, [this] { return leaving(); })
    {
    }

    /// Listens on both addresses and subscribes to the configuration. Returns an operating system
    /// error if an address cannot be used.
    core::result<void> start()
    {
        if (m_options.servesCallers) {
            if (auto opened = m_callers.open(); !opened)
                return opened;
        }
        if (auto opened = m_operators.open(); !opened)
            return opened;
        m_decisions.start();
        m_observer->start();
        m_control.onConfiguration(
            [this](const state::configuration &configuration) { putInForce(configuration); });
        m_control.onIncarnationRaised(
            [this](std::uint64_t incarnation) { m_environment.hostIncarnation = incarnation; });
        return {};
    }

    /// Starts a graceful stop; see stop_sequence.
    void beginStop(std::function<void(bool)> stopped) { m_stop->begin(std::move(stopped)); }
    void skipIdleWait() { m_stop->skipIdleWait(); }

    /// Stops immediately, without waiting for requests in flight. A graceful stop in progress
    /// doesn't call back any more.
    void shutDown()
    {
        m_stop->abandon();
        m_callers.closeListener();
        m_operators.closeListener();
        m_observer->stop();
        m_decisions.stop();
        m_endpoints.shutDown();
    }

    std::uint16_t callerPort() const { return m_callers.port(); }
    std::uint16_t operatorPort() const { return m_operators.port(); }
    std::size_t openExchanges() const { return m_callers.openExchanges(); }

    policy::dump_view dump() const { return m_decisions.core().dump(); }

    bool leaving() const
    {
        return m_stop->leaving()
            || (m_environment.routing && m_environment.routing->isHostDrained(m_options.hostName));
    }

private:
    using exchange_pointer = std::shared_ptr<http::caller_exchange>;

    /// Crowds close thousands of connections; the counters have the exact numbers.
    void recordClosedConnection(http::closing_reason reason)
    {
        constexpr std::chrono::seconds logInterval{10};
        const auto name = std::string(http::nameOf(reason));
        ++m_environment.counters.counter("quetzalcleat_connections_closed_total",
                                         "reason=\"" + name + '"');
        const auto now = std::chrono::steady_clock::now();
        if (now < m_nextClosedLog)
            return;
        m_nextClosedLog = now + logInterval;
        m_log.warning("closing connections of callers; newest reason " + name
                      + ", bytes held for callers " + std::to_string(m_inputs->heldBytes()));
    }

    void handleOperator(const exchange_pointer &exchange)
    {
        m_environment.counters.gauge("quetzalcleat_caller_bytes_held")
            = static_cast<double>(m_inputs->heldBytes());
        m_operatorApi.handle(exchange);
    }

    void putInForce(const state::configuration &configuration)
    {
        if (m_environment.routing && configuration.revision <= m_environment.routing->revision())
            return;
        auto parsed = inventory::parse(configuration.document, "configuration");
        if (std::holds_alternative<std::vector<core::located_error>>(parsed)) {
            // The document was valid when accepted, but another version may have validated it.
            m_log.error("revision " + std::to_string(configuration.revision)
                        + " is not valid in this version; the previous one stays in force");
            return;
        }
        m_environment.routing = std::make_shared<const routing_table>(
            configuration.revision, configuration.document,
            std::get<inventory::document>(std::move(parsed)));
        m_decisions.configure(m_environment.routing->document(),
                              {m_options.hostName, m_options.dataCentre});
        m_operatorApi.recordRevision(configuration);
        m_log.information("revision " + std::to_string(configuration.revision) + " in force");
    }

    void handleCaller(const exchange_pointer &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/healthz") {
            sendHealth(*exchange);
            return;
        }
        auto requestId = requestIdOf(request.headers);
        if (!m_environment.routing) {
            const bool keyed = http::findHeader(request.headers, "Idempotency-Key").has_value();
            error_response error{error_type::NotReady, "no configuration is in force yet", true,
                                 call_outcome::NotRun, std::chrono::seconds(1)};
            sendError(*exchange, keyed ? forKeyedCall(std::move(error)) : error, requestId);
            return;
        }
        if (request.path.starts_with("/services/"))
            std::make_shared<service_session<Control>>(m_environment, m_control, exchange,
                                                       std::move(requestId))
                ->start();
        else if (request.method == "POST" && request.path == "/v1/completions")
            startCompletion(exchange, std::move(requestId), completion_kind::Text);
        else if (request.method == "POST" && request.path == "/v1/chat/completions")
            startCompletion(exchange, std::move(requestId), completion_kind::Chat);
        else
            sendError(*exchange,
                      {error_type::NotFound, "no such path", false, call_outcome::NotRun, {}},
                      requestId);
    }

    void sendHealth(http::caller_exchange &exchange) const
    {
        // Without a configuration every request is refused.
        const bool ready = m_environment.routing != nullptr;
        const bool live = ready && !leaving();
        const auto *status = leaving() ? "leaving" : (ready ? "live" : "starting");
        exchange.respond(
            {static_cast<std::uint16_t>(live ? 200 : 503), {{"Content-Type", "application/json"}}},
            std::string(R"({"status":")") + status + R"("})");
    }

    void startCompletion(const exchange_pointer &exchange, std::string requestId,
                         completion_kind kind)
    {
        std::make_shared<completion_session>(m_environment, exchange, std::move(requestId))
            ->start(kind);
    }

    entry_options m_options;
    Control &m_control;
    core::logger m_log;
    http::endpoint_client m_endpoints;
    dispatcher m_decisions;
    notice_recorder m_notices;
    session_environment m_environment;
    std::shared_ptr<http::input_account> m_inputs;
    core::instant m_nextClosedLog;
    http::caller_server m_callers;
    http::caller_server m_operators;
    std::shared_ptr<stop_sequence> m_stop;
    std::shared_ptr<endpoint_observer> m_observer;
    operator_api<Control> m_operatorApi;
};

} // namespace quetzalcleat::daemon
