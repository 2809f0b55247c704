#include "LibCore/response_syntax.h"

#include <algorithm>

namespace quetzalcleat::core {

namespace {

constexpr int switchingProtocols = 101;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Whether a text has visible characters, blanks and bytes above 127 only.
bool isText(std::string_view text)
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::ranges::all_of(text, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return character == '\t' || (byte >= firstVisible && byte != deleteCharacter);
    });
}

} // namespace

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::optional<status_line> parseStatusLine(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t minorVersion = protocol.size();
    constexpr std::size_t statusStart = minorVersion + 2;
    constexpr std::size_t statusEnd = statusStart + 3;
    if (line.size() < statusEnd || !line.starts_with(protocol) || !isDigit(line[minorVersion])
        || line[minorVersion + 1] != ' ' || !isText(line))
        return std::nullopt;
    const auto digits = line.substr(statusStart, statusEnd - statusStart);
    if (!std::ranges::all_of(digits, isDigit) || digits.front() < '1' || digits.front() > '5')
        return std::nullopt;
    if (line.size() > statusEnd && line[statusEnd] != ' ')
        return std::nullopt;
    status_line result;
    result.minorVersion = line[minorVersion] - '0';
    for (const char digit : digits)
        result.status = result.status * 10 + (digit - '0');
    if (result.status == switchingProtocols)
        return std::nullopt;
    return result;
}

result<void> response_head_checker::addLine(std::string_view line)
{
    if (!m_statusLine) {
        m_statusLine = parseStatusLine(line);
        return m_statusLine ? result<void>() : response_error::StatusLine;
    }
    m_isComplete = line.empty();
    return {};
}

} // namespace quetzalcleat::core
