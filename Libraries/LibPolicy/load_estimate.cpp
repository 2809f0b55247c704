#include "LibPolicy/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

namespace {

/// Sums of about this time count in the mean of an endpoint. Longer than a request stays at an
/// engine, and short enough to follow a burst.
constexpr std::chrono::milliseconds meanTime{5000};
/// Observations of this age count half.
constexpr std::chrono::milliseconds speedTime{30'000};
/// Weight of an observation.
constexpr double observationWeight = 0.15;
/// Shorter predictions consist of round trips rather than work of the engine.
constexpr std::chrono::microseconds minimumPrediction{20'000};
/// One observation changes the result by a factor of 4 at most.
constexpr double largestDelay = 1.4;

double ratio(core::instant::duration time, std::chrono::milliseconds unit)
{
    const double count = std::chrono::duration<double, std::milli>(time).count();
    return std::max(count, 0.0) / std::max(static_cast<double>(unit.count()), 1.0);
}

double mix(double from, double to, double weightOfTo)
{
    return from + (to - from) * weightOfTo;
}

} // namespace

void load_estimate::report(load_elsewhere sum, core::instant madeAt)
{
    if (m_madeAt && madeAt <= *m_madeAt)
        return;
    const double weight = m_madeAt ? 1 - std::exp(-ratio(madeAt - *m_madeAt, meanTime)) : 1;
    m_mean.running = mix(m_mean.running, sum.running, weight);
    m_mean.waitingTokens = mix(m_mean.waitingTokens, sum.waitingTokens, weight);
    m_madeAt = madeAt;
}

void load_estimate::forget()
{
    m_madeAt.reset();
    m_mean = {};
}

load_elsewhere load_estimate::present(load_elsewhere sum, const load_relaxation &relaxation,
                                      core::instant now) const
{
    if (!m_madeAt)
        return sum;
    const auto towardsMean = [&](std::chrono::milliseconds time) {
        return 1 - std::exp(-ratio(now - *m_madeAt, time));
    };
    return {mix(sum.running, m_mean.running, towardsMean(relaxation.running)),
            mix(sum.waitingTokens, m_mean.waitingTokens, towardsMean(relaxation.waiting))};
}

std::optional<std::chrono::milliseconds> load_estimate::age(core::instant now) const
{
    if (!m_madeAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_madeAt);
}

void learnt_speed::record(std::chrono::microseconds observed, std::chrono::microseconds predicted,
                          core::instant now)
{
    if (predicted < minimumPrediction || observed.count() <= 0)
        return;
    const double observation = std::clamp(
        std::log(static_cast<double>(observed.count()) / static_cast<double>(predicted.count())),
        -largestDelay, largestDelay);
    const double kept = std::exp2(-ratio(now - m_observedAt, speedTime)) * (1 - observationWeight);
    // `m_delay` is a sum over observations and has to be divided by their weight.
    m_delay = m_delay * kept + observation * observationWeight;
    m_weight = m_weight * kept + observationWeight;
    m_observedAt = now;
}

double learnt_speed::delay(core::instant now) const
{
    // The sum without division is the mean shrunk towards 0 by the weight that is missing.
    return m_delay * std::exp2(-ratio(now - m_observedAt, speedTime));
}

double learnt_speed::speed(double meanDelay, core::instant now) const
{
    const double share = m_weight * std::exp2(-ratio(now - m_observedAt, speedTime));
    return std::clamp(std::exp(meanDelay * share - delay(now)), slowest, fastest);
}

} // namespace quetzalcleat::policy
