#include "LibCore/response_error.h"

#include <string>

namespace quetzalcleat::core {

namespace {

class response_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "response"; }

    std::string message(int value) const override
    {
        switch (static_cast<response_error>(value)) {
        case response_error::StatusLine:
            return "the answer has an invalid status line";
        case response_error::FieldLine:
            return "the answer has an invalid field line";
        case response_error::Length:
            return "the answer has an invalid length";
        case response_error::TransferCoding:
            return "the answer has an unknown transfer coding";
        case response_error::Chunk:
            return "the answer has an invalid chunk";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &responseCategory()
{
    static const response_category category;
    return category;
}

std::error_code make_error_code(response_error error)
{
    return {static_cast<int>(error), responseCategory()};
}

std::string_view toString(response_error error)
{
    switch (error) {
    case response_error::StatusLine:
        return "status_line";
    case response_error::FieldLine:
        return "field_line";
    case response_error::Length:
        return "length";
    case response_error::TransferCoding:
        return "transfer_coding";
    case response_error::Chunk:
        return "chunk";
    }
    return "unknown";
}

} // namespace quetzalcleat::core
