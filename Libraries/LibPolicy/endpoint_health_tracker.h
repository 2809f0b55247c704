#pragma once

#include "LibPolicy/policy_options.h"
#include "LibPolicy/policy_views.h"

#include <cstdint>

namespace quetzalcleat::policy {

/// Moving average of a latency in milliseconds, with the number of its samples.
struct latency_average
{
    double milliseconds = 0;
    std::uint32_t samples = 0;

    void add(double sample)
    {
        constexpr double weight = 0.2;
        milliseconds = samples == 0 ? sample : milliseconds + weight * (sample - milliseconds);
        ++samples;
    }
};

/// Health of one endpoint: healthy, ejected, half-open with one probe at a time, slow start.
class endpoint_health_tracker
{
public:
    endpoint_health health() const { return m_health; }

    /// Changes the state when a period has ended: ejected to half-open, slow start to healthy.
    void advance(const policy_options &options, core::instant now);

    /// Fraction of the capacity that may be used: below 1 during slow start, 0 while ejected.
    double usableFraction(const policy_options &options, core::instant now) const;

    /// Each ejection in a row lasts twice as long as the one before.
    void eject(const policy_options &options, core::instant now);

    /// Resets all state and starts slowly: the endpoint is new or was restarted.
    void beginSlowStart(core::instant now);

    bool acceptsProbe() const { return m_health == endpoint_health::HalfOpen && !m_probing; }
    /// Time since the ejection ended; only meaningful while half-open.
    core::instant::duration halfOpenFor(core::instant now) const { return now - m_ejectedUntil; }
    void probeStarted() { m_probing = true; }

    /// The probe ended without a result, for example because its caller disconnected.
    void probeAbandoned() { m_probing = false; }
    void probeSucceeded(core::instant now);

    void countFailure() { ++m_consecutiveFailures; }
    void countSuccess() { m_consecutiveFailures = 0; }
    std::uint32_t consecutiveFailures() const { return m_consecutiveFailures; }

    latency_average firstToken; ///< Normalised by the prompt length.
    latency_average betweenTokens;
    double ratioToPeers = 1; ///< Latency against the median of the peers; set by the detector.

private:
    endpoint_health m_health = endpoint_health::Healthy;
    core::instant m_slowStartSince{};
    core::instant m_ejectedUntil{};
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveEjections = 0;
    bool m_probing = false;
};

} // namespace quetzalcleat::policy
