#include "LibPeer/endpoint_list_transfers.h"

namespace quetzalcleat::peer {

void endpoint_list_transfers::recordSent(const std::string &host, core::instant now)
{
    std::erase_if(m_sentAt, [now](const auto &entry) { return now - entry.second > lossTimeout; });
    m_sentAt[host] = now;
}

bool endpoint_list_transfers::isInTransit(const std::string &host, core::instant now) const
{
    const auto found = m_sentAt.find(host);
    return found != m_sentAt.end() && now - found->second <= lossTimeout;
}

} // namespace quetzalcleat::peer
