#pragma once

#include "LibInventory/document.h"
#include "LibPolicy/token_bucket.h"

#include <cstdint>
#include <optional>

namespace quetzalcleat::policy {

/// Limits of one account or one class, scaled by this host's share of the fleet-wide limits.
class request_limits
{
public:
    void configure(const inventory::limits &configuredLimits, double share, core::instant now);

    /// Whether another request may run in addition to `running`.
    bool allowsRunning(std::uint32_t running) const
    {
        return !m_concurrency || running < *m_concurrency;
    }

    token_bucket &requests() { return m_requests; }
    const token_bucket &requests() const { return m_requests; }
    token_bucket &tokens() { return m_tokens; }
    const token_bucket &tokens() const { return m_tokens; }

private:
    token_bucket m_requests;
    token_bucket m_tokens;
    std::optional<std::uint32_t> m_concurrency;
};

} // namespace quetzalcleat::policy
