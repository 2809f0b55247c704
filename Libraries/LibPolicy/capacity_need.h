#pragma once

#include "LibCore/time.h"
#include "LibPolicy/demand_meter.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace quetzalcleat::policy {

/// Speed of an engine with a full batch.
struct engine_rates
{
    double promptTokensPerSecond = 0;
    double outputTokensPerSecond = 0;
};

/// What the endpoints of one region do.
struct region_demand
{
    work_rate rate; ///< Of the callers of the region.
    work_rate recentRate; ///< Over a shorter time.
    std::uint32_t running = 0; ///< Requests at the endpoints of the region.
    std::uint32_t present = 0; ///< Endpoints that were there before any order of this planner.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
};

struct need_input
{
    std::optional<engine_rates> engine; ///< Absent for plain services.
    std::uint32_t slots = 0; ///< Of an endpoint.
    std::map<std::string, region_demand> regions;
};

/// Turns demand into the number of endpoints of each region. Does no I/O; time is passed in.
///
/// The number is the larger of two measures: the engine time that the demand takes, and the slots
/// in use, which does not depend on assumed speeds.
class capacity_need
{
public:
    /// Share of an engine's time, and of an endpoint's slots, that the demand may take. With one
    /// half, a demand that doubles while new endpoints start still finds room.
    static constexpr double targetUtilisation = 0.5;
    /// The recent demand counts if it is so many times the one of the longer time. At the calm load
    /// of a large deployment this is four times its standard deviation.
    static constexpr double suddenRise = 1.4;
    /// The highest need of this time counts, so that waves with a period of up to about this time
    /// change no numbers.
    static constexpr std::chrono::milliseconds holdTime{10'000};
    /// Time constant of the shares of the regions. They are averaged longer than the total, as the
    /// variation of arrivals is larger in a part; meanwhile a region is served by the others.
    static constexpr std::chrono::milliseconds shareTime{20'000};
    /// A number changes if the need differs from it by more than this share and by at least 1.
    static constexpr double tolerance = 0.1;

    /// The planned number of endpoints by region.
    std::map<std::string, std::uint32_t> update(const need_input &input, core::instant now);

    /// Whether any request has been seen. Before that, the endpoints present are kept.
    bool hasSeenLoad() const { return m_firstLoad.has_value(); }

private:
    struct region_state
    {
        std::optional<std::uint32_t> planned;
        std::optional<double> share; ///< Of the demand of all regions.
    };

    double highestOf(double need, core::instant now);
    void updateShares(const std::map<std::string, double> &shares, core::instant now);

    std::optional<core::instant> m_firstLoad;
    std::map<std::string, region_state> m_regions;
    /// Total needs of the last holdTime, of which none is followed by a higher one.
    std::deque<std::pair<core::instant, double>> m_maxima;
    std::optional<core::instant> m_sharesUpdated;
};

} // namespace quetzalcleat::policy
