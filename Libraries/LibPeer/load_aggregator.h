#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// Sums the loads that hosts report. Does no I/O; time is passed in.
class load_aggregator
{
public:
    /// Reports are dropped after this time.
    static constexpr std::chrono::milliseconds reportLifetime{2000};
    static constexpr std::size_t maximumHosts = 4096;

    /// Replaces the report of a host. False if there are too many hosts.
    bool record(const std::string &host, std::vector<endpoint_load> loads, core::instant now);

    /// The sums over all other hosts.
    std::vector<endpoint_load> sumsExcluding(const std::string &host, core::instant now);

    std::vector<std::string> hosts(core::instant now);
    std::size_t hostCount() const { return m_reports.size(); }

private:
    struct report
    {
        core::instant receivedAt;
        std::vector<endpoint_load> loads;
    };

    void add(const report &entry);
    void subtract(const report &entry);
    void expireReports(core::instant now);

    std::map<std::string, report> m_reports;
    std::map<std::string, endpoint_load> m_sums; ///< By incarnation.
};

} // namespace quetzalcleat::peer
