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
    double ratio = 0.2; ///< Retries per request.
    std::chrono::milliseconds window{10'000};
    double additionalRetries = 10; ///< Per window on top of ratio x requests, over all hosts.
    /// Share of `additionalRetries` for this host, so that all hosts together stay within it.
    double additionalRetriesShare = 0.1;
};

/// Limits how often this host retries requests of a service at another endpoint. Each host uses
/// only its own requests for the ratio and its own share of the additional retries, so the sum over
/// all hosts stays within the limits without communication.
///
/// Reads no clock: the time is passed in.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits) { }

    void recordRequest(const std::string &service, core::instant now);

    /// Takes one retry from the budget, if one is left.
    bool tryAcquire(const std::string &service, core::instant now);

    void setAdditionalRetriesShare(double share) { m_limits.additionalRetriesShare = share; }

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
