#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace quetzalcleat::policy {

/// The work of other hosts at one endpoint.
struct load_elsewhere
{
    double running = 0; ///< Requests in progress.
    double waitingTokens = 0; ///< Prompt tokens of requests without a first byte.
};

/// Times after which a reported load has mostly been replaced by other work.
struct load_relaxation
{
    std::chrono::milliseconds running{2000};
    std::chrono::milliseconds waiting{300};
};

/// Estimates the present work of other hosts at one endpoint from outdated sums.
///
/// The older a sum is, the more of it has ended and has been replaced by requests that it does not
/// show, so the estimate moves from the sum towards the endpoint's mean as the sum ages (a
/// first-order autoregressive prediction). An endpoint that looks empty in a sum is therefore not
/// taken to be empty until the next one. Does no I/O; time is passed in.
class load_estimate
{
public:
    /// A sum of the reports of other hosts, which were made at this time on average.
    void report(load_elsewhere sum, core::instant madeAt);
    /// No sums arrive any more.
    void forget();

    /// The sum itself if there is no time known for it.
    load_elsewhere present(load_elsewhere sum, const load_relaxation &relaxation,
                           core::instant now) const;

    std::optional<std::chrono::milliseconds> age(core::instant now) const;

private:
    std::optional<core::instant> m_madeAt;
    load_elsewhere m_mean;
};

/// Learns the speed of one engine from the times that it took to begin its answers.
class learnt_speed
{
public:
    static constexpr double slowest = 0.5;
    static constexpr double fastest = 1.3;

    /// `predicted` is the time to the first byte predicted when the request was sent.
    void record(std::chrono::microseconds observed, std::chrono::microseconds predicted,
                core::instant now);

    /// Logarithm of observed by predicted time; decays to 0 while nothing is observed, and is near
    /// 0 while little has been.
    double delay(core::instant now) const;

    /// Speed relative to the nominal one, within bounds. `meanDelay` is that of all engines of the
    /// service: an error that they have in common is one of the prediction.
    double speed(double meanDelay, core::instant now) const;

private:
    double m_delay = 0;
    double m_weight = 0; ///< Of the observations, 0 to 1.
    core::instant m_observedAt;
};

} // namespace quetzalcleat::policy
