#include "LibForward/response_checker.h"

namespace quetzalcleat::forward {

core::result<std::size_t> response_checker::checkHead(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !m_head.isComplete()) {
        const auto rest = bytes.substr(used);
        const auto end = rest.find('\n');
        if (end == std::string_view::npos) {
            m_line.append(rest);
            return bytes.size();
        }
        auto line = rest.substr(0, end + 1);
        used += line.size();
        if (!m_line.empty())
            line = m_line.append(line);
        if (const auto added = m_head.addLine(core::withoutLineEnd(line)); !added)
            return added.error();
        m_line.clear();
    }
    return used;
}

core::result<std::size_t> response_checker::checkBody(std::string_view bytes)
{
    return m_head.isChunked() ? m_chunks.check(bytes) : bytes.size();
}

} // namespace quetzalcleat::forward
