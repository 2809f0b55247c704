#pragma once

#include "LibHttp/caller_server.h"
#include "LibHttp/message.h"
#include "LibPolicy/policy_types.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace quetzalcleat::daemon {

/// What is known about the execution of a call that failed with an error.
enum class call_outcome {
    NotRun, ///< No attempt has run or will run.
    Undecided, ///< Another host may have run it or may run it; the same key may be sent again.
    Unknown, ///< It may have run.
    Done, ///< It ran.
};

enum class error_type {
    InvalidRequest,
    Unauthorized,
    NotFound,
    TooLarge,
    UnknownClass,
    RateLimited,
    QueueFull,
    Shed,
    DeadlineExceeded,
    NoEndpoint,
    NotReady, ///< No configuration is in force yet.
    Stopping, ///< The process stops before the request could complete.
    EndpointFailed,
    EndpointRejected, ///< The endpoint reports that the request is invalid.
    EndpointTimeout,
    StreamBroken,
    InProgress,
    OutcomeUnknown,
    KeyClosed,
    KeyReused,
    LedgerUnavailable,
    AnswerTooLarge,
    AnswerNotKept,
    Conflict,
};

struct error_response
{
    error_type type = error_type::InvalidRequest;
    std::string message;
    bool retryable = false;
    call_outcome outcome = call_outcome::NotRun;
    std::chrono::milliseconds retryAfter{0};
};

/// The HTTP status for a type of error.
std::uint16_t statusOf(error_type type);
std::string_view nameOf(error_type type);

/// The JSON body of the error.
std::string toJson(const error_response &error, std::string_view requestId);

/// Sends the error; adds Retry-After to 429, 503 and InProgress.
void sendError(http::caller_exchange &exchange, const error_response &error,
               std::string_view requestId);

/// The error for a refusal by policy::decision_core::submit().
error_response fromRefusal(std::error_code refusal, std::chrono::milliseconds retryAfter);

/// The error for a queued request that a Shed or Expire decision ends.
error_response fromDecision(const policy::decision &decision, call_outcome outcome);

/// The error for a request that starts, or is still running, at the end of a planned stop.
error_response stoppingError(call_outcome outcome);

/// Changes the outcome NotRun to Undecided: only the ledger knows whether another host has run a
/// call with the same key.
error_response forKeyedCall(error_response error);

} // namespace quetzalcleat::daemon
