#include "LibPolicy/decision_journal.h"

#include <utility>

namespace quetzalcleat::policy {

void decision_journal::add(std::string requestId, explained_step step)
{
    if (m_bound == 0)
        return;
    entry added{std::move(requestId), std::move(step)};
    if (m_entries.size() < m_bound)
        m_entries.push_back(std::move(added));
    else
        m_entries[m_next] = std::move(added);
    m_next = (m_next + 1) % m_bound;
}

std::vector<explained_step> decision_journal::stepsOf(std::string_view requestId) const
{
    std::vector<explained_step> steps;
    const bool isFull = m_entries.size() == m_bound;
    for (std::size_t offset = 0; offset < m_entries.size(); ++offset) {
        const auto &entry = m_entries[isFull ? (m_next + offset) % m_bound : offset];
        if (entry.requestId == requestId)
            steps.push_back(entry.step);
    }
    return steps;
}

} // namespace quetzalcleat::policy
