#pragma once

#include <string_view>
#include <system_error>

namespace quetzalcleat::core {

/// Why bytes are no response of HTTP/1.1 (RFC 9110, RFC 9112).
enum class response_error {
    StatusLine = 1,
    FieldLine,
    Length, ///< Content-Length is no single number, or stands beside Transfer-Encoding.
    TransferCoding, ///< Another one than chunked, which is the only one that was offered.
    Chunk,
};

const std::error_category &responseCategory();
std::error_code make_error_code(response_error error);

/// Name for the labels of metrics.
std::string_view toString(response_error error);

} // namespace quetzalcleat::core

template <>
struct std::is_error_code_enum<quetzalcleat::core::response_error> : std::true_type
{
};
