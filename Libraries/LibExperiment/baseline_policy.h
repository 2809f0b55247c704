#pragma once

#include "LibExperiment/decision_policy.h"
#include "LibPolicy/policy_error.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace quetzalcleat::experiment {

/// Selects endpoints in turn.
class round_robin_selector
{
public:
    std::size_t select(const std::vector<std::uint32_t> &candidates,
                       const std::vector<std::uint32_t> & /*inFlight*/)
    {
        return m_next++ % candidates.size();
    }

private:
    std::size_t m_next = 0;
};

/// Selects the endpoint with the fewest attempts of this host in flight.
class least_in_flight_selector
{
public:
    std::size_t select(const std::vector<std::uint32_t> &candidates,
                       const std::vector<std::uint32_t> &inFlight)
    {
        // Starts at another candidate each time so that ties are spread evenly.
        const auto offset = m_next++ % candidates.size();
        std::size_t best = offset;
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const auto index = (offset + step) % candidates.size();
            if (inFlight[candidates[index]] < inFlight[candidates[best]])
                best = index;
        }
        return best;
    }

private:
    std::size_t m_next = 0;
};

/// A simple router as a baseline: one FIFO queue, no tiers, no rate limits, no prefix affinity.
///
/// Like a common load balancer it skips leaving endpoints, limits its own attempts per endpoint,
/// retries before the first byte and drops requests past their deadline.
template <typename Selector>
class baseline_policy
{
public:
    explicit baseline_policy(std::uint64_t /*seed*/) { }

    void configure(const inventory::document &document, const policy::host_location & /*self*/,
                   core::instant /*now*/)
    {
        m_document = document;
        m_inFlight.assign(document.endpoints.size(), 0);
        m_leaving.assign(document.endpoints.size(), false);
    }

    core::result<policy::request_id> submit(policy::request_spec spec, core::instant now)
    {
        if (m_queue.size() >= queueLimit)
            return policy::policy_error::QueueFull;
        const policy::request_id id{++m_lastId};
        const auto deadline = m_document.classes[spec.requestClass.value].deadline;
        m_requests.emplace(id,
                           request_state{std::move(spec), now + deadline, std::nullopt, 0, false});
        m_queue.push_back(id);
        return id;
    }

    void cancel(policy::request_id request, core::instant /*now*/)
    {
        release(request);
        m_requests.erase(request);
        std::erase(m_queue, request);
    }

    void reportFirstToken(policy::request_id request, core::instant /*now*/)
    {
        if (const auto found = m_requests.find(request); found != m_requests.end())
            found->second.started = true;
    }

    void reportTokens(policy::request_id /*request*/, std::uint32_t /*count*/,
                      core::instant /*now*/)
    {
    }

    bool reportFinished(policy::request_id request, policy::attempt_outcome outcome,
                        core::instant /*now*/)
    {
        release(request);
        const auto found = m_requests.find(request);
        if (found == m_requests.end())
            return false;
        const bool mayRetry = outcome == policy::attempt_outcome::RetryBeforeFirstByte
            && !found->second.started && found->second.attempts < maximumAttempts;
        if (mayRetry) {
            m_queue.push_front(request);
            return true;
        }
        m_requests.erase(found);
        return false;
    }

    void reportLoad(policy::endpoint_id /*endpoint*/, const policy::load_report & /*report*/,
                    core::instant /*now*/)
    {
    }

    void reportCacheEvent(policy::endpoint_id /*endpoint*/, const policy::cache_event & /*event*/,
                          core::instant /*now*/)
    {
    }

    void reportEndpointState(std::string_view endpointName, policy::state_source /*source*/,
                             policy::endpoint_state state, std::uint64_t /*incarnation*/,
                             core::instant /*now*/)
    {
        for (std::size_t index = 0; index < m_document.endpoints.size(); ++index) {
            if (m_document.endpoints[index].name == endpointName)
                m_leaving[index] = state == policy::endpoint_state::Leaving;
        }
    }

    std::vector<policy::decision> tick(core::instant now)
    {
        std::vector<policy::decision> decisions;
        for (auto next = m_queue.begin(); next != m_queue.end();) {
            auto &request = m_requests.at(*next);
            policy::decision decision;
            decision.request = *next;
            if (request.deadline <= now) {
                decision.kind = policy::decision_kind::Expire;
                decision.reason = policy::decision_reason::DeadlinePassed;
                decisions.push_back(decision);
                m_requests.erase(*next);
                next = m_queue.erase(next);
                continue;
            }
            const auto candidates = candidatesFor(request.spec);
            if (candidates.empty()) {
                // A full pool of endpoints must not block requests for another pool. Within a pool
                // the order stays first in, first out.
                ++next;
                continue;
            }
            const auto endpoint = candidates[m_selector.select(candidates, m_inFlight)];
            ++m_inFlight[endpoint];
            ++request.attempts;
            request.endpoint = endpoint;
            decision.endpoint = policy::endpoint_id{endpoint};
            decisions.push_back(decision);
            next = m_queue.erase(next);
        }
        return decisions;
    }

private:
    static constexpr std::size_t queueLimit = 1024;
    static constexpr std::uint32_t maximumAttempts = 3;

    struct request_state
    {
        policy::request_spec spec;
        core::instant deadline;
        std::optional<std::uint32_t> endpoint;
        std::uint32_t attempts = 0;
        bool started = false;
    };

    std::vector<std::uint32_t> candidatesFor(const policy::request_spec &spec) const
    {
        std::vector<std::uint32_t> candidates;
        for (std::uint32_t index = 0; index < m_document.endpoints.size(); ++index) {
            const auto &endpoint = m_document.endpoints[index];
            if (m_leaving[index] || m_inFlight[index] >= endpoint.capacity)
                continue;
            const bool serves = spec.service.empty()
                ? std::ranges::find(endpoint.models, spec.model) != endpoint.models.end()
                : endpoint.service == spec.service;
            if (serves)
                candidates.push_back(index);
        }
        return candidates;
    }

    void release(policy::request_id request)
    {
        const auto found = m_requests.find(request);
        if (found == m_requests.end() || !found->second.endpoint)
            return;
        --m_inFlight[*found->second.endpoint];
        found->second.endpoint.reset();
    }

    inventory::document m_document;
    std::map<policy::request_id, request_state> m_requests;
    std::deque<policy::request_id> m_queue;
    std::vector<std::uint32_t> m_inFlight;
    std::vector<bool> m_leaving;
    Selector m_selector;
    std::uint64_t m_lastId = 0;
};

using round_robin_policy = baseline_policy<round_robin_selector>;
using least_in_flight_policy = baseline_policy<least_in_flight_selector>;

} // namespace quetzalcleat::experiment
