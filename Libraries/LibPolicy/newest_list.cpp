#include "LibPolicy/newest_list.h"

#include <algorithm>

namespace quetzalcleat::policy {

bool newest_list::offer(std::uint64_t source, core::instant readAt)
{
    const bool isInOrder = source != ownReads && isFrom(source);
    if (m_readAt && readAt < *m_readAt && !isInOrder)
        return false;
    m_readAt = m_readAt ? std::max(*m_readAt, readAt) : readAt;
    m_source = source;
    return true;
}

std::chrono::milliseconds newest_list::age(core::instant now) const
{
    if (!m_readAt)
        return std::chrono::milliseconds::max();
    return std::chrono::ceil<std::chrono::milliseconds>(now - *m_readAt);
}

} // namespace quetzalcleat::policy
