#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace quetzalcleat::forward {

/// Counts what this host sends to engines and what endpoints run, for the duties of the fleet.
/// Counts nothing until it is enabled.
class work_counters
{
public:
    /// Work sent to the engines of a service since the start, including repeated attempts.
    struct service_work
    {
        std::uint64_t requests = 0;
        std::uint64_t prefillTokens = 0; ///< Prompt tokens not expected in the cache of the engine.
        std::uint64_t outputTokens = 0; ///< As expected when the request was sent.
    };
    using run_handler = std::function<void(const std::string &account)>;

    /// The handler is called for each request that an endpoint began to run, once.
    void enable(run_handler ran) { m_ran = std::move(ran); }

    void recordSent(const std::string &service, std::uint64_t prefillTokens,
                    std::uint64_t outputTokens)
    {
        if (!m_ran || (m_services.size() >= maximumServices && !m_services.contains(service)))
            return;
        auto &work = m_services[service];
        ++work.requests;
        work.prefillTokens += prefillTokens;
        work.outputTokens += outputTokens;
    }

    void recordRun(const std::string &account) const
    {
        if (m_ran)
            m_ran(account);
    }

    const std::map<std::string, service_work> &services() const { return m_services; }

private:
    /// Of all configurations since the start.
    static constexpr std::size_t maximumServices = 1024;

    run_handler m_ran;
    std::map<std::string, service_work> m_services;
};

} // namespace quetzalcleat::forward
