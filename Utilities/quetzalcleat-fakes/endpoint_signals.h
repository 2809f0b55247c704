#pragma once

#include "LibHttp/caller_server.h"

#include <chrono>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace quetzalcleat::fakes {

/// What an endpoint says of itself in its responses, beside the responses themselves.
struct endpoint_signals
{
    bool saysLeaving = false; ///< All responses carry `Endpoint-Leaving: 1`.
    /// If not 0, work is refused with 503 and this time as `Retry-After`.
    std::chrono::milliseconds refusalWait{0};

    /// Applies `says_leaving` and `refusal_wait_ms` of a call to `POST /faults`.
    void apply(const nlohmann::json &body);
};

/// Returns an exchange that adds the signals to the response.
std::shared_ptr<http::caller_exchange> withSignals(std::shared_ptr<http::caller_exchange> exchange,
                                                   std::shared_ptr<const endpoint_signals> signals);

/// Refuses work as not run.
void refuse(http::caller_exchange &exchange, const endpoint_signals &signals);

} // namespace quetzalcleat::fakes
