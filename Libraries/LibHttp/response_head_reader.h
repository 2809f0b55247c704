#pragma once

#include "LibCore/response_syntax.h"
#include "LibCore/result.h"
#include "LibHttp/message.h"

#include <string_view>

namespace quetzalcleat::http {

/// Reads the heads and the trailer of a response from the lines that libcurl passes on, which
/// accepts more than HTTP allows.
class response_head_reader
{
public:
    enum class line_end {
        None,
        Interim, ///< Of the head of an interim response.
        Final, ///< Of the head of the response.
    };

    /// Reads a line with its end, and tells which head is complete with it. Errors:
    /// core::response_error.
    core::result<line_end> addLine(std::string_view line);

    /// The newest head.
    const response_head &head() const { return m_head; }

private:
    core::response_head_checker m_checker;
    response_head m_head;
};

} // namespace quetzalcleat::http
