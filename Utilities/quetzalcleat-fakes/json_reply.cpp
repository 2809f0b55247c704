#include "json_reply.h"

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

void replyJson(http::caller_exchange &exchange, std::uint16_t status, const nlohmann::json &body)
{
    http::response_head head;
    head.status = status;
    head.headers.push_back({"Content-Type", "application/json"});
    exchange.respond(std::move(head), body.dump());
}

void replyError(http::caller_exchange &exchange, std::uint16_t status, std::string_view type)
{
    replyJson(exchange, status,
              {{"error", {{"type", type}, {"retryable", status >= 500}, {"outcome", "not_run"}}}});
}

std::string_view headerOf(const http::caller_request &request, std::string_view name)
{
    return http::findHeader(request.headers, name).value_or(std::string_view());
}

} // namespace quetzalcleat::fakes
