#include "LibPolicy/decision_core.h"

#include <algorithm>

namespace quetzalcleat::policy {

decision_core::decision_core(std::uint64_t /*seed*/) { }

void decision_core::configure(const inventory::document &document, const placement_self & /*self*/,
                              core::instant /*now*/)
{
    // FIXME: Match endpoints, callers and classes by name.
    m_document = document;
    m_inFlight.resize(document.endpoints.size());
}

bool decision_core::serves(const inventory::endpoint &endpoint, const request_spec &spec) const
{
    if (!spec.service.empty())
        return endpoint.kind == inventory::endpoint_kind::Service
            && endpoint.service == spec.service;
    return endpoint.kind == inventory::endpoint_kind::Engine
        && std::ranges::find(endpoint.models, spec.model) != endpoint.models.end()
        && (spec.adapter.empty()
            || std::ranges::find(endpoint.adapters, spec.adapter) != endpoint.adapters.end());
}

std::uint32_t decision_core::tierRank(const request_spec &spec) const
{
    return m_document.tiers[m_document.classes[spec.requestClass.value].tier].rank;
}

core::result<request_id> decision_core::submit(request_spec spec, core::instant now)
{
    if (spec.caller.value >= m_document.callers.size())
        return policy_error::UnknownCaller;
    if (spec.requestClass.value >= m_document.classes.size())
        return policy_error::UnknownClass;
    if (std::ranges::none_of(m_document.endpoints,
                             [&](const auto &endpoint) { return serves(endpoint, spec); }))
        return policy_error::NoEndpoint;
    const auto queued = std::ranges::count_if(m_requests, [&](const auto &entry) {
        return !entry.second.running && entry.second.spec.requestClass == spec.requestClass;
    });
    if (queued >= m_document.classes[spec.requestClass.value].queueLength)
        return policy_error::QueueFull;
    const request_id id{++m_lastRequest};
    m_requests.emplace(id, request_state{std::move(spec), now, false, {}, 0, 0});
    return id;
}

std::chrono::milliseconds decision_core::retryAfter(const request_spec & /*spec*/,
                                                    core::instant /*now*/) const
{
    return std::chrono::seconds(1);
}

void decision_core::cancel(request_id request, core::instant /*now*/)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    if (found->second.running)
        --m_inFlight[found->second.endpoint.value];
    m_requests.erase(found);
}

void decision_core::reportFirstToken(request_id /*request*/, core::instant /*now*/) { }

void decision_core::reportTokens(request_id request, std::uint32_t count, core::instant /*now*/)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end())
        found->second.deliveredTokens += count;
}

bool decision_core::reportFinished(request_id request, attempt_outcome outcome, core::instant now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || !found->second.running)
        return false;
    constexpr std::uint32_t maximumAttempts = 3;
    if (outcome == attempt_outcome::RetryBeforeFirstByte && found->second.spec.repeatable
        && found->second.attempts < maximumAttempts) {
        --m_inFlight[found->second.endpoint.value];
        found->second.running = false;
        return true;
    }
    cancel(request, now);
    return false;
}

void decision_core::reportLoad(endpoint_id /*endpoint*/, const load_report & /*report*/,
                               core::instant /*now*/)
{
}

void decision_core::reportCacheEvent(endpoint_id /*endpoint*/, const cache_event & /*event*/,
                                     core::instant /*now*/)
{
}

void decision_core::reportEndpointState(std::string_view endpointName, state_source /*source*/,
                                        endpoint_state state, std::uint64_t incarnation,
                                        core::instant /*now*/)
{
    const auto found = m_leaving.find(endpointName);
    if (state == endpoint_state::Leaving)
        m_leaving.emplace(endpointName, incarnation);
    else if (found != m_leaving.end() && incarnation > found->second)
        m_leaving.erase(found);
}

void decision_core::setShare(double share, core::instant /*now*/)
{
    m_share = std::clamp(share, 0.0, 1.0);
}

std::optional<endpoint_id> decision_core::leastLoaded(const request_spec &spec) const
{
    std::optional<endpoint_id> best;
    for (std::uint32_t index = 0; index < m_document.endpoints.size(); ++index) {
        const auto &endpoint = m_document.endpoints[index];
        if (!serves(endpoint, spec) || m_leaving.contains(endpoint.name)
            || m_inFlight[index] >= endpoint.capacity)
            continue;
        if (!best || m_inFlight[index] < m_inFlight[best->value])
            best = endpoint_id{index};
    }
    return best;
}

std::vector<decision> decision_core::tick(core::instant now)
{
    std::vector<decision> decisions;
    std::vector<std::pair<std::uint32_t, request_id>> order;
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        auto &[id, state] = *entry;
        const auto deadline = m_document.classes[state.spec.requestClass.value].deadline;
        if (!state.running && now >= state.submittedAt + deadline) {
            decision expired{decision_kind::Expire, id, {}, {}, decision_reason::DeadlinePassed};
            expired.retryAfter = retryAfter(state.spec, now);
            decisions.push_back(expired);
            entry = m_requests.erase(entry);
            continue;
        }
        if (!state.running)
            order.emplace_back(tierRank(state.spec), id);
        ++entry;
    }
    std::ranges::sort(order);
    for (const auto &[rank, id] : order) {
        auto &state = m_requests.at(id);
        const auto endpoint = leastLoaded(state.spec);
        if (!endpoint)
            continue;
        state.running = true;
        state.endpoint = *endpoint;
        ++state.attempts;
        ++m_inFlight[endpoint->value];
        decision dispatch{decision_kind::Dispatch, id, *endpoint, {}, decision_reason::LowestScore};
        dispatch.priority = rank;
        decisions.push_back(dispatch);
    }
    return decisions;
}

dump_view decision_core::dump() const
{
    dump_view view;
    view.share = m_share;
    for (std::uint32_t index = 0; index < m_document.endpoints.size(); ++index) {
        const auto &endpoint = m_document.endpoints[index];
        endpoint_view entry;
        entry.name = endpoint.name;
        entry.state
            = m_leaving.contains(endpoint.name) ? endpoint_state::Leaving : endpoint_state::Live;
        entry.capacity = endpoint.capacity;
        entry.inFlight = m_inFlight[index];
        view.endpoints.push_back(std::move(entry));
    }
    return view;
}

std::optional<explanation> decision_core::explain(std::string_view requestId) const
{
    for (const auto &[id, state] : m_requests) {
        if (state.spec.requestId == requestId)
            return explanation{state.spec.requestId,
                               state.running ? request_phase::Running : request_phase::Queued,
                               {}};
    }
    return std::nullopt;
}

} // namespace quetzalcleat::policy
