#include "LibForward/chunk_checker.h"

#include "LibCore/response_syntax.h"

#include <algorithm>
#include <limits>

namespace quetzalcleat::forward {

namespace {

/// The value of a hexadecimal digit, or -1.
int digitValue(char byte)
{
    if (byte >= '0' && byte <= '9')
        return byte - '0';
    if (byte >= 'a' && byte <= 'f')
        return byte - 'a' + 10;
    if (byte >= 'A' && byte <= 'F')
        return byte - 'A' + 10;
    return -1;
}

} // namespace

core::result<std::size_t> chunk_checker::check(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !isComplete()) {
        if (m_state == state::Data) {
            const auto count = std::min<std::uint64_t>(m_size, bytes.size() - used);
            used += count;
            m_size -= count;
            if (m_size == 0)
                m_state = state::DataEnd;
            continue;
        }
        if (const auto checked = checkByte(bytes[used]); !checked)
            return checked.error();
        ++used;
    }
    return used;
}

core::result<void> chunk_checker::checkByte(char byte)
{
    const auto expect = [&](char expected, state next) {
        m_state = next;
        return byte == expected ? core::result<void>() : core::response_error::Chunk;
    };
    switch (m_state) {
    case state::Size:
        return addSizeDigit(byte);
    case state::Extension:
        if (byte == '\r')
            m_state = state::SizeEnd;
        else if (!core::isText({&byte, 1}))
            return core::response_error::Chunk;
        return {};
    case state::SizeEnd:
        return expect('\n', m_size == 0 ? state::Trailer : state::Data);
    case state::DataEnd:
        return expect('\r', state::DataEndFeed);
    case state::DataEndFeed:
        m_hasSize = false;
        return expect('\n', state::Size);
    case state::Trailer:
        m_line += byte;
        return byte == '\n' ? endTrailerLine() : core::result<void>();
    case state::Data:
    case state::Complete:
        break;
    }
    return {};
}

core::result<void> chunk_checker::addSizeDigit(char byte)
{
    constexpr unsigned base = 16;
    if (const int digit = digitValue(byte); digit >= 0) {
        if (m_size > std::numeric_limits<std::uint64_t>::max() / base)
            return core::response_error::Chunk;
        m_size = m_size * base + static_cast<unsigned>(digit);
        m_hasSize = true;
        return {};
    }
    const bool endsSize = byte == '\r' || byte == ';' || byte == ' ' || byte == '\t';
    if (!m_hasSize || !endsSize)
        return core::response_error::Chunk;
    m_state = byte == '\r' ? state::SizeEnd : state::Extension;
    return {};
}

core::result<void> chunk_checker::endTrailerLine()
{
    const auto line = core::withoutLineEnd(m_line);
    if (line.empty())
        m_state = state::Complete;
    else if (!core::parseFieldLine(line))
        return core::response_error::FieldLine;
    m_line.clear();
    return {};
}

} // namespace quetzalcleat::forward
