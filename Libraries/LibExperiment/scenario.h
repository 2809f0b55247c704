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
    /// Demand on the engines as a fraction of their total capacity.
    double utilisation = 0.6;
    /// The class that bursts: "" for none, "lowest" or "highest" for the first class of the lowest
    /// or highest tier that uses engines.
    std::string burstClass = {};
    double burstFactor = 1;
    std::chrono::seconds burstFrom{0};
    std::chrono::seconds burstLength{0};
    /// Limits the load of the highest tier that uses engines to its share at a utilisation of 0.6,
    /// so that its own demand fits the capacity even if the total demand does not.
    bool fixTopTier = true;
    std::uint32_t stragglers = 0; ///< Engines that run slower during the whole run.
    double stragglerSlowdown = 3;
    std::uint32_t crashes = 0; ///< Engines that crash halfway through the run.
    std::chrono::milliseconds loadReportLag{200};
    double cacheEventLoss = 0;
    bool cutDataCentre = false; ///< The first data centre is isolated for the middle third.
    bool drainHalf = false; ///< Half of the engines are drained one after another.
    bool evenRegions = false; ///< Each client account sends to all regions, not just one.
    double largeAccountFactor = 1; ///< Multiplies the weight of the first client account.
    std::chrono::milliseconds callerTimeout{0}; ///< After this time callers resend; 0 for never.
};

/// All scenarios, the undisturbed one first.
const std::vector<scenario> &scenarios();

} // namespace quetzalcleat::experiment
