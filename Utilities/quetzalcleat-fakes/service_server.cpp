#include "service_server.h"

#include "json_reply.h"

#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

service_server::service_server(asio::io_context &context, core::socket_address address,
                               std::chrono::milliseconds runTime)
    : m_context(context), m_server(context, {.address = std::move(address)},
                                   [this](const std::shared_ptr<http::caller_exchange> &exchange) {
                                       handle(withSignals(exchange, m_signals));
                                   }),
      m_runTime(runTime)
{
}

void service_server::handle(const std::shared_ptr<http::caller_exchange> &exchange)
{
    const auto &request = exchange->request();
    if (request.method == "GET" && request.path == "/runs")
        return replyJson(*exchange, 200,
                         {{"runs", m_model.runsByKey()}, {"total", m_model.totalRuns()}});
    if (request.method == "POST" && request.path == "/faults") {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return replyError(*exchange, 400, "invalid_body");
        m_signals->apply(body);
        return replyJson(*exchange, 200, nlohmann::json::object());
    }
    if (m_signals->refusalWait.count() > 0)
        return refuse(*exchange, *m_signals);
    auto answer = m_model.call(request.method, request.path, headerOf(request, "Idempotency-Key"),
                               request.body);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_runTime);
    timer->async_wait([timer, exchange, answer = std::move(answer)](std::error_code) mutable {
        http::response_head head;
        head.status = answer.status;
        head.headers.push_back({"Content-Type", "application/json"});
        exchange->respond(std::move(head), std::move(answer.body));
    });
}

} // namespace quetzalcleat::fakes
