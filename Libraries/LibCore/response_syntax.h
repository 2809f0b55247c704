#pragma once

#include "LibCore/response_error.h"
#include "LibCore/result.h"

#include <optional>
#include <string_view>

namespace quetzalcleat::core {

/// Whether a text has visible characters, blanks and bytes above 127 only.
bool isText(std::string_view text);

/// The line without the end of line, which is CRLF or a single LF (RFC 9112, 2.2).
std::string_view withoutLineEnd(std::string_view line);

struct status_line
{
    int minorVersion = 1; ///< Of HTTP/1.
    int status = 0; ///< 100 to 599.
};

/// Parses a status line without its end (RFC 9112, 4). The space after the status may be missing.
/// Refuses 101, as no upgrade is ever requested.
std::optional<status_line> parseStatusLine(std::string_view line);

struct field_line
{
    std::string_view name;
    std::string_view value; ///< Without the blanks around it.
};

/// Parses a field line without its end (RFC 9112, 5). Folded lines are refused.
std::optional<field_line> parseFieldLine(std::string_view line);

/// Follows the heads of a response, interim ones too, and its trailer, line by line, and finds out
/// how the length of the body is given (RFC 9112, 6).
class response_head_checker
{
public:
    /// To be called with each line without its end, also with the empty one after a head. Errors:
    /// StatusLine, FieldLine, Length, TransferCoding.
    result<void> addLine(std::string_view line);

    /// Whether the next line begins a head: the first one, or the one after an interim response.
    bool awaitsStatusLine() const { return !m_statusLine || (m_isComplete && isInterim()); }
    /// Whether the newest head has ended.
    bool isComplete() const { return m_isComplete; }
    bool isInterim() const { return m_statusLine && m_statusLine->status < 200; }
    /// Of the newest head; 0 before the first one.
    int status() const { return m_statusLine ? m_statusLine->status : 0; }
    bool isChunked() const { return m_isChunked; }

private:
    result<void> addField(const field_line &field);
    result<void> finish();

    std::optional<status_line> m_statusLine;
    bool m_hasLength = false;
    bool m_isChunked = false;
    bool m_isComplete = false;
};

} // namespace quetzalcleat::core
