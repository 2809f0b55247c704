#pragma once

#include <system_error>

namespace quetzalcleat::tool {

/// Failures of the operators' tool itself. A host refuses a request by its HTTP answer.
enum class tool_error {
    Unreachable = 1, ///< No connection to any host.
    AnswerLost, ///< The request may have been processed; the answer did not arrive.
    AnswerTooLarge,
    InvalidAnswer, ///< Not in the JSON format of the operator API.
    FileUnreadable,
    FileTooLarge,
    MissingKey,
    InvalidKey,
};

const std::error_category &toolCategory();
std::error_code make_error_code(tool_error error);

} // namespace quetzalcleat::tool

template <>
struct std::is_error_code_enum<quetzalcleat::tool::tool_error> : std::true_type
{
};
