#include "LibHttp/http_error.h"

#include "LibCore/response_error.h"

#include <string>

namespace quetzalcleat::http {

namespace {

class http_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "http"; }

    std::string message(int value) const override
    {
        switch (static_cast<http_error>(value)) {
        case http_error::ConnectFailed:
            return "connection failed";
        case http_error::ConnectTimeout:
            return "connection timed out";
        case http_error::FirstByteTimeout:
            return "no answer in time";
        case http_error::ProgressTimeout:
            return "answer stopped, or took too long";
        case http_error::ConnectionBroken:
            return "connection broke before the answer was whole";
        case http_error::InvalidResponse:
            return "answer is not valid HTTP";
        case http_error::OtherRequest:
            return "answer does not name this request";
        case http_error::HeadTooLarge:
            return "head, interim responses or trailers of the answer are larger than allowed";
        case http_error::BodyTooLarge:
            return "body of the answer is larger than allowed";
        case http_error::Cancelled:
            return "cancelled";
        case http_error::EventTooLarge:
            return "event of a stream is larger than allowed";
        case http_error::Withdrawn:
            return "withdrawn before it was sent";
        case http_error::CallerGone:
            return "caller closed its connection or stopped reading";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &httpCategory()
{
    static const http_category category;
    return category;
}

std::error_code make_error_code(http_error error)
{
    return {static_cast<int>(error), httpCategory()};
}

std::string_view brokenAnswerReason(std::error_code error)
{
    if (error.category() == core::responseCategory())
        return core::toString(static_cast<core::response_error>(error.value()));
    if (error == http_error::InvalidResponse)
        return "message";
    if (error == http_error::OtherRequest)
        return "other_request";
    if (error == http_error::HeadTooLarge)
        return "head_size";
    return error == http_error::ConnectionBroken ? "connection" : "";
}

} // namespace quetzalcleat::http
