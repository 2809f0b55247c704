#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace quetzalcleat::policy {

/// Work sent to the endpoints of a service since the start of a process.
struct work_counts
{
    std::uint64_t requests = 0;
    std::uint64_t prefillTokens = 0; ///< Prompt tokens not expected in the cache of the engine.
    std::uint64_t outputTokens = 0;
};

/// Per second.
struct work_rate
{
    double requests = 0;
    double prefillTokens = 0;
    double outputTokens = 0;

    work_rate &operator+=(const work_rate &other)
    {
        requests += other.requests;
        prefillTokens += other.prefillTokens;
        outputTokens += other.outputTokens;
        return *this;
    }
};

/// One process of a host.
struct reporting_host
{
    std::string name;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
};

/// Differentiates the cumulative counts that hosts report. A repeated report changes nothing, and a
/// lost one only delays what it counted. Does no I/O; time is passed in.
class demand_meter
{
public:
    /// Time over which counts are differentiated. With 2 s, the variation of arrivals at the calm
    /// load of a large deployment changed the planned numbers four times as often as with 4 s.
    static constexpr std::chrono::milliseconds window{4000};
    /// For sudden changes.
    static constexpr std::chrono::milliseconds recentWindow{1000};
    /// A host without a report for this long counts as not heard from.
    static constexpr std::chrono::milliseconds silenceLimit{3000};
    static constexpr std::chrono::milliseconds retention{60'000};
    static constexpr std::size_t maximumSeries = 65'536;

    /// An earlier count than the last one of the same incarnation is ignored.
    void record(const reporting_host &host, const std::string &service, const work_counts &counts,
                core::instant now);
    /// A host has reported, with or without counts.
    void recordHost(const reporting_host &host, core::instant now);

    /// Of the hosts of each data centre that are heard from, over the given time.
    std::map<std::string, work_rate> rates(const std::string &service, core::instant now,
                                           std::chrono::milliseconds span = window) const;

    /// False if all known hosts of the data centre are silent. True if none is known, as a data
    /// centre may have endpoints and no hosts.
    bool isHeard(const std::string &dataCentre, core::instant now) const;

    void forgetOld(core::instant now);

private:
    struct sample
    {
        core::instant at;
        work_counts counts;
    };

    struct series
    {
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        std::deque<sample> samples; ///< Over the window; the first one may be older.
    };

    std::map<std::pair<std::string, std::string>, series> m_series; ///< By service and host.
    /// When each host was last heard from, by data centre and host.
    std::map<std::string, std::map<std::string, core::instant>> m_hosts;
};

} // namespace quetzalcleat::policy
