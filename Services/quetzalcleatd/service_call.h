#pragma once

#include "LibHttp/endpoint_client.h"
#include "LibHttp/message.h"
#include "quetzalcleatd/error_answer.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalcleat::daemon {

/// A call to a plain service, taken from the target of a request.
struct service_call
{
    std::string service;
    std::string path; ///< After /services/NAME; starts with a slash.
    std::string target; ///< The path with its query.
    std::string bodyHash; ///< SHA-256 over method, target and body.
};

/// Parses a request under /services/. Paths that a service might read in another way than the
/// rules for non-repeatable calls do (empty and dot segments, encoded characters that need no
/// encoding, backslashes, ';') are refused.
std::variant<service_call, error_answer> parseServiceCall(const http::caller_request &request);

/// The headers of a caller's request that a service gets.
http::header_list headersForService(const http::header_list &headers, std::string_view requestId,
                                    std::string_view caller);

/// The headers of a service's answer that the caller gets.
http::header_list headersForCaller(const http::header_list &headers, std::string_view requestId);

} // namespace quetzalcleat::daemon
