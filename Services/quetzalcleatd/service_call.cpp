#include "quetzalcleatd/service_call.h"

#include "LibCore/hash.h"
#include "LibCore/text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <span>

namespace quetzalcleat::daemon {

namespace {

constexpr std::string_view prefix = "/services/";

error_response invalidPath()
{
    return {error_type::InvalidRequest,
            "path has empty, dot or unnecessarily encoded segments",
            false,
            call_outcome::NotRun,
            {}};
}

std::optional<unsigned char> decodeHex(std::string_view digits)
{
    if (digits.size() < 2 || !std::isxdigit(static_cast<unsigned char>(digits[0]))
        || !std::isxdigit(static_cast<unsigned char>(digits[1])))
        return std::nullopt;
    return static_cast<unsigned char>(std::stoi(std::string(digits.substr(0, 2)), nullptr, 16));
}

/// Whether some servers might treat a path with this encoded character as another path.
bool isAmbiguous(unsigned char decoded)
{
    return std::isalnum(decoded) || decoded < ' ' || decoded == 0x7f
        || std::string_view("-._~/\\;?%").find(static_cast<char>(decoded))
        != std::string_view::npos;
}

bool isUnambiguousPath(std::string_view path)
{
    for (std::size_t position = 0; position < path.size(); ++position) {
        const char character = path[position];
        if (character == '\\' || character == ';')
            return false;
        if (character != '%')
            continue;
        const auto decoded = decodeHex(path.substr(position + 1));
        if (!decoded || isAmbiguous(*decoded))
            return false;
    }
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        const auto segment = path.substr(begin, end - begin);
        const bool last = end == path.size();
        if (segment == "." || segment == ".." || (segment.empty() && !last))
            return false;
        begin = end + 1;
    }
    return true;
}

bool isOneOf(std::string_view name, std::span<const std::string_view> names)
{
    return std::ranges::any_of(
        names, [name](std::string_view other) { return core::equalsIgnoringCase(name, other); });
}

// Hop-by-hop headers (RFC 9110, section 7.6.1) and those that the router sets itself.
constexpr std::array<std::string_view, 15> unforwardedHeaders{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length",
                                                              "Host",
                                                              "Expect",
                                                              "Authorization",
                                                              "X-Request-Id",
                                                              "X-Caller",
                                                              "Proxy-Connection"};

} // namespace

std::variant<service_call, error_response> parseServiceCall(const http::caller_request &request)
{
    std::string_view rest(request.path);
    if (!rest.starts_with(prefix))
        return error_response{
            error_type::NotFound, "no such path", false, call_outcome::NotRun, {}};
    rest.remove_prefix(prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    service_call call;
    call.service = rest.substr(0, slash);
    call.path = slash == rest.size() ? "/" : std::string(rest.substr(slash));
    if (!isUnambiguousPath(call.path))
        return invalidPath();
    call.target = request.query.empty() ? call.path : call.path + '?' + request.query;
    call.bodyHash
        = core::sha256Hex(request.method + '\n' + call.service + call.target + '\n' + request.body);
    return call;
}

http::header_list headersForService(const http::header_list &headers, std::string_view requestId,
                                    std::string_view account)
{
    http::header_list forwarded;
    for (const auto &field : headers) {
        if (!isOneOf(field.name, unforwardedHeaders))
            forwarded.push_back(field);
    }
    forwarded.push_back({"X-Request-Id", std::string(requestId)});
    forwarded.push_back({"X-Caller", std::string(account)});
    return forwarded;
}

http::header_list headersForCaller(const http::header_list &headers, std::string_view requestId)
{
    http::header_list forwarded;
    for (const auto &field : headers) {
        if (!isOneOf(field.name, unforwardedHeaders))
            forwarded.push_back(field);
    }
    forwarded.push_back({"X-Request-Id", std::string(requestId)});
    return forwarded;
}

} // namespace quetzalcleat::daemon
