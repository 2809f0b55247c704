#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::http {

struct header
{
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// Value of the first header with this name, ignoring case.
std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name);

/// Number of headers with this name, ignoring case.
std::size_t countHeader(const header_list &headers, std::string_view name);

/// A complete request from a caller or an operator.
struct caller_request
{
    std::string method;
    std::string path;
    std::string query;
    header_list headers;
    std::string body;
};

/// Status and headers of a response.
struct response_head
{
    std::uint16_t status = 0;
    header_list headers;
};

} // namespace quetzalcleat::http
