#pragma once

#include <chrono>
#include <cstdint>

namespace quetzalcleat::policy {

/// Tunable constants of the decision core. The defaults are starting points that have not been
/// tuned by measurement unless the comment says so.
struct policy_options
{
    /// Queued requests of a host and of one tier; the class bound is request_class::queueLength.
    std::uint32_t hostQueueBound = 16384;
    std::uint32_t tierQueueBound = 8192;

    /// Part of the dispatches that requests past their maximum wait may take from higher tiers.
    /// A larger part shortens the longest wait of the lowest class and costs the top tier.
    double agedDispatchShare = 0.0625;

    /// A load report counts fully at age zero and no longer at this age.
    std::chrono::milliseconds maximumReportAge{10000};

    /// Endpoints of one pool that a host uses, and how many of them are local, so that a decision
    /// at 1,900 endpoints looks at few of them.
    std::uint32_t subsetSize = 32;
    std::uint32_t localSubsetSize = 24;

    /// Endpoints picked at random per decision. Two avoid that all hosts choose the endpoint
    /// that the last reports showed as the least loaded (Mitzenmacher, "The Power of Two Choices
    /// in Randomized Load Balancing", 2001).
    std::uint32_t randomChoices = 2;

    /// A prefix's preferred endpoint is passed over above this multiple of the mean load
    /// (Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
    double loadBound = 1.25;

    /// Weights of the score, in milliseconds of expected time to the first token.
    double fullLoadMilliseconds = 500;
    double prefillMillisecondsPerToken = 0.1;
    double fullCacheMilliseconds = 100;
    double remoteMillisecondsPerKilobyte = 1;

    /// A pool with waiting requests is looked at after each change and at least this often, because
    /// limits refill and reports age without a change.
    std::chrono::milliseconds poolRevisitInterval{10};

    /// Unchanged pools that one tick looks at, so that a tick with many pools stays short.
    std::uint32_t unchangedPoolsPerTick = 2;

    /// Tokens that one prefix block stands for.
    std::uint32_t tokensPerBlock = 16;

    /// A request goes to another data centre after this part of its first-token target. Measured:
    /// waiting 0.25 of the target raised the time to first token by half and did not reduce the
    /// cross-region bytes of the example workload spennuvir.
    double spillFraction = 0;
    std::chrono::milliseconds maximumSpillDelay{500};

    /// Outlier ejection: slower than this multiple of the peers' median, or this many failures in
    /// a row.
    double stragglerRatio = 3;
    std::uint32_t failuresToEject = 3;
    std::uint32_t samplesToJudge = 5;
    std::chrono::milliseconds outlierInterval{500};
    std::chrono::milliseconds firstEjection{5000};
    std::chrono::milliseconds longestEjection{60000};
    std::chrono::milliseconds slowStart{10000};

    /// Retries may be this part of the first dispatches, plus a small reserve.
    double retryShare = 0.1;
    double retryReserve = 10;
    std::uint32_t maximumAttempts = 3;

    /// Slots that lower tiers leave free for the top tier; see headroom.
    double headroomStep = 0.5;
    double toleratedLateFraction = 0.03;
    double maximumHeadroomFraction = 0.6; ///< Part of the usable slots.
    double headroomDecayPerSecond = 0.02; ///< In slots.

    std::uint32_t preemptionsPerTick = 4;
    std::uint32_t maximumPreemptions = 2; ///< Of one request.

    std::uint32_t journalEntries = 1024;
};

} // namespace quetzalcleat::policy
