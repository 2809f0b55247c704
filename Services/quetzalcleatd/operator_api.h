#pragma once

#include "LibCore/hash.h"
#include "LibHttp/caller_server.h"
#include "LibInventory/drain_edit.h"
#include "LibInventory/parser.h"
#include "LibPeer/control_plane.h"
#include "quetzalcleatd/admission.h"
#include "quetzalcleatd/entry_options.h"
#include "quetzalcleatd/operator_request.h"
#include "quetzalcleatd/operator_views.h"
#include "quetzalcleatd/session_environment.h"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalcleat::daemon {

/// A configuration that has been in force in this process.
struct history_entry
{
    std::uint64_t revision = 0;
    std::string editId;
    std::string author;
};

/// The HTTP API for operators: configuration, drains, status, explanations and metrics.
template <peer::control_plane Control>
class operator_api
{
public:
    using exchange_pointer = std::shared_ptr<http::caller_exchange>;

    operator_api(session_environment &environment, Control &control, const entry_options &options,
                 std::function<bool()> leaving)
        : m_environment(environment), m_control(control), m_options(options),
          m_leaving(std::move(leaving))
    {
    }

    void handle(const exchange_pointer &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/healthz") {
            const bool leaving = m_leaving();
            send(*exchange, static_cast<std::uint16_t>(leaving ? 503 : 200),
                 leaving ? R"({"status":"leaving"})" : R"({"status":"live"})");
            return;
        }
        const auto token = bearerToken(request.headers);
        if (!token || !core::equalInConstantTime(*token, m_options.operatorKey)) {
            fail(*exchange, error_type::Unauthorized, "not authorised");
            return;
        }
        if (request.body.size() > http::maximumRequestBytes) {
            fail(*exchange, error_type::TooLarge, "request body is larger than 4 MiB");
            return;
        }
        if (request.method == "GET")
            handleGet(exchange);
        else if (request.method == "POST")
            handlePost(exchange);
        else
            fail(*exchange, error_type::NotFound, "no such operation");
    }

    void recordRevision(const state::configuration &configuration)
    {
        constexpr std::size_t historyLength = 1000;
        m_history.push_back({configuration.revision, configuration.editId, configuration.author});
        if (m_history.size() > historyLength)
            m_history.pop_front();
    }

private:
    void handleGet(const exchange_pointer &exchange)
    {
        constexpr std::string_view explainPrefix = "/operator/explain/";
        const auto &path = exchange->request().path;
        if (path == "/operator/configuration")
            sendConfiguration(*exchange);
        else if (path == "/operator/history")
            sendHistory(*exchange);
        else if (path == "/operator/status")
            send(*exchange, 200, toJson(m_control.status(), m_leaving()));
        else if (path == "/operator/dump")
            send(*exchange, 200, toJson(m_environment.decisions.core().dump()));
        else if (path.starts_with(explainPrefix))
            sendExplanation(*exchange, std::string_view(path).substr(explainPrefix.size()));
        else if (path == "/metrics")
            sendMetrics(*exchange);
        else
            fail(*exchange, error_type::NotFound, "no such path");
    }

    void handlePost(const exchange_pointer &exchange)
    {
        const auto &path = exchange->request().path;
        if (hasTooManyValues(exchange->request().body, document_format::Json,
                             m_options.sessions.documentValues))
            fail(*exchange, error_type::TooLarge, "request body has too many values");
        else if (path == "/operator/configuration")
            apply(exchange);
        else if (path == "/operator/check")
            check(*exchange);
        else if (path == "/operator/drain")
            drain(exchange);
        else
            fail(*exchange, error_type::NotFound, "no such path");
    }

    void sendConfiguration(http::caller_exchange &exchange)
    {
        const auto &routing = m_environment.routing;
        const nlohmann::json content{{"revision", routing ? routing->revision() : 0},
                                     {"document", routing ? routing->text() : std::string()}};
        send(exchange, 200, content.dump());
    }

    void sendHistory(http::caller_exchange &exchange)
    {
        auto entries = nlohmann::json::array();
        for (const auto &entry : m_history)
            entries.push_back({{"revision", entry.revision},
                               {"edit_id", entry.editId},
                               {"author", entry.author}});
        send(exchange, 200, nlohmann::json{{"history", std::move(entries)}}.dump());
    }

    void sendExplanation(http::caller_exchange &exchange, std::string_view requestId)
    {
        const auto found = m_environment.decisions.core().explain(requestId);
        if (!found) {
            fail(exchange, error_type::NotFound, "nothing is remembered about this request");
            return;
        }
        send(exchange, 200, toJson(*found, std::chrono::steady_clock::now()));
    }

    void sendMetrics(http::caller_exchange &exchange)
    {
        auto &counters = m_environment.counters;
        counters.gauge("quetzalcleat_open_requests")
            = static_cast<double>(m_environment.decisions.openRequests());
        counters.gauge("quetzalcleat_revision_in_force")
            = static_cast<double>(m_environment.routing ? m_environment.routing->revision() : 0);
        exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}}, counters.text());
    }

    bool isInvalid(http::caller_exchange &exchange, const std::string &document) const
    {
        if (hasTooManyValues(document, document_format::Toml, m_options.sessions.documentValues)) {
            fail(exchange, error_type::TooLarge, "document has too many values");
            return true;
        }
        const auto parsed = inventory::parse(document, "document");
        const auto *errors = std::get_if<std::vector<core::located_error>>(&parsed);
        if (!errors)
            return false;
        send(exchange, 422, toJson(*errors));
        return true;
    }

    void check(http::caller_exchange &exchange)
    {
        const auto request = parseCheckRequest(exchange.request().body);
        if (const auto *problem = std::get_if<std::string_view>(&request)) {
            fail(exchange, error_type::InvalidRequest, std::string(*problem));
            return;
        }
        if (!isInvalid(exchange, std::get<std::string>(request)))
            send(exchange, 200, toJson(std::vector<core::located_error>()));
    }

    void apply(const exchange_pointer &exchange)
    {
        auto request = parseEditRequest(exchange->request().body);
        if (const auto *problem = std::get_if<std::string>(&request)) {
            fail(*exchange, error_type::InvalidRequest, *problem);
            return;
        }
        auto &content = std::get<edit_request>(request);
        if (!isInvalid(*exchange, content.edit.document))
            propose(exchange, std::move(content));
    }

    void drain(const exchange_pointer &exchange)
    {
        const auto parsed = parseDrainRequest(exchange->request().body);
        if (const auto *problem = std::get_if<std::string>(&parsed)) {
            fail(*exchange, error_type::InvalidRequest, *problem);
            return;
        }
        const auto &request = std::get<drain_request>(parsed);
        const auto routing = m_environment.routing;
        if (!routing) {
            fail(*exchange, error_type::NotReady, "no configuration is in force yet");
            return;
        }
        const auto document = inventory::addDrain(routing->text(), request.target);
        if (!document) {
            fail(*exchange, error_type::InvalidRequest, document.error().message());
            return;
        }
        if (document.value() == routing->text()) {
            // The drain is already in force, for example because the request was resent. Proposing
            // it again would pair its edit id with another document.
            sendVerdict(*exchange, {state::edit_verdict_kind::Accepted, routing->revision()});
            return;
        }
        propose(exchange,
                {{request.editId, routing->revision(), document.value(), "operator"}, false});
    }

    void propose(const exchange_pointer &exchange, edit_request request)
    {
        const bool wait = request.wait;
        m_control.applyEdit(
            std::move(request.edit), m_options.editTimeout,
            [this, exchange, wait](const core::result<state::edit_verdict> &verdict) {
                if (!verdict)
                    sendError(*exchange,
                              {error_type::LedgerUnavailable,
                               "no verdict in time; send the edit again with the same edit_id",
                               true, call_outcome::Undecided, std::chrono::seconds(1)},
                              {});
                else if (wait && verdict.value().kind == state::edit_verdict_kind::Accepted)
                    awaitInForce(exchange, verdict.value().revision,
                                 std::chrono::steady_clock::now() + m_options.inForceTimeout);
                else
                    sendVerdict(*exchange, verdict.value());
            });
    }

    static void sendVerdict(http::caller_exchange &exchange, const state::edit_verdict &verdict)
    {
        switch (verdict.kind) {
        case state::edit_verdict_kind::Accepted:
            send(exchange, 200,
                 nlohmann::json{{"verdict", "accepted"}, {"revision", verdict.revision}}.dump());
            return;
        case state::edit_verdict_kind::Conflict:
            send(exchange, 409,
                 nlohmann::json{{"verdict", "conflict"}, {"revision", verdict.revision}}.dump());
            return;
        case state::edit_verdict_kind::EditIdReused:
            send(exchange, 409,
                 nlohmann::json{{"verdict", "edit_id_reused"}, {"revision", verdict.revision}}
                     .dump());
            return;
        }
    }

    void awaitInForce(const exchange_pointer &exchange, std::uint64_t revision,
                      core::instant deadline)
    {
        constexpr std::chrono::milliseconds interval{50};
        const auto status = m_control.status();
        const bool everywhere = status.revision >= revision
            && std::ranges::all_of(status.hosts, [revision](const peer::host_status &host) {
                                    return !host.alive || host.revision >= revision;
                                });
        if (everywhere || std::chrono::steady_clock::now() >= deadline) {
            send(*exchange, 200,
                 nlohmann::json{{"verdict", "accepted"},
                                {"revision", revision},
                                {"in_force_everywhere", everywhere}}
                     .dump());
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_environment.context, interval);
        timer->async_wait([this, exchange, revision, deadline, timer](std::error_code error) {
            if (!error)
                awaitInForce(exchange, revision, deadline);
        });
    }

    static void send(http::caller_exchange &exchange, std::uint16_t status, std::string body)
    {
        exchange.respond({status, {{"Content-Type", "application/json"}}}, std::move(body));
    }

    static void fail(http::caller_exchange &exchange, error_type type, std::string message)
    {
        sendError(exchange, {type, std::move(message), false, call_outcome::NotRun, {}}, {});
    }

    session_environment &m_environment;
    Control &m_control;
    const entry_options &m_options;
    std::function<bool()> m_leaving;
    std::deque<history_entry> m_history;
};

} // namespace quetzalcleat::daemon
