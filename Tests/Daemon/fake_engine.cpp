#include "fake_engine.h"

#include <nlohmann/json.hpp>

namespace quetzalcleat::tests {

namespace {

std::string header(const http::caller_request &request, std::string_view name)
{
    return std::string(http::findHeader(request.headers, name).value_or(std::string_view()));
}

} // namespace

fake_engine::fake_engine(asio::io_context &context)
    : m_server(context,
               [this](const auto &connection, const auto &request) { handle(connection, request); })
{
}

void fake_engine::handle(const std::shared_ptr<fake_connection> &connection,
                         const http::caller_request &request)
{
    constexpr std::string_view path = "/v1/completions";
    if (request.path == "/load") {
        connection->send(completeResponse(200,
                                          nlohmann::json{{"incarnation", incarnation},
                                                         {"state", loadState},
                                                         {"running", 0},
                                                         {"waiting", 0},
                                                         {"kv_used_blocks", 0},
                                                         {"kv_total_blocks", 100},
                                                         {"sampled_at_ms", 0},
                                                         {"models", {"m1"}}}
                                              .dump()));
        return;
    }
    if (request.path == "/cache-events") {
        connection->send(completeResponse(200, R"({"events":[],"next":0})"));
        return;
    }
    if (request.method == "DELETE") {
        m_cancelled.push_back(request.path.substr(path.size() + 1));
        connection->send(completeResponse(200, "{}"));
        return;
    }
    const auto body = nlohmann::json::parse(request.body);
    const engine_call call{connection,
                           header(request, "X-Request-Id"),
                           header(request, "X-Priority"),
                           header(request, "X-Resume-From"),
                           header(request, "X-Generation-Id"),
                           body.value("prompt", std::string("chat"))};
    m_calls.push_back(call);
    if (onCompletion) {
        onCompletion(call);
        return;
    }
    connection->send(chunkedHead(200));
    sendRest(call, 0);
}

void fake_engine::sendRest(const engine_call &call, std::uint32_t from) const
{
    for (auto index = from; index < tokensPerCompletion; ++index)
        call.connection->send(event(call, index, index + 1 == tokensPerCompletion));
    call.connection->send(done() + lastChunk());
}

std::string fake_engine::event(const engine_call &call, std::uint32_t index, bool last,
                               const std::string &generation)
{
    const nlohmann::json content{
        {"id", generation},
        {"request_id", call.requestId},
        {"index", index},
        {"text", expectedToken(call.prompt, index)},
        {"finish_reason", last ? nlohmann::json("stop") : nlohmann::json()}};
    return chunk("data: " + content.dump() + "\n\n");
}

std::string fake_engine::done()
{
    return chunk("data: [DONE]\n\n");
}

std::string fake_engine::expectedToken(const std::string &prompt, std::uint32_t index)
{
    return prompt + '/' + std::to_string(index) + ' ';
}

std::string fake_engine::expectedText(const std::string &prompt, std::uint32_t tokens)
{
    std::string response;
    for (std::uint32_t index = 0; index < tokens; ++index)
        response += expectedToken(prompt, index);
    return response;
}

} // namespace quetzalcleat::tests
