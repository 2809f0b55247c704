#pragma once

#include <algorithm>

namespace quetzalcleat::policy {

/// Limits retries to a fraction of the first dispatches, so that they do not multiply an overload.
class retry_token_bucket
{
public:
    retry_token_bucket(double share, double reserve)
        : m_share(share), m_reserve(reserve), m_level(reserve)
    {
    }

    void countDispatch() { m_level = std::min(m_reserve, m_level + m_share); }

    bool tryAcquire()
    {
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_level;
};

} // namespace quetzalcleat::policy
