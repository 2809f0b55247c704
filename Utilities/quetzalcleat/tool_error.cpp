#include "quetzalcleat/tool_error.h"

#include <string>

namespace quetzalcleat::tool {

namespace {

class tool_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "tool"; }

    std::string message(int value) const override
    {
        switch (static_cast<tool_error>(value)) {
        case tool_error::Unreachable:
            return "host cannot be reached";
        case tool_error::AnswerLost:
            return "no complete answer arrived; the request may have been processed";
        case tool_error::AnswerTooLarge:
            return "answer is larger than allowed";
        case tool_error::InvalidAnswer:
            return "answer is not in the format of the operator API";
        case tool_error::FileUnreadable:
            return "file cannot be read";
        case tool_error::FileTooLarge:
            return "file is larger than allowed";
        case tool_error::MissingKey:
            return "no operator key: use --key-file or set QUETZALCLEAT_OPERATOR_KEY";
        case tool_error::InvalidKey:
            return "operator key must be one line of printable ASCII characters";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &toolCategory()
{
    static const tool_category category;
    return category;
}

std::error_code make_error_code(tool_error error)
{
    return {static_cast<int>(error), toolCategory()};
}

} // namespace quetzalcleat::tool
