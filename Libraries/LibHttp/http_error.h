#pragma once

#include <string_view>
#include <system_error>

namespace quetzalcleat::http {

/// Reason for which a transfer, a stream or an exchange failed.
enum class http_error {
    ConnectFailed = 1, ///< No byte of the request was sent.
    ConnectTimeout, ///< No byte of the request was sent.
    FirstByteTimeout,
    ProgressTimeout,
    ConnectionBroken, ///< Closed or reset before the response was complete.
    InvalidResponse,
    OtherRequest, ///< The response does not name the request it should answer.
    HeadTooLarge, ///< Larger than maximumHeadBytes.
    BodyTooLarge, ///< Abandoned by the receiver.
    Cancelled,
    EventTooLarge,
    Withdrawn, ///< The sender no longer wanted it; no byte of the request was sent.
    CallerGone, ///< The caller closed its connection or stopped reading.
};

const std::error_category &httpCategory();
std::error_code make_error_code(http_error error);

/// Why an answer broke, as a name for the labels of metrics; empty if the error is no broken
/// answer.
std::string_view brokenAnswerReason(std::error_code error);

} // namespace quetzalcleat::http

template <>
struct std::is_error_code_enum<quetzalcleat::http::http_error> : std::true_type
{
};
