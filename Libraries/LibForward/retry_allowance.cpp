#include "LibForward/retry_allowance.h"

namespace quetzalcleat::forward {

namespace {

/// Part of the ratio that is used. The limit holds in every window over all hosts; when requests
/// become fewer, a host cannot know that at the time of its second sends. Seen on
/// spennuvir-quetzal-grown scale-1: 969 where 962 were allowed.
constexpr double usedShare = 0.85;

} // namespace

void retry_allowance::noteRequest(const std::string &service, core::instant now)
{
    upToDate(service, now).requests.push_back(now);
}

bool retry_allowance::take(const std::string &service, core::instant now)
{
    auto &known = upToDate(service, now);
    const auto allowed = usedShare * m_limits.ratio * static_cast<double>(known.requests.size())
        + m_limits.slack * m_limits.slackShare;
    if (static_cast<double>(known.repeats.size()) + 1 > allowed)
        return false;
    known.repeats.push_back(now);
    return true;
}

retry_allowance::history &retry_allowance::upToDate(const std::string &service, core::instant now)
{
    auto &known = m_services[service];
    for (auto *times : {&known.requests, &known.repeats}) {
        while (!times->empty() && now - times->front() > m_limits.window)
            times->pop_front();
    }
    return known;
}

} // namespace quetzalcleat::forward
