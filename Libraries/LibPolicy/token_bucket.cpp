#include "LibPolicy/token_bucket.h"

#include <algorithm>

namespace quetzalcleat::policy {

void token_bucket::configure(std::optional<double> rate, double burst, core::instant now)
{
    if (!rate) {
        m_limited = false;
        return;
    }
    m_level = m_limited ? std::min(levelAt(now), burst) : burst;
    m_limited = true;
    m_rate = *rate;
    m_burst = burst;
    m_updatedAt = now;
}

double token_bucket::levelAt(core::instant now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::min(m_burst, m_level + m_rate * std::max(0.0, elapsed));
}

bool token_bucket::allows(double amount, core::instant now) const
{
    // The sum of many refills may miss a whole unit by rounding.
    constexpr double roundingSlack = 1e-6;
    return !m_limited || (m_burst > 0 && levelAt(now) + roundingSlack >= std::min(amount, m_burst));
}

void token_bucket::take(double amount, core::instant now)
{
    if (!m_limited)
        return;
    m_level = std::min(m_burst, levelAt(now) - amount);
    m_updatedAt = std::max(m_updatedAt, now);
}

std::chrono::milliseconds token_bucket::timeUntilAllowed(double amount, core::instant now) const
{
    if (allows(amount, now))
        return std::chrono::milliseconds(0);
    constexpr std::chrono::milliseconds maximum = std::chrono::hours(1);
    if (m_rate <= 0 || m_burst <= 0)
        return maximum;
    const double missing = std::min(amount, m_burst) - levelAt(now);
    const double milliseconds = missing / m_rate * 1000 + 1;
    return milliseconds >= static_cast<double>(maximum.count())
        ? maximum
        : std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

} // namespace quetzalcleat::policy
