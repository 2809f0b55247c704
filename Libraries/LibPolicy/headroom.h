#pragma once

#include "LibCore/time.h"
#include "LibPolicy/policy_options.h"

#include <algorithm>
#include <chrono>

namespace quetzalcleat::policy {

/// Slots of a pool that lower tiers leave free for the top tier.
///
/// While every slot is always taken, each request of the top tier waits until one becomes free,
/// and misses a short target although its own demand fits. The number grows with each top-tier
/// request that was dispatched late and shrinks with each that was not, so that about
/// policy_options::toleratedLateFraction of them are late.
class headroom
{
public:
    void recordTopTierDispatch(bool late, double usableSlots, const policy_options &options)
    {
        const double step
            = late ? options.headroomStep : -options.headroomStep * options.toleratedLateFraction;
        m_slots = std::clamp(m_slots + step, 0.0, usableSlots * options.maximumHeadroomFraction);
    }

    /// Shrinks while the top tier sends nothing.
    void decay(core::instant now, const policy_options &options)
    {
        const std::chrono::duration<double> elapsed = now - m_decayedAt;
        m_decayedAt = now;
        m_slots = std::max(0.0, m_slots - elapsed.count() * options.headroomDecayPerSecond);
    }

    double slots() const { return m_slots; }

private:
    double m_slots = 0;
    core::instant m_decayedAt{};
};

} // namespace quetzalcleat::policy
