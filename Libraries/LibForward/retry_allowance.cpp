#include "LibForward/retry_allowance.h"

namespace quetzalcleat::forward {

void retry_allowance::noteRequest(const std::string &service, core::instant now)
{
    upToDate(service, now).requests.push_back(now);
}

bool retry_allowance::take(const std::string &service, core::instant now)
{
    auto &known = upToDate(service, now);
    const auto allowed = m_limits.ratio * static_cast<double>(known.requests.size())
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
