#include "quetzalcleatd/error_response.h"

#include "LibPolicy/policy_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalcleat::daemon {

namespace {

struct type_description
{
    std::uint16_t status;
    std::string_view name;
};

type_description describe(error_type type)
{
    switch (type) {
    case error_type::InvalidRequest:
        return {400, "invalid_request"};
    case error_type::Unauthorized:
        return {401, "unauthorized"};
    case error_type::NotFound:
        return {404, "not_found"};
    case error_type::TooLarge:
        return {413, "request_too_large"};
    case error_type::UnknownClass:
        return {400, "unknown_class"};
    case error_type::RateLimited:
        return {429, "rate_limited"};
    case error_type::QueueFull:
        return {503, "queue_full"};
    case error_type::Shed:
        return {503, "shed"};
    case error_type::DeadlineExceeded:
        return {503, "deadline_exceeded"};
    case error_type::NoEndpoint:
        return {503, "no_endpoint"};
    case error_type::NotReady:
        return {503, "not_ready"};
    case error_type::Stopping:
        return {503, "stopping"};
    case error_type::EndpointFailed:
        return {502, "endpoint_failed"};
    case error_type::EndpointRejected:
        return {400, "endpoint_rejected"};
    case error_type::EndpointTimeout:
        return {504, "endpoint_timeout"};
    case error_type::StreamBroken:
        return {502, "stream_broken"};
    case error_type::InProgress:
        return {409, "in_progress"};
    case error_type::OutcomeUnknown:
        return {409, "outcome_unknown"};
    case error_type::KeyClosed:
        return {409, "key_closed"};
    case error_type::KeyReused:
        return {422, "key_reused"};
    case error_type::LedgerUnavailable:
        return {503, "ledger_unavailable"};
    case error_type::AnswerTooLarge:
        return {502, "answer_too_large"};
    case error_type::AnswerNotKept:
        return {409, "answer_not_kept"};
    case error_type::Conflict:
        return {409, "conflict"};
    }
    return {500, "internal_error"};
}

std::string_view nameOf(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::NotRun:
        return "not_run";
    case call_outcome::Undecided:
        return "undecided";
    case call_outcome::Unknown:
        return "unknown";
    case call_outcome::Done:
        return "done";
    }
    return "unknown";
}

bool needsRetryAfter(error_type type)
{
    const auto status = statusOf(type);
    return status == 429 || status == 503 || type == error_type::InProgress;
}

} // namespace

std::uint16_t statusOf(error_type type)
{
    return describe(type).status;
}

std::string_view nameOf(error_type type)
{
    return describe(type).name;
}

std::string toJson(const error_response &error, std::string_view requestId)
{
    const nlohmann::json content{{"error",
                                  {{"type", describe(error.type).name},
                                   {"message", error.message},
                                   {"retryable", error.retryable},
                                   {"outcome", nameOf(error.outcome)},
                                   {"request_id", requestId}}}};
    return content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendError(http::caller_exchange &exchange, const error_response &error,
               std::string_view requestId)
{
    http::response_head head{statusOf(error.type), {{"Content-Type", "application/json"}}};
    if (!requestId.empty())
        head.headers.push_back({"X-Request-Id", std::string(requestId)});
    if (needsRetryAfter(error.type)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count();
        head.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    exchange.respond(std::move(head), toJson(error, requestId));
}

error_response fromRefusal(std::error_code refusal, std::chrono::milliseconds retryAfter)
{
    error_response response{error_type::QueueFull, refusal.message(), true, call_outcome::NotRun,
                            retryAfter};
    if (refusal.category() != policy::policyCategory())
        return response;
    switch (static_cast<policy::policy_error>(refusal.value())) {
    case policy::policy_error::UnknownAccount:
    case policy::policy_error::UnknownClass:
        // The configuration changed between authentication and submission.
        response.type = error_type::NotReady;
        break;
    case policy::policy_error::NoEndpoint:
    case policy::policy_error::EndpointsHeldOff:
        response.type = error_type::NoEndpoint;
        break;
    case policy::policy_error::QueueFull:
        break;
    case policy::policy_error::DeadlineUnreachable:
        response.type = error_type::DeadlineExceeded;
        break;
    default:
        response.type = error_type::RateLimited;
        break;
    }
    return response;
}

error_response fromDecision(const policy::decision &decision, call_outcome outcome)
{
    error_response response{error_type::DeadlineExceeded,
                            "request could not be answered before its deadline", true, outcome,
                            decision.retryAfter};
    if (decision.kind == policy::decision_kind::Shed) {
        response.type = error_type::Shed;
        response.message = "request gave way to one of a higher tier";
    } else if (decision.reason == policy::decision_reason::EndpointsHeldOff) {
        response.type = error_type::NoEndpoint;
        response.message = "endpoints want no request yet";
    }
    return response;
}

error_response stoppingError(call_outcome outcome)
{
    return {error_type::Stopping, "the host stops before the request could complete", true, outcome,
            std::chrono::seconds(1)};
}

error_response forKeyedCall(error_response error)
{
    if (error.outcome == call_outcome::NotRun)
        error.outcome = call_outcome::Undecided;
    return error;
}

} // namespace quetzalcleat::daemon
