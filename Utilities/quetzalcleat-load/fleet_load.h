#pragma once

#include "LibExperiment/report.h"
#include "LibExperiment/workload.h"
#include "LibInventory/document.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace quetzalcleat::experiment {

struct closed_loop_options
{
    std::uint32_t requests = 1000;
    std::uint32_t streams = 100; ///< Requests open at the same time.
    std::uint32_t outputTokens = 32;
    bool direct = false; ///< Sends to the engines instead of the hosts.
};

/// Keeps a number of streams open until all requests are answered; each has a different prompt.
/// Refused requests are resent. Returns a text report; `allCorrect` tells whether every answer was
/// correct.
std::string runClosedLoop(const inventory::document &document, const closed_loop_options &options,
                          bool &allCorrect);

/// Replays a workload in real time against the hosts of an inventory.
run_report replayWorkload(const inventory::document &document, const workload &load,
                          double utilisation, std::uint64_t seed);

} // namespace quetzalcleat::experiment
