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

void request_limits::configure(const inventory::limits &bounds, double share, core::instant now)
{
    // A share of a burst below one request would refuse every request.
    const double requestBurst = share > 0 ? std::max(1.0, bounds.requestBurst * share) : 0;
    configureBucket(m_requests, bounds.requestsPerSecond, requestBurst, share, now);
    // Without a stated burst, one second of the rate may be used at once.
    const double tokenBurst
        = bounds.tokenBurst > 0 ? bounds.tokenBurst : bounds.tokensPerSecond.value_or(0);
    configureBucket(m_tokens, bounds.tokensPerSecond, tokenBurst * share, share, now);
    m_concurrency.reset();
    if (bounds.concurrency)
        m_concurrency = static_cast<std::uint32_t>(std::ceil(*bounds.concurrency * share));
}

} // namespace quetzalcleat::policy
