#pragma once

#include "LibHttp/caller_server.h"
#include "LibHttp/message.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace quetzalcleat::daemon {

/// What became of the call that is answered with an error.
enum class call_outcome {
    NotRun, ///< No attempt has run or can ever run.
    Undecided, ///< Another host may have run or may run it; the same key may be sent again.
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
    EndpointFailed,
    EndpointRejected, ///< The endpoint found the request invalid.
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

struct error_answer
{
    error_type type = error_type::InvalidRequest;
    std::string message;
    bool retryable = false;
    call_outcome outcome = call_outcome::NotRun;
    std::chrono::milliseconds retryAfter{0};
};

/// HTTP status that goes with a type of error.
std::uint16_t statusOf(error_type type);
std::string_view nameOf(error_type type);

/// The error as JSON, in the shape of section 2.1 of the design page.
std::string toJson(const error_answer &error, std::string_view requestId);

/// Answers with the error; 429 and 503 get a Retry-After.
void sendError(http::caller_exchange &exchange, const error_answer &error,
               std::string_view requestId);

/// The answer to a refusal by policy::decision_core::submit().
error_answer fromRefusal(std::error_code refusal, std::chrono::milliseconds retryAfter);

/// Without a word from the ledger nobody knows whether another host has run a call with this key.
error_answer withKey(error_answer error);

} // namespace quetzalcleat::daemon
