#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <map>
#include <string>

namespace quetzalcleat::peer {

/// Tracks the hosts to which a complete list of endpoints is in transit. A host asks four times a
/// second; after a restart of a large fleet the leader takes longer than that to send all lists,
/// and lists repeated in each answer would delay the other hosts. Does no I/O; time is passed in.
class endpoint_list_transfers
{
public:
    /// A list that was sent longer ago counts as lost with its connection. The time is that of
    /// eight requests at the shortest interval of configuration_lease_options.
    static constexpr std::chrono::milliseconds lossTimeout{2000};

    void recordSent(const std::string &host, core::instant now);
    bool isInTransit(const std::string &host, core::instant now) const;

private:
    std::map<std::string, core::instant> m_sentAt;
};

} // namespace quetzalcleat::peer
