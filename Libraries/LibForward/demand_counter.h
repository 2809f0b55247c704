#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace quetzalcleat::forward {

/// Work sent to the endpoints of a service since the start of the process.
struct service_work
{
    std::uint64_t requests = 0; ///< Attempts at endpoints.
    std::uint64_t prefillTokens = 0; ///< Prompt tokens not expected in the cache of the engine.
    std::uint64_t outputTokens = 0;
};

/// Counts the work that this host sends to each service. The holder of the duty to order endpoints
/// differentiates the counts of all hosts.
class demand_counter
{
public:
    void recordPlacement(const std::string &service, std::uint64_t prefillTokens)
    {
        auto &work = m_services[service];
        ++work.requests;
        work.prefillTokens += prefillTokens;
    }
    void recordOutput(const std::string &service, std::uint64_t tokens)
    {
        m_services[service].outputTokens += tokens;
    }

    const std::map<std::string, service_work> &services() const { return m_services; }

private:
    std::map<std::string, service_work> m_services;
};

} // namespace quetzalcleat::forward
