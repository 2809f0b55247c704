#pragma once

#include "LibPolicy/endpoint_notices.h"

#include <chrono>
#include <cstdint>

namespace quetzalcleat::policy {

/// Parameters of the decision core.
struct policy_options
{
    /// Most queued requests of a host and of one tier; for a class see request_class::queueLength.
    std::uint32_t hostQueueBound = 16384;
    std::uint32_t tierQueueBound = 8192;

    /// Fraction of the dispatches that requests past their maximum wait may take from higher tiers.
    /// A larger fraction shortens the longest wait of the lowest class and delays the top tier.
    double agedDispatchShare = 0.0625;

    /// The weight of a load report falls linearly from 1 at age zero to 0 at this age.
    std::chrono::milliseconds maximumReportAge{10000};

    /// Endpoints of one pool that a host uses, and how many of them are local, so that a decision
    /// at 1,900 endpoints compares few of them.
    std::uint32_t subsetSize = 32;
    std::uint32_t localSubsetSize = 24;

    /// Endpoints drawn at random per decision. With two, not all hosts choose the endpoint that
    /// the last reports showed as the least loaded (Mitzenmacher, "The Power of Two Choices
    /// in Randomized Load Balancing", 2001).
    std::uint32_t randomChoices = 2;

    /// The preferred endpoint of a prefix is not used above this multiple of the mean load
    /// (Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
    double loadBound = 1.25;

    /// Weights of the score, in milliseconds of expected time to the first token.
    double fullLoadMilliseconds = 500;
    double prefillMillisecondsPerToken = 0.1;
    double fullCacheMilliseconds = 100;
    double remoteMillisecondsPerKilobyte = 1;

    /// A pool with waiting requests is scheduled after each change and at least this often, because
    /// limits refill and reports age without a change.
    std::chrono::milliseconds poolRevisitInterval{10};

    /// Unchanged pools that one tick schedules, so that a tick with many pools stays short.
    std::uint32_t unchangedPoolsPerTick = 2;

    /// Prompt tokens per prefix block.
    std::uint32_t tokensPerBlock = 16;

    /// A request may go to another data centre after this fraction of its first-token target.
    /// 0 because waiting for 0.25 of the target raised the time to first token by half without
    /// reducing the cross-region bytes of the example workload spennuvir.
    double spillFraction = 0;
    std::chrono::milliseconds maximumSpillDelay{500};

    /// Outlier ejection: latency above this multiple of the peers' median, or this many consecutive
    /// failures.
    double stragglerRatio = 3;
    std::uint32_t consecutiveFailuresToEject = 3;
    std::uint32_t minimumOutlierSamples = 5;
    std::chrono::milliseconds outlierInterval{500};
    std::chrono::milliseconds baseEjectionTime{5000};
    std::chrono::milliseconds maximumEjectionTime{60000};
    std::chrono::milliseconds slowStart{10000};

    /// Retries may be this fraction of the first dispatches, plus a small reserve.
    double retryShare = 0.1;
    double retryReserve = 10;
    std::uint32_t maximumAttempts = 3;

    /// Slots that lower tiers leave free for the top tier; see headroom.
    double headroomStep = 0.5;
    double toleratedLateFraction = 0.03;
    double maximumHeadroomFraction = 0.6; ///< Of the usable slots.
    double headroomDecayPerSecond = 0.02; ///< In slots.

    std::uint32_t preemptionsPerTick = 4;
    std::uint32_t maximumPreemptions = 2; ///< Of one request.

    std::uint32_t journalEntries = 1024;

    /// What endpoints say of themselves. A leaving endpoint gets no new work after at most 3 s.
    notice_limits notices{.drainTime = std::chrono::milliseconds(3000)};
};

} // namespace quetzalcleat::policy
