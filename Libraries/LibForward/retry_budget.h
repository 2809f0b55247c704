#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace quetzalcleat::forward {

struct retry_limits
{
    double ratio = 0.2; ///< Second sends per request.
    std::chrono::milliseconds window{10'000};
    double slack = 10; ///< Second sends allowed in a window beside the ratio, over all hosts.
    /// Part of `slack` that this host may use, so that all hosts together stay within it.
    double slackShare = 0.1;
};

/// Bounds how often this host sends requests to a second endpoint of a service. Each host only uses
/// its own requests for the ratio and its own part of the slack, so the sum over all hosts stays
/// within the limits without a message between them.
///
/// Pure: time is passed in.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits) { }

    void recordRequest(const std::string &service, core::instant now);

    /// Takes one second send, if one is left.
    bool tryAcquire(const std::string &service, core::instant now);

    void setSlackShare(double share) { m_limits.slackShare = share; }

private:
    struct history
    {
        std::deque<core::instant> requests;
        std::deque<core::instant> retries;
    };

    history &prunedHistory(const std::string &service, core::instant now);

    retry_limits m_limits;
    std::map<std::string, history> m_services;
};

} // namespace quetzalcleat::forward
