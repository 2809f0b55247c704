#pragma once

#include "LibExperiment/arrivals.h"
#include "LibExperiment/decision_policy.h"
#include "LibExperiment/report.h"
#include "LibExperiment/scenario.h"
#include "LibExperiment/service_queue.h"
#include "LibExperiment/workload.h"
#include "LibFakes/engine_model.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>

namespace quetzalcleat::experiment {

namespace detail {

constexpr std::chrono::milliseconds tickInterval{10};
constexpr std::chrono::milliseconds loadPollInterval{250};
constexpr std::chrono::milliseconds cachePollInterval{500};
constexpr std::chrono::milliseconds localDelay{1};
constexpr std::chrono::milliseconds regionDelay{20};
constexpr std::chrono::milliseconds callerDelay{1};
/// In a network partition, new attempts end by a connect timeout, running ones by a progress
/// timeout.
constexpr std::chrono::milliseconds connectTimeout{1000};
constexpr std::chrono::milliseconds progressTimeout{2000};
constexpr std::chrono::seconds engineRestartTime{10};
constexpr std::chrono::seconds platformListLag{2};
constexpr std::chrono::seconds drainTime{15};
constexpr std::chrono::seconds settleTime{90};
constexpr std::uint32_t bytesPerStreamedToken = 60;
constexpr std::uint32_t bytesPerPromptToken = 4;
constexpr std::uint32_t maximumResends = 2;
constexpr std::size_t gapSamplingStep = 7;

} // namespace detail

/// Runs a workload against one policy per entry host and models of the endpoints, in one thread and
/// in virtual time. The network is modelled by delays and the partition of one data centre.
template <decision_policy Policy>
class virtual_experiment
{
public:
    virtual_experiment(const inventory::document &document, const workload &load,
                       const scenario &conditions, std::string policyName, std::uint64_t seed)
        : m_document(document), m_workload(load), m_conditions(conditions),
          m_arrivals(drawArrivals(load, conditions, document, seed))
    {
        m_report.scenario = conditions.name;
        m_report.policy = std::move(policyName);
        m_report.seed = seed;
        m_report.duration = load.duration;
        for (const auto &entry : load.classes) {
            class_report row;
            row.name = entry.className;
            row.usesEngines = !entry.model.empty();
            row.tierRank = document.tiers[document.classes[classIndex(entry.className)].tier].rank;
            m_report.classes.push_back(row);
        }
        createEndpoints(seed);
        createHosts(seed);
        scheduleFaults();
    }

    run_report run()
    {
        for (std::uint32_t index = 0; index < m_arrivals.size(); ++index)
            at(start + m_arrivals[index].at, [this, index] { receive(index, 0); });
        const auto end = start + m_workload.duration + detail::settleTime;
        while (true) {
            const auto step = nextEndpointStep();
            const auto event
                = m_events.empty() ? std::optional<core::instant>() : m_events.top().at;
            const auto next = earlier(step, event);
            if (!next || *next > end)
                break;
            m_now = *next;
            if (step && (!event || *step <= *event)) {
                advanceEndpoints();
                continue;
            }
            auto action = std::move(const_cast<timed_action &>(m_events.top()).action);
            m_events.pop();
            action();
        }
        finishReport();
        return m_report;
    }

private:
    static constexpr core::instant start{std::chrono::hours{1}};

    struct timed_action
    {
        core::instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const timed_action &other) const
        {
            return std::pair(other.at, other.order) < std::pair(at, order);
        }
    };

    struct simulated_endpoint
    {
        std::optional<fakes::engine_model> model;
        std::optional<service_queue> service;
        std::uint32_t dataCentre = 0;
        bool down = false;
        std::uint64_t cacheSequence = 0;
    };

    /// One transmission of a request by its caller, over all attempts of the router.
    struct caller_request
    {
        std::uint32_t arrival = 0;
        std::uint32_t resends = 0;
        core::instant sentAt; ///< First transmission by the caller.
        std::optional<core::instant> dispatchedAt;
        std::optional<core::instant> firstTokenAt;
        core::instant lastTokenAt;
        std::uint32_t delivered = 0;
        std::optional<std::uint32_t> generationEndpoint;
        std::uint32_t endpoint = 0;
        std::uint64_t attempt = 0; ///< 0 while no attempt is running.
        std::uint32_t attempts = 0;
        bool ended = false;
    };

    struct host_state
    {
        std::unique_ptr<Policy> policy;
        std::uint32_t dataCentre = 0;
        std::map<policy::request_id, std::uint64_t> requests; ///< Index into m_requests.
    };

    struct attempt_state
    {
        std::uint64_t requestIndex = 0;
        std::uint32_t host = 0;
        policy::request_id request;
        std::uint32_t endpoint = 0;
        bool arrivedAtEndpoint = false;
    };

    std::uint32_t classIndex(const std::string &name) const
    {
        const auto found = std::ranges::find(m_document.classes, name,
                                             [](const auto &entry) { return entry.name; });
        return static_cast<std::uint32_t>(found - m_document.classes.begin());
    }

    void createEndpoints(std::uint64_t seed)
    {
        std::uint32_t stragglers = m_conditions.stragglers;
        for (const auto &endpoint : m_document.endpoints) {
            simulated_endpoint state;
            state.dataCentre = endpoint.dataCentre;
            if (endpoint.kind == inventory::endpoint_kind::Engine) {
                state.model.emplace(engineOptions(endpoint, m_conditions, seed), start);
                if (stragglers > 0) {
                    --stragglers;
                    state.model->setSlowdown(m_conditions.stragglerSlowdown);
                }
            } else {
                state.service.emplace(endpoint.capacity);
            }
            m_endpoints.push_back(std::move(state));
        }
        at(start + detail::loadPollInterval, [this] { pollLoad(); });
        at(start + detail::cachePollInterval, [this] { pollCacheEvents(); });
    }

    void createHosts(std::uint64_t seed)
    {
        for (std::uint32_t index = 0; index < m_document.hosts.size(); ++index) {
            const auto &host = m_document.hosts[index];
            host_state state;
            state.dataCentre = host.dataCentre;
            state.policy = std::make_unique<Policy>(seed * 1000 + index);
            state.policy->configure(
                m_document, {host.name, m_document.dataCentres[host.dataCentre].name}, start);
            m_hosts.push_back(std::move(state));
            // The ticks of the hosts are staggered.
            at(start + detail::tickInterval + std::chrono::microseconds(700 * index),
               [this, index] { tickPeriodically(index); });
        }
    }

    void scheduleFaults()
    {
        const auto third = m_workload.duration / 3;
        if (m_conditions.cutDataCentre) {
            at(start + third, [this] { startPartition(); });
            at(start + 2 * third, [this] { m_partitioned = false; });
        }
        std::uint32_t crashes = m_conditions.crashes;
        // The last engines crash, so that the stragglers, which are the first ones, keep running.
        for (std::size_t index = m_endpoints.size(); index-- > 0 && crashes > 0;) {
            if (!m_endpoints[index].model)
                continue;
            --crashes;
            at(start + m_workload.duration / 2, [this, index] { crash(index); });
        }
        if (!m_conditions.drainHalf)
            return;
        auto leaveAt = start + std::chrono::seconds{10};
        for (std::uint32_t index = 0; index < m_endpoints.size(); index += 2) {
            if (!m_endpoints[index].model)
                continue;
            at(leaveAt, [this, index] { beginDrain(index); });
            leaveAt += std::chrono::seconds{10};
        }
    }

    // Time and network

    static std::optional<core::instant> earlier(std::optional<core::instant> left,
                                                std::optional<core::instant> right)
    {
        if (!left || !right)
            return left ? left : right;
        return std::min(*left, *right);
    }

    template <typename Action>
    void at(core::instant when, Action action)
    {
        m_events.push({when, ++m_lastEventOrder, std::move(action)});
    }

    template <typename Action>
    void after(std::chrono::nanoseconds delay, Action action)
    {
        at(m_now + delay, std::move(action));
    }

    std::chrono::milliseconds delayBetween(std::uint32_t left, std::uint32_t right) const
    {
        return sameRegion(left, right) ? detail::localDelay : detail::regionDelay;
    }

    bool sameRegion(std::uint32_t left, std::uint32_t right) const
    {
        return m_document.dataCentres[left].region == m_document.dataCentres[right].region;
    }

    bool connected(std::uint32_t left, std::uint32_t right) const
    {
        return !m_partitioned || left == right || (left != 0 && right != 0);
    }

    // Endpoints

    std::optional<core::instant> nextEndpointStep() const
    {
        std::optional<core::instant> next;
        for (const auto &endpoint : m_endpoints) {
            next = earlier(
                next, endpoint.model ? endpoint.model->nextStepEnd() : endpoint.service->nextEnd());
        }
        return next;
    }

    void advanceEndpoints()
    {
        for (auto &endpoint : m_endpoints) {
            if (endpoint.model) {
                const auto next = endpoint.model->nextStepEnd();
                if (next && *next <= m_now)
                    deliver(endpoint, endpoint.model->advance(m_now));
                continue;
            }
            for (const auto &call : endpoint.service->advance(m_now)) {
                deliver(endpoint,
                        {{m_now, fakes::engine_event_kind::Token, call.id, 0},
                         {m_now, fakes::engine_event_kind::Finished, call.id, 1}});
            }
        }
    }

    /// Sends the events of one step to the hosts, one batch per network delay.
    void deliver(const simulated_endpoint &endpoint, const std::vector<fakes::engine_event> &events)
    {
        std::map<std::chrono::milliseconds, std::vector<fakes::engine_event>> byDelay;
        for (const auto &event : events) {
            const auto attempt = m_attempts.find(event.request);
            if (attempt == m_attempts.end())
                continue;
            const auto hostDataCentre = m_hosts[attempt->second.host].dataCentre;
            if (!connected(endpoint.dataCentre, hostDataCentre))
                continue;
            byDelay[delayBetween(endpoint.dataCentre, hostDataCentre)].push_back(event);
        }
        for (auto &[delay, batch] : byDelay) {
            after(delay, [this, batch = std::move(batch)] {
                for (const auto &event : batch)
                    receiveEvent(event);
            });
        }
    }

    void crash(std::size_t index)
    {
        auto &endpoint = m_endpoints[index];
        endpoint.down = true;
        deliver(endpoint, endpoint.model->crash(m_now));
        after(detail::engineRestartTime, [this, index] { m_endpoints[index].down = false; });
    }

    void beginDrain(std::uint32_t index)
    {
        m_endpoints[index].model->setLeaving(true);
        after(detail::platformListLag,
              [this, index] { reportState(index, policy::endpoint_state::Leaving); });
        after(detail::drainTime, [this, index] {
            auto &endpoint = m_endpoints[index];
            deliver(endpoint, endpoint.model->crash(m_now));
            reportState(index, policy::endpoint_state::Live);
        });
    }

    void reportState(std::uint32_t index, policy::endpoint_state state)
    {
        for (auto &host : m_hosts)
            host.policy->reportEndpointState(m_document.endpoints[index].name,
                                             policy::state_source::Platform, state,
                                             m_endpoints[index].model->incarnation(), m_now);
    }

    void startPartition()
    {
        m_partitioned = true;
        for (const auto &[id, attempt] : m_attempts) {
            if (connected(m_endpoints[attempt.endpoint].dataCentre,
                          m_hosts[attempt.host].dataCentre))
                continue;
            after(detail::progressTimeout, [this, id = id] { failAttempt(id); });
        }
    }

    void pollLoad()
    {
        for (std::uint32_t index = 0; index < m_endpoints.size(); ++index) {
            auto &endpoint = m_endpoints[index];
            if (!endpoint.model || endpoint.down)
                continue;
            (void)endpoint.model->advance(m_now);
            const auto load = endpoint.model->load(m_now);
            policy::load_report report;
            report.incarnation = load.incarnation;
            report.running = load.running;
            report.waiting = load.waiting;
            report.usedBlocks = load.usedBlocks;
            report.totalBlocks = load.totalBlocks;
            report.models.assign(load.models.begin(), load.models.end());
            const auto age
                = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - load.sampledAt);
            sendToReachableHosts(endpoint, [=, this](host_state &host) {
                auto aged = report;
                aged.age = age + delayBetween(m_endpoints[index].dataCentre, host.dataCentre);
                host.policy->reportLoad(policy::endpoint_id{index}, aged, m_now);
            });
        }
        after(detail::loadPollInterval, [this] { pollLoad(); });
    }

    void pollCacheEvents()
    {
        for (std::uint32_t index = 0; index < m_endpoints.size(); ++index) {
            auto &endpoint = m_endpoints[index];
            if (!endpoint.model || endpoint.down)
                continue;
            const auto notices = endpoint.model->cacheEventsAfter(endpoint.cacheSequence, m_now);
            if (notices.empty())
                continue;
            endpoint.cacheSequence = notices.back().sequence;
            std::vector<policy::cache_event> events;
            events.reserve(notices.size());
            for (const auto &notice : notices)
                events.push_back({notice.sequence, kindOf(notice.change), notice.block});
            sendToReachableHosts(endpoint, [=, this](host_state &host) {
                for (const auto &event : events)
                    host.policy->reportCacheEvent(policy::endpoint_id{index}, event, m_now);
            });
        }
        after(detail::cachePollInterval, [this] { pollCacheEvents(); });
    }

    static policy::cache_event_kind kindOf(fakes::cache_event_kind change)
    {
        switch (change) {
        case fakes::cache_event_kind::Stored:
            return policy::cache_event_kind::Stored;
        case fakes::cache_event_kind::Evicted:
            return policy::cache_event_kind::Evicted;
        case fakes::cache_event_kind::Cleared:
            return policy::cache_event_kind::Cleared;
        }
        return policy::cache_event_kind::Cleared;
    }

    template <typename Action>
    void sendToReachableHosts(const simulated_endpoint &endpoint, Action action)
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (!connected(endpoint.dataCentre, m_hosts[index].dataCentre))
                continue;
            after(delayBetween(endpoint.dataCentre, m_hosts[index].dataCentre),
                  [this, index, action] { action(m_hosts[index]); });
        }
    }

    // Requests

    class_report &reportOf(const caller_request &request)
    {
        return m_report.classes[m_arrivals[request.arrival].workloadClass];
    }

    void receive(std::uint32_t arrivalIndex, std::uint32_t resends,
                 std::optional<core::instant> firstSent = std::nullopt)
    {
        caller_request request;
        request.arrival = arrivalIndex;
        request.resends = resends;
        request.sentAt = firstSent.value_or(m_now);
        m_requests.push_back(request);
        if (resends == 0)
            ++reportOf(request).offered;
        const auto index = m_requests.size() - 1;
        after(detail::callerDelay, [this, index] { submit(index); });
        if (m_conditions.callerTimeout.count() > 0)
            after(m_conditions.callerTimeout, [this, index] { giveUp(index); });
    }

    void submit(std::uint64_t index)
    {
        auto &request = m_requests[index];
        const auto &source = m_arrivals[request.arrival];
        const auto &load = m_workload.classes[source.workloadClass];
        auto &host = m_hosts[source.host];
        policy::request_spec spec;
        spec.requestId = std::to_string(index);
        spec.account.value = source.account;
        spec.requestClass.value = source.requestClass;
        spec.model = load.model;
        spec.service = load.service;
        spec.promptTokens = source.promptTokens;
        spec.maximumOutputTokens = load.output.maximum;
        spec.prefixBlocks = source.prefixBlocks;
        spec.bytes = source.promptTokens * detail::bytesPerPromptToken;
        spec.repeatable = source.repeatable;
        const auto id = host.policy->submit(std::move(spec), m_now);
        if (!id) {
            ++reportOf(request).refused;
            endRequest(request);
            return;
        }
        host.requests[id.value()] = index;
        tick(source.host);
    }

    void tickPeriodically(std::uint32_t host)
    {
        tick(host);
        after(detail::tickInterval, [this, host] { tickPeriodically(host); });
    }

    void tick(std::uint32_t hostIndex)
    {
        auto &host = m_hosts[hostIndex];
        for (const auto &decision : host.policy->tick(m_now)) {
            const auto found = host.requests.find(decision.request);
            if (found == host.requests.end())
                continue;
            const auto index = found->second;
            auto &request = m_requests[index];
            checkTiers(host, decision);
            switch (decision.kind) {
            case policy::decision_kind::Dispatch:
                dispatch(hostIndex, index, decision);
                break;
            case policy::decision_kind::Preempt:
                ++m_report.preemptions;
                abortAttempt(request);
                break;
            case policy::decision_kind::Shed:
                ++reportOf(request).shed;
                host.requests.erase(found);
                endRequest(request);
                break;
            case policy::decision_kind::Expire:
                ++reportOf(request).expired;
                host.requests.erase(found);
                endRequest(request);
                break;
            }
        }
    }

    void checkTiers(const host_state &host, const policy::decision &decision)
    {
        if (decision.kind != policy::decision_kind::Shed
            && decision.kind != policy::decision_kind::Preempt)
            return;
        const auto rank = [&](policy::request_id id) {
            const auto found = host.requests.find(id);
            return found == host.requests.end() ? 0 : reportOf(m_requests[found->second]).tierRank;
        };
        if (!decision.beneficiary || rank(*decision.beneficiary) > rank(decision.request))
            ++m_report.tierViolations;
    }

    void dispatch(std::uint32_t hostIndex, std::uint64_t index, const policy::decision &decision)
    {
        auto &request = m_requests[index];
        const auto endpointIndex = decision.endpoint.value;
        const auto &endpoint = m_endpoints[endpointIndex];
        const auto hostDataCentre = m_hosts[hostIndex].dataCentre;
        if (!request.dispatchedAt)
            recordWait(request);
        request.dispatchedAt = request.dispatchedAt.value_or(m_now);
        if (request.delivered > 0 && request.generationEndpoint != endpointIndex)
            ++m_report.crossEngineResumptions;
        if (request.attempts++ > 0)
            ++m_report.retries;
        request.endpoint = endpointIndex;
        request.attempt = ++m_lastAttemptId;
        const auto attempt = request.attempt;
        m_attempts[attempt] = {index, hostIndex, decision.request, endpointIndex, false};
        const auto &source = m_arrivals[request.arrival];
        if (!sameRegion(endpoint.dataCentre, hostDataCentre))
            m_report.crossRegionBytes
                += std::uint64_t{source.promptTokens} * detail::bytesPerPromptToken;
        if (!connected(endpoint.dataCentre, hostDataCentre)) {
            after(detail::connectTimeout, [this, attempt] { failAttempt(attempt); });
            return;
        }
        after(delayBetween(endpoint.dataCentre, hostDataCentre),
              [this, attempt, priority = decision.priority] { begin(attempt, priority); });
    }

    void begin(std::uint64_t attemptId, std::uint32_t priority)
    {
        const auto found = m_attempts.find(attemptId);
        if (found == m_attempts.end())
            return;
        auto &attempt = found->second;
        attempt.arrivedAtEndpoint = true;
        auto &endpoint = m_endpoints[attempt.endpoint];
        const auto &request = m_requests[attempt.requestIndex];
        const auto &source = m_arrivals[request.arrival];
        const auto replyDelay = delayBetween(endpoint.dataCentre, m_hosts[attempt.host].dataCentre);
        if (endpoint.service) {
            endpoint.service->submit(attemptId, source.serviceTime, m_now);
            return;
        }
        if (endpoint.down) {
            after(replyDelay, [this, attemptId] { failAttempt(attemptId); });
            return;
        }
        fakes::generation_request generation;
        generation.id = attemptId;
        generation.model = m_workload.classes[source.workloadClass].model;
        generation.promptTokens = source.promptTokens;
        generation.prefixBlocks = source.prefixBlocks;
        generation.outputTokens = source.outputTokens;
        generation.priority = priority;
        generation.resumeFrom = request.delivered;
        generation.isRepeated = request.attempts > 1;
        if (!endpoint.model->submit(std::move(generation), m_now))
            after(replyDelay, [this, attemptId] { failAttempt(attemptId); });
    }

    void receiveEvent(const fakes::engine_event &event)
    {
        const auto found = m_attempts.find(event.request);
        if (found == m_attempts.end())
            return;
        const auto attempt = found->second;
        auto &request = m_requests[attempt.requestIndex];
        auto &host = m_hosts[attempt.host];
        switch (event.kind) {
        case fakes::engine_event_kind::Token:
            receiveToken(request, attempt, host);
            return;
        case fakes::engine_event_kind::Finished:
            m_attempts.erase(found);
            request.attempt = 0;
            host.policy->reportFinished(attempt.request, policy::attempt_outcome::Completed, m_now);
            host.requests.erase(attempt.request);
            complete(request);
            tick(attempt.host);
            return;
        case fakes::engine_event_kind::Aborted:
            failAttempt(event.request);
            return;
        }
    }

    void receiveToken(caller_request &request, const attempt_state &attempt, host_state &host)
    {
        const auto atCaller = m_now + detail::callerDelay;
        if (!sameRegion(m_endpoints[attempt.endpoint].dataCentre, host.dataCentre))
            m_report.crossRegionBytes += detail::bytesPerStreamedToken;
        if (!request.firstTokenAt) {
            request.firstTokenAt = atCaller;
            host.policy->reportFirstToken(attempt.request, m_now);
        } else if (++m_gapCount % detail::gapSamplingStep == 0) {
            reportOf(request).betweenTokensMilliseconds.push_back(
                std::chrono::duration<double, std::milli>(atCaller - request.lastTokenAt).count());
        }
        host.policy->reportTokens(attempt.request, 1, m_now);
        request.generationEndpoint = attempt.endpoint;
        request.lastTokenAt = atCaller;
        ++request.delivered;
    }

    void failAttempt(std::uint64_t attemptId)
    {
        const auto found = m_attempts.find(attemptId);
        if (found == m_attempts.end())
            return;
        const auto attempt = found->second;
        auto &request = m_requests[attempt.requestIndex];
        auto &host = m_hosts[attempt.host];
        stopAtEndpoint(attemptId, attempt);
        m_attempts.erase(found);
        request.attempt = 0;
        // A call that must not run twice is retried only if it never reached the endpoint.
        const bool mayRetry = m_arrivals[request.arrival].repeatable || !attempt.arrivedAtEndpoint;
        const auto outcome = request.delivered == 0 && mayRetry
            ? policy::attempt_outcome::RetryBeforeFirstByte
            : policy::attempt_outcome::Failed;
        if (host.policy->reportFinished(attempt.request, outcome, m_now)) {
            tick(attempt.host);
            return;
        }
        host.requests.erase(attempt.request);
        ++reportOf(request).broken;
        endRequest(request);
    }

    void abortAttempt(caller_request &request)
    {
        const auto found = m_attempts.find(request.attempt);
        if (found == m_attempts.end())
            return;
        stopAtEndpoint(request.attempt, found->second);
        m_attempts.erase(found);
        request.attempt = 0;
    }

    void stopAtEndpoint(std::uint64_t attemptId, const attempt_state &attempt)
    {
        auto &endpoint = m_endpoints[attempt.endpoint];
        if (!endpoint.model || !attempt.arrivedAtEndpoint)
            return;
        after(delayBetween(endpoint.dataCentre, m_hosts[attempt.host].dataCentre),
              [this, attemptId, index = attempt.endpoint] {
                  m_endpoints[index].model->cancel(attemptId, m_now);
              });
    }

    void giveUp(std::uint64_t index)
    {
        auto &request = m_requests[index];
        if (request.ended || request.firstTokenAt)
            return;
        const auto source = m_arrivals[request.arrival];
        if (!source.repeatable)
            return;
        auto &host = m_hosts[source.host];
        const auto found = std::ranges::find_if(
            host.requests, [&](const auto &entry) { return entry.second == index; });
        if (found != host.requests.end()) {
            const auto policyRequest = found->first;
            host.requests.erase(found);
            abortAttempt(request);
            host.policy->cancel(policyRequest, m_now);
        }
        endRequest(request);
        if (request.resends < detail::maximumResends)
            receive(request.arrival, request.resends + 1, request.sentAt);
        else
            ++reportOf(request).abandoned;
    }

    void complete(caller_request &request)
    {
        auto &row = reportOf(request);
        const auto &rules = m_document.classes[m_arrivals[request.arrival].requestClass];
        ++row.completed;
        const auto firstToken = *request.firstTokenAt - request.sentAt;
        row.firstTokenMilliseconds.push_back(
            std::chrono::duration<double, std::milli>(firstToken).count());
        const auto gaps = std::max<std::uint32_t>(1, request.delivered - 1);
        const auto meanGap = (request.lastTokenAt - *request.firstTokenAt) / gaps;
        const bool withinTargets
            = (!rules.timeToFirstToken || firstToken <= *rules.timeToFirstToken)
            && (!rules.timeBetweenTokens || meanGap <= *rules.timeBetweenTokens)
            && request.lastTokenAt - request.sentAt <= rules.deadline;
        if (withinTargets) {
            ++row.attained;
            row.attainedTokens += request.delivered;
        }
        m_report.deliveredTokens
            += m_workload.classes[m_arrivals[request.arrival].workloadClass].model.empty()
            ? 0
            : request.delivered;
        request.ended = true;
    }

    void endRequest(caller_request &request)
    {
        if (!request.dispatchedAt)
            recordWait(request);
        request.ended = true;
    }

    void recordWait(const caller_request &request)
    {
        auto &longest = reportOf(request).longestWait;
        longest = std::max(
            longest, std::chrono::duration_cast<std::chrono::milliseconds>(m_now - request.sentAt));
    }

    void finishReport()
    {
        for (auto &request : m_requests) {
            if (!request.ended && !request.dispatchedAt)
                recordWait(request);
        }
        for (const auto &endpoint : m_endpoints) {
            if (!endpoint.model)
                continue;
            const auto &totals = endpoint.model->totals();
            m_report.generatedTokens += totals.generatedTokens;
            m_report.prefilledTokens += totals.prefilledTokens;
            m_report.repeatedPrefillTokens += totals.repeatedPrefillTokens;
        }
    }

    const inventory::document &m_document;
    const workload &m_workload;
    scenario m_conditions;
    std::vector<arrival> m_arrivals;
    std::vector<simulated_endpoint> m_endpoints;
    std::vector<host_state> m_hosts;
    std::deque<caller_request> m_requests;
    std::unordered_map<std::uint64_t, attempt_state> m_attempts;
    std::priority_queue<timed_action> m_events;
    std::uint64_t m_lastEventOrder = 0;
    std::uint64_t m_lastAttemptId = 0;
    std::uint64_t m_gapCount = 0;
    core::instant m_now = start;
    bool m_partitioned = false;
    run_report m_report;
};

} // namespace quetzalcleat::experiment
