#pragma once

#include "LibHttp/message.h"
#include "quetzalcleatd/error_answer.h"
#include "quetzalcleatd/routing_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalcleat::daemon {

/// Who sent a request and under which names.
struct admission
{
    policy::caller_id caller;
    std::string callerName;
    std::string idempotencyKey; ///< Empty if the request has none.
};

/// The caller's X-Request-Id if it is one token of at most 128 characters, else a new one.
std::string requestIdOf(const http::header_list &headers);

/// A new id that is unique in the fleet.
std::string newRequestId();

/// Checks the headers that every call to a caller address has and identifies the caller.
std::variant<admission, error_answer> admit(const http::caller_request &request,
                                            const routing_table &routing);

/// The class that X-Request-Class names, else the one by rule.
std::variant<policy::class_id, error_answer> classify(const http::header_list &headers,
                                                      const routing_table &routing,
                                                      policy::caller_id caller, class_query query);

/// The token of an "Authorization: Bearer" header.
std::optional<std::string_view> bearerToken(const http::header_list &headers);

} // namespace quetzalcleat::daemon
