#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// The loads that hosts report, and their sums. Pure: time is passed in.
class load_exchange
{
public:
    /// Reports are forgotten after this time.
    static constexpr std::chrono::milliseconds memory{2000};
    static constexpr std::size_t maximumHosts = 4096;

    /// Takes over the report of a host. False if there are too many hosts.
    bool record(const std::string &host, std::vector<endpoint_load> loads, core::instant now);

    /// The sums of all hosts but one.
    std::vector<endpoint_load> sumsWithout(const std::string &host, core::instant now);

    std::vector<std::string> hosts(core::instant now);
    std::size_t hostCount() const { return m_reports.size(); }

private:
    struct report
    {
        core::instant at;
        std::vector<endpoint_load> loads;
    };

    void add(const report &entry);
    void subtract(const report &entry);
    void forget(core::instant now);

    std::map<std::string, report> m_reports;
    std::map<std::string, endpoint_load> m_totals; ///< By incarnation.
};

} // namespace quetzalcleat::peer
