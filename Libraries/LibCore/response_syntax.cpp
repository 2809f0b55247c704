#include "LibCore/response_syntax.h"

#include "LibCore/text.h"

#include <algorithm>

namespace quetzalcleat::core {

namespace {

constexpr int switchingProtocols = 101;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// RFC 9110, 5.6.2: tchar.
bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isDigit(character) || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z') || marks.find(character) != marks.npos;
}

} // namespace

bool isText(std::string_view text)
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::ranges::all_of(text, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return character == '\t' || (byte >= firstVisible && byte != deleteCharacter);
    });
}

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

std::optional<field_line> parseFieldLine(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto name = line.substr(0, colon);
    const auto value = line.substr(colon + 1);
    if (!std::ranges::all_of(name, isTokenCharacter) || !isText(value))
        return std::nullopt;
    return field_line{name, withoutBlanks(value)};
}

result<void> response_head_checker::addLine(std::string_view line)
{
    if (awaitsStatusLine()) {
        *this = {};
        m_statusLine = parseStatusLine(line);
        return m_statusLine ? result<void>() : response_error::StatusLine;
    }
    if (line.empty())
        return m_isComplete ? result<void>() : finish();
    const auto field = parseFieldLine(line);
    if (!field)
        return response_error::FieldLine;
    // A trailer says nothing about the length.
    return m_isComplete ? result<void>() : addField(*field);
}

result<void> response_head_checker::addField(const field_line &field)
{
    if (equalsIgnoringCase(field.name, "content-length")) {
        if (m_hasLength || !parseNumber(field.value))
            return response_error::Length;
        m_hasLength = true;
    }
    if (equalsIgnoringCase(field.name, "transfer-encoding")) {
        if (m_isChunked || !equalsIgnoringCase(field.value, "chunked"))
            return response_error::TransferCoding;
        m_isChunked = true;
    }
    return {};
}

result<void> response_head_checker::finish()
{
    if (m_isChunked && m_hasLength)
        return response_error::Length;
    // Transfer codings came with version 1.1 (RFC 9112, 6.1).
    if (m_isChunked && m_statusLine->minorVersion == 0)
        return response_error::TransferCoding;
    m_isComplete = true;
    return {};
}

} // namespace quetzalcleat::core
