#include "fleet_call.h"

#include "LibFakes/generated_text.h"

#include <nlohmann/json.hpp>

namespace quetzalcleat::experiment {

namespace {

constexpr std::size_t maximumEventBytes = 64 * 1024;
constexpr std::uint32_t gapSamplingStep = 5;

std::string expectedAnswer(const fleet_request &request)
{
    std::string answer;
    for (std::uint32_t index = 0; index < request.outputTokens; ++index)
        answer += fakes::generatedToken(request.prompt, index);
    return answer;
}

std::string errorTypeOf(const nlohmann::json &body)
{
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return {};
    return body["error"].value("type", "");
}

} // namespace

fleet_call::fleet_call(http::endpoint_client &client, fleet_request request, end_callback onEnd)
    : m_client(client), m_request(std::move(request)), m_onEnd(std::move(onEnd)),
      m_parser(maximumEventBytes)
{
}

void fleet_call::start()
{
    m_sentAt = std::chrono::steady_clock::now();
    const auto self = shared_from_this();
    m_client.start(makeRequest(),
                   {[self](const http::response_head &head) { self->onHead(head); },
                    [self](std::string_view chunk) { self->onBody(chunk); },
                    [self](const http::transfer_result &end) { self->onEnd(end); }});
}

http::endpoint_request fleet_call::makeRequest() const
{
    http::endpoint_request request;
    request.method = "POST";
    request.address = m_request.address;
    request.headers = {{"X-Request-Id", m_request.requestId}, {"Content-Type", "application/json"}};
    if (!m_request.token.empty())
        request.headers.push_back({"Authorization", "Bearer " + m_request.token});
    if (!m_request.requestClass.empty())
        request.headers.push_back({"X-Request-Class", m_request.requestClass});
    request.timeouts.firstByte = m_request.deadline;
    request.timeouts.progress = m_request.deadline;
    if (m_request.model.empty()) {
        request.target = "/services/" + m_request.service + "/bookings";
        request.body = m_request.prompt;
        if (!m_request.idempotencyKey.empty())
            request.headers.push_back({"Idempotency-Key", m_request.idempotencyKey});
        request.sendOnce = true;
        return request;
    }
    request.target = "/v1/completions";
    request.body = nlohmann::json{
        {"model", m_request.model},
        {"prompt", m_request.prompt},
        {"max_tokens", m_request.maximumTokens},
        {"min_tokens", m_request.outputTokens},
        {"stream",
         true}}.dump();
    return request;
}

void fleet_call::onHead(const http::response_head &head)
{
    m_measurement.status = head.status;
}

void fleet_call::onBody(std::string_view chunk)
{
    if (m_measurement.status != 200 || m_request.model.empty()) {
        m_body.append(chunk);
        return;
    }
    const auto parsed = m_parser.consume(chunk, [this](std::string_view data) {
        onToken(data);
        return true;
    });
    if (!parsed)
        m_invalidEvent = true;
}

void fleet_call::onToken(std::string_view data)
{
    if (data == "[DONE]") {
        m_sawDone = true;
        return;
    }
    const auto event = nlohmann::json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("text") || !event["text"].is_string()) {
        m_invalidEvent = true;
        m_measurement.errorType = errorTypeOf(event);
        return;
    }
    const auto now = std::chrono::steady_clock::now() - m_sentAt;
    if (m_measurement.tokens == 0)
        m_measurement.firstToken = now;
    else if (m_measurement.tokens % gapSamplingStep == 0)
        m_measurement.gaps.push_back(now - m_measurement.lastToken);
    m_measurement.lastToken = now;
    ++m_measurement.tokens;
    m_text += event["text"].get<std::string>();
}

void fleet_call::onEnd(const http::transfer_result &end)
{
    m_measurement.outcome = classify(end);
    if (m_measurement.errorType.empty() && m_measurement.outcome != fleet_outcome::Correct)
        m_measurement.errorType = errorTypeOf(nlohmann::json::parse(m_body, nullptr, false));
    m_onEnd(m_request, m_measurement);
}

fleet_outcome fleet_call::classify(const http::transfer_result &end) const
{
    if (m_measurement.status != 200 && m_measurement.tokens == 0)
        return fleet_outcome::Refused;
    if (m_request.model.empty())
        return end.error ? fleet_outcome::Broken : fleet_outcome::Correct;
    const bool complete = m_sawDone && !m_invalidEvent && !end.error;
    if (!complete)
        return m_text == expectedAnswer(m_request).substr(0, m_text.size()) ? fleet_outcome::Broken
                                                                            : fleet_outcome::Wrong;
    return m_text == expectedAnswer(m_request) ? fleet_outcome::Correct : fleet_outcome::Wrong;
}

} // namespace quetzalcleat::experiment
