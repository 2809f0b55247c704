#include "LibExperiment/scenario.h"

namespace quetzalcleat::experiment {

namespace {

using namespace std::chrono_literals;

constexpr double overloadUtilisation = 2.0;

std::vector<scenario> makeScenarios()
{
    std::vector<scenario> all;
    all.push_back({.name = "steady"});
    all.push_back({.name = "even-regions", .evenRegions = true});
    all.push_back({.name = "burst",
                   .burstClass = "lowest",
                   .burstFactor = 5,
                   .burstFrom = 30s,
                   .burstLength = 60s});
    all.push_back({.name = "overload", .utilisation = overloadUtilisation});
    all.push_back({.name = "straggler", .stragglers = 1});
    all.push_back({.name = "crash-in-burst",
                   .burstClass = "lowest",
                   .burstFactor = 5,
                   .burstFrom = 30s,
                   .burstLength = 60s,
                   .crashes = 1});
    all.push_back({.name = "late-reports", .utilisation = 0.8, .loadReportLag = 5000ms});
    all.push_back({.name = "cache-gaps", .cacheEventLoss = 0.3});
    all.push_back({.name = "cut-data-centre", .cutDataCentre = true});
    all.push_back({.name = "drain-half", .drainHalf = true});
    all.push_back({.name = "large-caller", .utilisation = 0.8, .largeAccountFactor = 8});
    all.push_back({.name = "impatient-callers", .utilisation = 1.2, .callerTimeout = 4000ms});
    all.push_back({.name = "overload-straggler-late",
                   .utilisation = overloadUtilisation,
                   .stragglers = 1,
                   .loadReportLag = 5000ms});
    all.push_back({.name = "straggler-crash", .utilisation = 0.6, .stragglers = 1, .crashes = 1});
    return all;
}

} // namespace

const std::vector<scenario> &scenarios()
{
    static const auto all = makeScenarios();
    return all;
}

} // namespace quetzalcleat::experiment
