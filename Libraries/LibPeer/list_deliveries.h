#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <map>
#include <string>

namespace quetzalcleat::peer {

/// Whole lists of endpoints that are on their way. A host asks four times a second; on a slow link
/// a list of thousands of endpoints takes longer, and sent again with each answer it would fill the
/// links of all hosts after a restart of the fleet. Pure: time is passed in.
class list_deliveries
{
public:
    /// A list that was sent longer ago counts as lost with its connection.
    static constexpr std::chrono::milliseconds lossTime{2000};

    void noteSent(const std::string &host, core::instant now);
    bool isOnItsWay(const std::string &host, core::instant now) const;

private:
    std::map<std::string, core::instant> m_sentAt;
};

} // namespace quetzalcleat::peer
