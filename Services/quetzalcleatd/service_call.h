#pragma once

#include "LibHttp/endpoint_client.h"
#include "LibHttp/message.h"
#include "quetzalcleatd/error_response.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace quetzalcleat::daemon {

/// A call to a plain service, parsed from a request.
struct service_call
{
    std::string service;
    std::string path; ///< Relative to /services/NAME; starts with a slash.
    std::string target; ///< Path and query.
    std::string bodyHash; ///< SHA-256 of method, service, target and body.
};

/// Parses a request under /services/. Refuses paths that a service might interpret differently from
/// the rules for non-repeatable calls: empty and dot segments, needlessly encoded characters,
/// backslashes and ';'.
std::variant<service_call, error_response> parseServiceCall(const http::caller_request &request);

/// The headers of a caller's request to forward to the service.
http::header_list headersForService(const http::header_list &headers, std::string_view requestId,
                                    std::string_view account);

/// The headers of a service's response to forward to the caller.
http::header_list headersForCaller(const http::header_list &headers, std::string_view requestId);

} // namespace quetzalcleat::daemon
