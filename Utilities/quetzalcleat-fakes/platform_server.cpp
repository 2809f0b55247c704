#include "platform_server.h"

#include "json_reply.h"

#include <algorithm>
#include <memory>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

platform_server::platform_server(asio::io_context &context, core::socket_address address,
                                 const inventory::document &document, std::chrono::milliseconds lag)
    : m_server(
        context, {.address = std::move(address)},
        [this](const std::shared_ptr<http::caller_exchange> &exchange) { handle(*exchange); }),
      m_lag(lag)
{
    for (const auto &endpoint : document.endpoints)
        m_hosts.push_back({endpoint.name, endpoint.address.text()});
}

void platform_server::handle(http::caller_exchange &exchange)
{
    const auto &path = exchange.request().path;
    if (path == "/hosts")
        return handleHosts(exchange);
    if (path == "/scale" || path == "/usage")
        return handleDuty(exchange);
    if (path == "/refusals")
        return handleRefusals(exchange);
    replyError(exchange, 404, "not_found");
}

void platform_server::handleHosts(http::caller_exchange &exchange)
{
    applyVisibleChanges();
    const auto &request = exchange.request();
    if (request.method == "GET") {
        nlohmann::json hosts = nlohmann::json::array();
        for (const auto &host : m_hosts)
            hosts.push_back({{"name", host.name},
                             {"address", host.address},
                             {"state", host.state},
                             {"incarnation", host.incarnation}});
        return replyJson(exchange, 200, {{"hosts", hosts}});
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("name") || !body["name"].is_string())
        return replyError(exchange, 400, "invalid_body");
    listed_host changed;
    changed.name = body["name"].get<std::string>();
    changed.state = body.value("state", "live");
    changed.incarnation = body.value("incarnation", std::uint64_t{1});
    m_pending.push_back({std::chrono::steady_clock::now() + m_lag, changed});
    replyJson(exchange, 200, {{"name", changed.name}});
}

void platform_server::handleDuty(http::caller_exchange &exchange)
{
    const auto &request = exchange.request();
    if (request.method == "GET") {
        nlohmann::json accepted = nlohmann::json::array();
        if (request.path == "/scale") {
            for (const auto &[subject, order] : m_orders)
                accepted.push_back(order);
        } else {
            for (const auto &[window, report] : m_usage)
                accepted.push_back(report);
        }
        return replyJson(exchange, 200, {{"accepted", accepted}});
    }
    if (request.method != "POST")
        return replyError(exchange, 405, "method_not_allowed");
    if (headerOf(request, "X-Duty-Holder").empty() || headerOf(request, "X-Fence-Token").empty())
        return replyError(exchange, 400, "missing_duty_header");
    const auto refused = m_refusals.find(request.path);
    if (refused != m_refusals.end() && refused->second.calls > 0) {
        --refused->second.calls;
        return replyError(exchange, refused->second.status, "refused");
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return replyError(exchange, 400, "invalid_body");
    if (request.path == "/scale")
        handleOrder(exchange, body);
    else
        handleUsage(exchange, body);
}

void platform_server::handleOrder(http::caller_exchange &exchange, const nlohmann::json &body)
{
    const auto isText
        = [&body](const char *name) { return body.contains(name) && body[name].is_string(); };
    const bool isSpotReadable = !body.contains("spot") || body["spot"].is_boolean();
    if (!isText("service") || !isText("zone") || !body.contains("desired")
        || !body["desired"].is_number_unsigned() || !isSpotReadable)
        return replyError(exchange, 400, "invalid_body");
    const bool isSpot = body.value("spot", false);
    const auto subject = body["service"].get<std::string>() + ' ' + body["zone"].get<std::string>()
        + (isSpot ? " spot" : "");
    m_orders[subject] = body;
    replyJson(exchange, 200, body);
}

void platform_server::handleUsage(http::caller_exchange &exchange, const nlohmann::json &body)
{
    if (!body.contains("window") || !body["window"].is_number_unsigned() || !body.contains("counts")
        || !body["counts"].is_object())
        return replyError(exchange, 400, "invalid_body");
    // An exact repeat is allowed; other counts of the same window are not.
    const auto known = m_usage.try_emplace(body["window"].get<std::uint64_t>(), body).first;
    if (known->second != body)
        return replyError(exchange, 400, "counts_differ");
    replyJson(exchange, 200, body);
}

void platform_server::handleRefusals(http::caller_exchange &exchange)
{
    constexpr std::uint16_t lowestError = 400;
    constexpr std::uint16_t highestError = 599;
    const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object() || !body.contains("path") || !body["path"].is_string()
        || !body.contains("status") || !body["status"].is_number_unsigned()
        || !body.contains("calls") || !body["calls"].is_number_unsigned()
        || body["status"] < lowestError || body["status"] > highestError)
        return replyError(exchange, 400, "invalid_body");
    m_refusals[body["path"].get<std::string>()]
        = {body["status"].get<std::uint16_t>(), body["calls"].get<std::uint64_t>()};
    replyJson(exchange, 200, body);
}

void platform_server::applyVisibleChanges()
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
        const auto &change = m_pending.front().host;
        const auto known = std::ranges::find(m_hosts, change.name, &listed_host::name);
        if (known != m_hosts.end()) {
            known->state = change.state;
            known->incarnation = change.incarnation;
        }
        m_pending.pop_front();
    }
}

} // namespace quetzalcleat::fakes
