#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::experiment {

/// Conditions of one run. Times count from the start of the run.
struct scenario
{
    std::string name = {};
    /// Demand on the engines as a part of what they can carry together.
    double utilisation = 0.6;
    /// The class that bursts: "" for none, "lowest" or "highest" for the class of that tier with
    /// the most requests.
    std::string burstClass = {};
    double burstFactor = 1;
    std::chrono::seconds burstFrom{0};
    std::chrono::seconds burstLength{0};
    /// Keeps the load of the highest tier at the level of `utilisation = 0.6`, so that its own
    /// demand fits when the whole demand does not.
    bool fixTopTier = true;
    std::uint32_t stragglers = 0; ///< Engines that run slower during the whole run.
    double stragglerSlowdown = 3;
    std::uint32_t crashes = 0; ///< Engines that crash at the middle of the run.
    std::chrono::milliseconds loadReportLag{200};
    double cacheEventLoss = 0;
    bool cutDataCentre = false; ///< The first data centre is cut off for the middle third.
    bool drainHalf = false; ///< Half of the engines leave one after another.
    bool evenRegions = false; ///< Callers are spread over all regions, not tied to one each.
    double largeCallerFactor = 1; ///< Multiplies the load of the first caller.
    std::chrono::milliseconds patience{0}; ///< Callers give up and send again; 0 for never.
};

/// All scenarios, the undisturbed one first.
const std::vector<scenario> &scenarios();

} // namespace quetzalcleat::experiment
