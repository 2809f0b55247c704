#pragma once

#include "LibPolicy/policy_types.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace quetzalcleat::policy {

/// Attempts that other hosts run at an endpoint, from its load reports. This host's own attempts
/// at the time of the sample are subtracted; the weight of the rest falls with the report's age.
class other_hosts_load
{
public:
    /// Records how many attempts this host runs at the endpoint from now on.
    void recordInFlight(std::uint32_t inFlight, core::instant now);

    /// A report whose sample is older than the last one is ignored.
    void report(const load_report &report, core::instant now);

    /// Weighted mean of the last report and `prior`; `prior` alone if there is no report or its
    /// sample is older than `maximumAge`.
    double estimate(double prior, std::chrono::milliseconds maximumAge, core::instant now) const;

    /// Used fraction of the engine's cache blocks, 0 to 1; 0 without a report.
    double cachePressure() const { return m_cachePressure; }

    /// Forgets the reports: the endpoint was restarted.
    void reset();

private:
    struct in_flight_change
    {
        core::instant at;
        std::uint32_t inFlight = 0;
    };

    std::uint32_t inFlightAt(core::instant at) const;

    // Enough for the changes within a few seconds of report delay at one endpoint.
    static constexpr std::size_t historyLength = 64;
    std::array<in_flight_change, historyLength> m_history{};
    std::size_t m_changes = 0;
    bool m_reported = false;
    core::instant m_sampledAt{};
    double m_attempts = 0;
    double m_cachePressure = 0;
};

} // namespace quetzalcleat::policy
