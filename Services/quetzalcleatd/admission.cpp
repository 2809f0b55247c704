#include "quetzalcleatd/admission.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace quetzalcleat::daemon {

namespace {

constexpr std::size_t maximumIdBytes = 128;
constexpr std::size_t maximumKeyBytes = 255;
constexpr std::size_t newIdBytes = 16;

bool isIdCharacter(unsigned char character)
{
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.'
        || character == ':';
}

bool isPrintable(unsigned char character)
{
    return character > ' ' && character < 0x7f;
}

bool isValidId(std::string_view id)
{
    return !id.empty() && id.size() <= maximumIdBytes && std::ranges::all_of(id, isIdCharacter);
}

error_response invalid(std::string message)
{
    return {error_type::InvalidRequest, std::move(message), false, call_outcome::NotRun, {}};
}

} // namespace

std::string newRequestId()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id;
    for (const unsigned char byte : core::secureRandomBytes(newIdBytes)) {
        id.push_back(digits[byte >> 4U]);
        id.push_back(digits[byte & 0xfU]);
    }
    return id;
}

std::string requestIdOf(const http::header_list &headers)
{
    const auto given = http::findHeader(headers, "X-Request-Id");
    return given && isValidId(*given) ? std::string(*given) : newRequestId();
}

std::optional<std::string_view> bearerToken(const http::header_list &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = http::findHeader(headers, "Authorization");
    if (!value || !value->starts_with(scheme) || value->size() == scheme.size())
        return std::nullopt;
    return value->substr(scheme.size());
}

std::variant<request_identity, error_response> admit(const http::caller_request &request,
                                                     const routing_table &routing)
{
    constexpr std::array singleHeaders{"Authorization", "Idempotency-Key", "X-Request-Id",
                                       "X-Request-Class", "Content-Type"};
    for (const auto *name : singleHeaders) {
        if (http::countHeader(request.headers, name) > 1)
            return invalid(std::string("header ") + name + " is given more than once");
    }
    const auto token = bearerToken(request.headers);
    const auto account = token ? routing.accountOfToken(*token) : std::nullopt;
    if (!account)
        return error_response{
            error_type::Unauthorized, "not authorised", false, call_outcome::NotRun, {}};
    const auto id = http::findHeader(request.headers, "X-Request-Id");
    if (id && !isValidId(*id))
        return invalid("X-Request-Id must be 1 to 128 letters, digits or any of -_.:");
    const auto key = http::findHeader(request.headers, "Idempotency-Key");
    if (key
        && (key->empty() || key->size() > maximumKeyBytes
            || !std::ranges::all_of(*key, isPrintable)))
        return invalid("Idempotency-Key must be 1 to 255 visible ASCII characters");
    if (request.body.size() > http::maximumRequestBytes)
        return error_response{error_type::TooLarge,
                              "request body is larger than 4 MiB",
                              false,
                              call_outcome::NotRun,
                              {}};
    return request_identity{*account, routing.document().accounts[account->value].name,
                            std::string(key.value_or(std::string_view()))};
}

std::variant<policy::class_id, error_response> classify(const http::header_list &headers,
                                                        const routing_table &routing,
                                                        policy::account_id account,
                                                        class_query query)
{
    query.account = routing.document().accounts[account.value].name;
    const auto named = http::findHeader(headers, "X-Request-Class");
    if (!named)
        return routing.classFor(account, query);
    const auto found = routing.classNamed(*named);
    if (!found)
        return error_response{error_type::UnknownClass,
                              "no class has the name in X-Request-Class",
                              false,
                              call_outcome::NotRun,
                              {}};
    return *found;
}

} // namespace quetzalcleat::daemon
