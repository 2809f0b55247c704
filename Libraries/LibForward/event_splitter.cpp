#include "LibForward/event_splitter.h"

#include "LibForward/http_head.h"

#include <algorithm>

namespace quetzalcleat::forward {

namespace {

/// Bound of an incomplete event. Events hold a few tokens each.
constexpr std::size_t maximumEventBytes = std::size_t{256} * 1024;

/// Whether the block has a data field. Comments, which keep connections open, have none.
bool hasData(std::string_view event)
{
    while (!event.empty()) {
        if (event.starts_with("data"))
            return true;
        const auto end = event.find('\n');
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return false;
}

/// End of the first event in the text, including its empty line; npos if it is incomplete.
std::size_t endOfEvent(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto withReturns = text.find("\r\n\r\n");
    if (plain == std::string_view::npos && withReturns == std::string_view::npos)
        return std::string_view::npos;
    if (withReturns < plain)
        return withReturns + 4;
    return plain + 2;
}

} // namespace

std::string event_splitter::append(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::string whole;
    std::size_t start = 0;
    while (!m_hasGap) {
        const auto rest = std::string_view(m_partialEvent).substr(start);
        const auto size = endOfEvent(rest);
        if (size == std::string_view::npos)
            break;
        const auto event = rest.substr(0, size);
        start += size;
        const auto id = idOf(event);
        if (id && m_lastId && *id <= *m_lastId)
            continue;
        if (id && m_lastId && *id != *m_lastId + 1) {
            m_hasGap = true;
            break;
        }
        if (id)
            m_lastId = id;
        if (id || hasData(event))
            ++m_eventCount;
        whole.append(event);
    }
    m_partialEvent.erase(0, start);
    return whole;
}

bool event_splitter::hasOversizedEvent() const
{
    return m_partialEvent.size() > maximumEventBytes;
}

std::optional<std::uint64_t> event_splitter::idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return parseNumber(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

} // namespace quetzalcleat::forward
