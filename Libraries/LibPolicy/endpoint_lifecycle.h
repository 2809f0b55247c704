#pragma once

#include "LibPolicy/policy_types.h"

#include <algorithm>
#include <cstdint>

namespace quetzalcleat::policy {

/// Whether an endpoint is leaving. The first Leaving from any source holds until a new
/// incarnation, because other sources may lag and still report Live.
class endpoint_lifecycle
{
public:
    /// Returns true if the report shows a new incarnation.
    bool report(endpoint_state state, std::uint64_t incarnation)
    {
        const std::uint64_t reported = incarnation == 0 ? m_incarnation : incarnation;
        if (reported < m_incarnation)
            return false;
        const bool isNew = reported > m_incarnation;
        if (isNew)
            m_leaving = false;
        m_incarnation = reported;
        m_leaving = m_leaving || state == endpoint_state::Leaving;
        return isNew;
    }

    bool isLeaving() const { return m_leaving; }
    std::uint64_t incarnation() const { return m_incarnation; }

private:
    std::uint64_t m_incarnation = 0;
    bool m_leaving = false;
};

} // namespace quetzalcleat::policy
