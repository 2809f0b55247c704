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
    applyVisibleChanges();
    const auto &request = exchange.request();
    if (request.path != "/hosts")
        return replyError(exchange, 404, "not_found");
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
