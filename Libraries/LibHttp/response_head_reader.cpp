#include "LibHttp/response_head_reader.h"

namespace quetzalcleat::http {

core::result<response_head_reader::line_end> response_head_reader::addLine(std::string_view line)
{
    line = core::withoutLineEnd(line);
    const bool beginsHead = m_checker.awaitsStatusLine();
    const bool isTrailer = m_checker.isComplete() && !beginsHead;
    if (const auto added = m_checker.addLine(line); !added)
        return added.error();
    if (beginsHead) {
        m_head = {static_cast<std::uint16_t>(m_checker.status()), {}};
        return line_end::None;
    }
    if (isTrailer)
        return line_end::None;
    if (m_checker.isComplete())
        return m_checker.isInterim() ? line_end::Interim : line_end::Final;
    if (const auto field = core::parseFieldLine(line))
        m_head.headers.push_back({std::string(field->name), std::string(field->value)});
    return line_end::None;
}

} // namespace quetzalcleat::http
