#include "LibForward/forward_error.h"

#include "LibCore/response_error.h"

#include <asio/error.hpp>

namespace quetzalcleat::forward {

namespace {

class forward_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "forward"; }

    std::string message(int value) const override
    {
        switch (static_cast<forward_error>(value)) {
        case forward_error::Malformed:
            return "the document cannot be read";
        case forward_error::UnknownService:
            return "a route names an unknown service";
        case forward_error::DuplicateRoute:
            return "two routes share host and path prefix";
        case forward_error::NoWeight:
            return "the weights of a route add up to 0";
        case forward_error::NoTimeout:
            return "a route has a timeout of 0";
        case forward_error::SharedKey:
            return "two client accounts share a key";
        case forward_error::MissingField:
            return "a field is missing";
        case forward_error::BadField:
            return "a field has the wrong type or an impossible value";
        case forward_error::BadMessage:
            return "the bytes are not an HTTP message";
        case forward_error::HeaderTooLarge:
            return "the header is too large";
        case forward_error::TooManyExtraBytes:
            return "too many bytes that are not part of an answer";
        case forward_error::ConnectTimeout:
            return "no connection within the time allowed";
        case forward_error::ConnectionClosed:
            return "the peer closed the connection early";
        case forward_error::EndpointGone:
            return "the peer closed the connection and no longer runs";
        case forward_error::ListenFailed:
            return "cannot listen";
        }
        return "unknown error";
    }
};

} // namespace

std::error_code make_error_code(forward_error error)
{
    static const forward_category category;
    return {static_cast<int>(error), category};
}

std::string_view brokenAnswerReason(std::error_code error)
{
    if (error.category() == core::responseCategory())
        return core::toString(static_cast<core::response_error>(error.value()));
    if (error == forward_error::BadMessage)
        return "message";
    if (error == forward_error::HeaderTooLarge)
        return "head_size";
    if (error == forward_error::TooManyExtraBytes)
        return "extra_bytes";
    if (error == forward_error::ConnectionClosed)
        return "closed";
    if (error == forward_error::EndpointGone)
        return "endpoint_gone";
    if (error == asio::error::connection_reset)
        return "reset";
    return error.category() == asio::error::get_system_category() ? "connection" : "other";
}

} // namespace quetzalcleat::forward
