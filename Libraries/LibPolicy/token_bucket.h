#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <optional>

namespace quetzalcleat::policy {

/// Token bucket that refills with time. Unlimited until configured with a rate.
class token_bucket
{
public:
    /// Sets the rate in units per second and the burst in units. The level is kept.
    void configure(std::optional<double> rate, double burst, core::instant now);

    /// Whether the amount may be taken. An amount above the burst needs a full bucket and
    /// makes the level negative, so that it is delayed and not refused forever.
    bool allows(double amount, core::instant now) const;

    /// Takes the amount, or gives back a negative one.
    void take(double amount, core::instant now);

    /// Time until allows() holds; a zero rate gives one hour.
    std::chrono::milliseconds timeUntilAllowed(double amount, core::instant now) const;

private:
    double levelAt(core::instant now) const;

    bool m_limited = false;
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    core::instant m_updatedAt{};
};

} // namespace quetzalcleat::policy
