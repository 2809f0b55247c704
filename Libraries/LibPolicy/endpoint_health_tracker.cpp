#include "LibPolicy/endpoint_health_tracker.h"

#include <algorithm>

namespace quetzalcleat::policy {

void endpoint_health_tracker::advance(const policy_options &options, core::instant now)
{
    if (m_health == endpoint_health::Ejected && now >= m_ejectedUntil) {
        m_health = endpoint_health::HalfOpen;
        m_probing = false;
    }
    if (m_health == endpoint_health::SlowStart && now - m_slowStartSince >= options.slowStart) {
        m_health = endpoint_health::Healthy;
        m_consecutiveEjections = 0;
    }
}

double endpoint_health_tracker::usableFraction(const policy_options &options,
                                               core::instant now) const
{
    switch (m_health) {
    case endpoint_health::Healthy:
        return 1;
    case endpoint_health::SlowStart: {
        constexpr double initialFraction = 0.1;
        const double elapsed = std::chrono::duration<double>(now - m_slowStartSince).count();
        const double duration = std::chrono::duration<double>(options.slowStart).count();
        return std::clamp(elapsed / duration, initialFraction, 1.0);
    }
    case endpoint_health::Ejected:
    case endpoint_health::HalfOpen:
        break;
    }
    return 0;
}

void endpoint_health_tracker::eject(const policy_options &options, core::instant now)
{
    constexpr std::uint32_t maximumDoublings = 10;
    const auto period = options.baseEjectionTime
        * (std::uint32_t{1} << std::min(m_consecutiveEjections, maximumDoublings));
    m_ejectedUntil = now + std::min<std::chrono::milliseconds>(period, options.maximumEjectionTime);
    ++m_consecutiveEjections;
    m_health = endpoint_health::Ejected;
    m_probing = false;
    m_consecutiveFailures = 0;
    // The old samples would eject the endpoint again right after its probe.
    firstToken = {};
    betweenTokens = {};
    ratioToPeers = 1;
}

void endpoint_health_tracker::beginSlowStart(core::instant now)
{
    *this = {};
    m_health = endpoint_health::SlowStart;
    m_slowStartSince = now;
}

void endpoint_health_tracker::probeSucceeded(core::instant now)
{
    m_probing = false;
    m_consecutiveFailures = 0;
    m_health = endpoint_health::SlowStart;
    m_slowStartSince = now;
}

} // namespace quetzalcleat::policy
