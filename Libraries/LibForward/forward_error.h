#pragma once

#include <string_view>
#include <system_error>

namespace quetzalcleat::forward {

enum class forward_error {
    Malformed = 1, ///< The document cannot be parsed.
    UnknownService, ///< A route refers to a service that is not in the document.
    DuplicateRoute, ///< Two routes have the same host and path prefix.
    NoWeight, ///< The weights of a route add up to 0.
    NoTimeout, ///< A route has a timeout of 0.
    SharedKey, ///< Two client accounts hold the same key.
    MissingField,
    BadField,
    BadMessage, ///< Bytes that are not HTTP.
    HeaderTooLarge,
    TooManyExtraBytes, ///< Bytes that belong to no message body exceed the bound.
    ConnectTimeout,
    ConnectionClosed, ///< The peer closed before its message was complete.
    EndpointGone, ///< The message may be incomplete: the peer closed and takes no connections.
    ListenFailed,
};

std::error_code make_error_code(forward_error error);

/// Why an answer broke, as a name for the labels of metrics.
std::string_view brokenAnswerReason(std::error_code error);

} // namespace quetzalcleat::forward

template <>
struct std::is_error_code_enum<quetzalcleat::forward::forward_error> : std::true_type
{
};
