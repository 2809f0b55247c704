#include "LibPolicy/duty_lease.h"

#include <algorithm>

namespace quetzalcleat::policy {

std::string_view toString(duty_standing standing)
{
    switch (standing) {
    case duty_standing::MayAct:
        return "may_act";
    case duty_standing::NotLeading:
        return "not_leading";
    case duty_standing::NotAcquired:
        return "not_acquired";
    case duty_standing::Waiting:
        return "waiting";
    }
    return "unknown";
}

duty_standing duty_lease::update(const facts &current, core::instant now)
{
    const auto generation = current.ownGeneration.value_or(0);
    // A number that was lost is never regained, so it need not be remembered.
    if (generation != m_generation) {
        m_generation = generation;
        m_acquiredAt = now;
    }
    if (!current.isConfirmed)
        m_standing = duty_standing::NotLeading;
    else if (m_generation == 0)
        m_standing = duty_standing::NotAcquired;
    else if (remaining(now).count() > 0)
        m_standing = duty_standing::Waiting;
    else
        m_standing = duty_standing::MayAct;
    return m_standing;
}

std::chrono::milliseconds duty_lease::remaining(core::instant now) const
{
    const auto rest = std::chrono::ceil<std::chrono::milliseconds>(m_acquiredAt + m_wait - now);
    return std::max(rest, std::chrono::milliseconds(0));
}

} // namespace quetzalcleat::policy
