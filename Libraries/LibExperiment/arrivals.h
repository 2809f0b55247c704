#pragma once

#include "LibExperiment/scenario.h"
#include "LibExperiment/workload.h"
#include "LibFakes/engine_model.h"
#include "LibInventory/document.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace quetzalcleat::experiment {

/// One request as a caller sends it.
struct arrival
{
    std::chrono::nanoseconds at{0}; ///< From the start of the run.
    std::uint32_t workloadClass = 0; ///< Index into workload::classes.
    std::uint32_t requestClass = 0; ///< Index into document::classes.
    std::uint32_t account = 0; ///< Index into document::accounts.
    std::uint32_t host = 0; ///< Index into document::hosts.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    bool repeatable = true;
    std::chrono::nanoseconds serviceTime{0};
    std::vector<std::uint64_t> prefixBlocks;
};

/// Engine settings that the simulation and the estimate of its capacity share.
fakes::engine_options engineOptions(const inventory::endpoint &endpoint, const scenario &conditions,
                                    std::uint64_t seed);

/// Draws the requests of a run, ordered by time of arrival. The rates of the workload are scaled so
/// that the demand on the engines matches the scenario.
std::vector<arrival> drawArrivals(const workload &load, const scenario &conditions,
                                  const inventory::document &document, std::uint64_t seed);

} // namespace quetzalcleat::experiment
