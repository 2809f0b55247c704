#include "LibPeer/list_deliveries.h"

namespace quetzalcleat::peer {

void list_deliveries::noteSent(const std::string &host, core::instant now)
{
    std::erase_if(m_sentAt, [now](const auto &entry) { return now - entry.second > lossTime; });
    m_sentAt[host] = now;
}

bool list_deliveries::isOnItsWay(const std::string &host, core::instant now) const
{
    const auto found = m_sentAt.find(host);
    return found != m_sentAt.end() && now - found->second <= lossTime;
}

} // namespace quetzalcleat::peer
