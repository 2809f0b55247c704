#pragma once

#include "LibCore/text.h"

#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::forward {

struct header_field
{
    std::string name;
    std::string value;
};

using core::equalsIgnoringCase;
using core::parseNumber;

/// Whether a comma-separated header value contains the token.
bool containsToken(std::string_view value, std::string_view token);

/// First line and headers of a request or a response.
struct http_head
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only; as received.
    int status = 0; ///< Responses only.
    std::string reason; ///< Responses only.
    std::vector<header_field> headers;

    /// The value of the first header with this name, or an empty text.
    std::string_view value(std::string_view name) const;
    bool has(std::string_view name) const;
    void remove(std::string_view name);
    void set(std::string_view name, std::string value);
    std::string_view path() const; ///< The target without its query.

    /// The first line and all headers, without the empty line that ends them.
    std::string requestText() const;
    std::string responseText() const;
};

/// Whether a header applies to a single connection and is not forwarded (RFC 9110, 7.6.1).
/// `connection` is the value of the Connection header, which may list further ones.
bool isHopByHop(std::string_view name, std::string_view connection);
void removeHopByHop(http_head &head);

} // namespace quetzalcleat::forward
