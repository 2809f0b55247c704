#include "LibPolicy/request_limits.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

namespace {

void configureBucket(token_bucket &bucket, std::optional<double> rate, double burst, double share,
                     core::instant now)
{
    if (rate)
        rate = *rate * share;
    bucket.configure(rate, burst, now);
}

} // namespace

void request_limits::configure(const inventory::limits &configuredLimits, double share,
                               core::instant now)
{
    // A share of a burst below one request would refuse every request.
    const double requestBurst
        = share > 0 ? std::max(1.0, configuredLimits.requestBurst * share) : 0;
    configureBucket(m_requests, configuredLimits.requestsPerSecond, requestBurst, share, now);
    // Without a stated burst, one second of the rate may be used at once.
    const double tokenBurst = configuredLimits.tokenBurst > 0
        ? configuredLimits.tokenBurst
        : configuredLimits.tokensPerSecond.value_or(0);
    configureBucket(m_tokens, configuredLimits.tokensPerSecond, tokenBurst * share, share, now);
    m_concurrency.reset();
    if (configuredLimits.concurrency)
        m_concurrency
            = static_cast<std::uint32_t>(std::ceil(*configuredLimits.concurrency * share));
}

} // namespace quetzalcleat::policy
