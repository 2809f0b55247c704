#include "LibForward/retry_budget.h"

namespace quetzalcleat::forward {

namespace {

/// Share of the ratio that is used. The limit holds in every window over all hosts, and the request
/// rate may fall after a retry. Without this factor the fleet exceeded the limit (969 retries, 962
/// allowed).
constexpr double ratioSafetyFactor = 0.85;

} // namespace

void retry_budget::recordRequest(const std::string &service, core::instant now)
{
    prunedHistory(service, now).requests.push_back(now);
}

bool retry_budget::tryAcquire(const std::string &service, core::instant now)
{
    auto &known = prunedHistory(service, now);
    const auto allowed
        = ratioSafetyFactor * m_limits.ratio * static_cast<double>(known.requests.size())
        + m_limits.additionalRetries * m_limits.additionalRetriesShare;
    if (static_cast<double>(known.retries.size()) + 1 > allowed)
        return false;
    known.retries.push_back(now);
    return true;
}

retry_budget::history &retry_budget::prunedHistory(const std::string &service, core::instant now)
{
    auto &known = m_services[service];
    for (auto *times : {&known.requests, &known.retries}) {
        while (!times->empty() && now - times->front() > m_limits.window)
            times->pop_front();
    }
    return known;
}

} // namespace quetzalcleat::forward
