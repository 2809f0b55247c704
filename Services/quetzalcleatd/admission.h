#pragma once

#include "LibHttp/message.h"
#include "quetzalcleatd/error_response.h"
#include "quetzalcleatd/routing_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalcleat::daemon {

/// The authenticated client account of a request and the idempotency key of the request.
struct request_identity
{
    policy::account_id account;
    std::string accountName;
    std::string idempotencyKey; ///< Empty if the request has none.
};

/// The X-Request-Id header if it is valid, otherwise a new id.
std::string requestIdOf(const http::header_list &headers);

/// Generates a random id that is unique in the fleet.
std::string newRequestId();

/// Validates the headers common to all requests of callers and authenticates the caller.
std::variant<request_identity, error_response> admit(const http::caller_request &request,
                                                     const routing_table &routing);

/// The class named by X-Request-Class, otherwise the one selected by the class rules.
std::variant<policy::class_id, error_response> classify(const http::header_list &headers,
                                                        const routing_table &routing,
                                                        policy::account_id account,
                                                        class_query query);

/// The token of an "Authorization: Bearer" header.
std::optional<std::string_view> bearerToken(const http::header_list &headers);

} // namespace quetzalcleat::daemon
