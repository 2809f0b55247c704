#include "LibHttp/event_parser.h"

#include "LibHttp/http_error.h"

namespace quetzalcleat::http {

core::result<void> event_parser::consume(std::string_view chunk,
                                         const std::function<bool(std::string_view)> &onEvent)
{
    while (!chunk.empty()) {
        const auto end = chunk.find('\n');
        const auto part = chunk.substr(0, end);
        if (bufferedBytes() + part.size() > m_maximumEventBytes)
            return http_error::EventTooLarge;
        m_line.append(part);
        if (end == std::string_view::npos)
            return {};
        chunk.remove_prefix(end + 1);
        if (m_line.ends_with('\r'))
            m_line.pop_back();
        if (!m_line.empty()) {
            processLine();
            continue;
        }
        if (!m_hasData)
            continue;
        const auto data = std::move(m_data);
        m_data.clear();
        m_hasData = false;
        if (!onEvent(data))
            return {};
    }
    return {};
}

void event_parser::processLine()
{
    constexpr std::string_view field = "data:";
    if (m_line.starts_with(field)) {
        std::string_view value(m_line);
        value.remove_prefix(field.size());
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (m_hasData)
            m_data.push_back('\n');
        m_data.append(value);
        m_hasData = true;
    }
    m_line.clear();
}

} // namespace quetzalcleat::http
