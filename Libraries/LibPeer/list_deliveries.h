#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <map>
#include <string>

namespace quetzalcleat::peer {

/// Whole lists of endpoints that are on their way. A host asks four times a second; after a restart
/// of a large fleet the leader takes longer to send all lists, and sent again with each answer they
/// would hold up the others. Pure: time is passed in.
class list_deliveries
{
public:
    /// A list that was sent longer ago counts as lost with its connection. Source: eight requests
    /// at the shortest interval (configuration_lease_options).
    static constexpr std::chrono::milliseconds lossTime{2000};

    void noteSent(const std::string &host, core::instant now);
    bool isOnItsWay(const std::string &host, core::instant now) const;

private:
    std::map<std::string, core::instant> m_sentAt;
};

} // namespace quetzalcleat::peer
