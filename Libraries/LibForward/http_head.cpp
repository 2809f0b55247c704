#include "LibForward/http_head.h"

#include <algorithm>
#include <array>

namespace quetzalcleat::forward {

bool containsToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const auto comma = value.find(',');
        if (equalsIgnoringCase(core::withoutBlanks(value.substr(0, comma)), token))
            return true;
        if (comma == std::string_view::npos)
            return false;
        value.remove_prefix(comma + 1);
    }
    return false;
}

std::string_view http_head::value(std::string_view name) const
{
    for (const auto &field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

bool http_head::has(std::string_view name) const
{
    return std::any_of(headers.begin(), headers.end(), [&](const header_field &field) {
        return equalsIgnoringCase(field.name, name);
    });
}

void http_head::remove(std::string_view name)
{
    std::erase_if(headers,
                  [&](const header_field &field) { return equalsIgnoringCase(field.name, name); });
}

void http_head::set(std::string_view name, std::string value)
{
    remove(name);
    headers.push_back({std::string(name), std::move(value)});
}

std::string_view http_head::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

namespace {

void appendHeaders(std::string &text, const std::vector<header_field> &headers)
{
    for (const auto &field : headers)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
}

} // namespace

std::string http_head::requestText() const
{
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    appendHeaders(text, headers);
    return text;
}

std::string http_head::responseText() const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' '
        + (reason.empty() ? "Answer" : reason) + "\r\n";
    appendHeaders(text, headers);
    return text;
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    constexpr std::array<std::string_view, 9> names{
        "Connection",          "Keep-Alive", "Proxy-Connection",
        "Proxy-Authorization", "TE",         "Trailer",
        "Transfer-Encoding",   "Upgrade",    "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return equalsIgnoringCase(name, known); })
        || containsToken(connection, name);
}

void removeHopByHop(http_head &head)
{
    const std::string connection(head.value("Connection"));
    std::erase_if(head.headers,
                  [&](const header_field &field) { return isHopByHop(field.name, connection); });
}

} // namespace quetzalcleat::forward
