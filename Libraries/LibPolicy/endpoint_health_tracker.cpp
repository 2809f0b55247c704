#include "LibPolicy/endpoint_health_tracker.h"

#include <algorithm>

namespace quetzalcleat::policy {

void endpoint_health_tracker::advance(const policy_options &options, core::instant now)
{
    if (m_health == endpoint_health::Ejected && now >= m_until) {
        m_health = endpoint_health::HalfOpen;
        m_probing = false;
    }
    if (m_health == endpoint_health::SlowStart && now - m_since >= options.slowStart) {
        m_health = endpoint_health::Healthy;
        m_ejectionsInARow = 0;
    }
}

double endpoint_health_tracker::usablePart(const policy_options &options, core::instant now) const
{
    switch (m_health) {
    case endpoint_health::Healthy:
        return 1;
    case endpoint_health::SlowStart: {
        constexpr double firstPart = 0.1;
        const double elapsed = std::chrono::duration<double>(now - m_since).count();
        const double whole = std::chrono::duration<double>(options.slowStart).count();
        return std::clamp(elapsed / whole, firstPart, 1.0);
    }
    case endpoint_health::Ejected:
    case endpoint_health::HalfOpen:
        break;
    }
    return 0;
}

void endpoint_health_tracker::eject(const policy_options &options, core::instant now)
{
    constexpr std::uint32_t mostDoublings = 10;
    const auto period
        = options.firstEjection * (std::uint32_t{1} << std::min(m_ejectionsInARow, mostDoublings));
    m_until = now + std::min<std::chrono::milliseconds>(period, options.longestEjection);
    ++m_ejectionsInARow;
    m_health = endpoint_health::Ejected;
    m_probing = false;
    m_failures = 0;
    // The old samples would eject it again right after the probe.
    firstToken = {};
    betweenTokens = {};
    ratioToPeers = 1;
}

void endpoint_health_tracker::startSlowly(core::instant now)
{
    *this = {};
    m_health = endpoint_health::SlowStart;
    m_since = now;
}

void endpoint_health_tracker::probeSucceeded(core::instant now)
{
    m_probing = false;
    m_failures = 0;
    m_health = endpoint_health::SlowStart;
    m_since = now;
}

} // namespace quetzalcleat::policy
