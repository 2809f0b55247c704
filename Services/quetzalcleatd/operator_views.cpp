#include "quetzalcleatd/operator_views.h"

#include <nlohmann/json.hpp>

namespace quetzalcleat::daemon {

namespace {

using nlohmann::json;

std::string_view nameOf(policy::endpoint_state state)
{
    return state == policy::endpoint_state::Live ? "live" : "leaving";
}

std::string_view nameOf(policy::endpoint_health health)
{
    switch (health) {
    case policy::endpoint_health::Healthy:
        return "healthy";
    case policy::endpoint_health::Ejected:
        return "ejected";
    case policy::endpoint_health::HalfOpen:
        return "half_open";
    case policy::endpoint_health::SlowStart:
        return "slow_start";
    }
    return "unknown";
}

std::string_view nameOf(policy::decision_kind kind)
{
    switch (kind) {
    case policy::decision_kind::Dispatch:
        return "dispatch";
    case policy::decision_kind::Shed:
        return "shed";
    case policy::decision_kind::Preempt:
        return "preempt";
    case policy::decision_kind::Expire:
        return "expire";
    }
    return "unknown";
}

std::string_view nameOf(policy::request_phase phase)
{
    switch (phase) {
    case policy::request_phase::Queued:
        return "queued";
    case policy::request_phase::Running:
        return "running";
    case policy::request_phase::Ended:
        return "ended";
    }
    return "unknown";
}

std::string_view nameOf(policy::decision_reason reason)
{
    switch (reason) {
    case policy::decision_reason::LowestScore:
        return "lowest_score";
    case policy::decision_reason::CachedPrefix:
        return "cached_prefix";
    case policy::decision_reason::OnlyCandidate:
        return "only_candidate";
    case policy::decision_reason::Probe:
        return "probe";
    case policy::decision_reason::Retry:
        return "retry";
    case policy::decision_reason::QueueFull:
        return "queue_full";
    case policy::decision_reason::HigherTierWaiting:
        return "higher_tier_waiting";
    case policy::decision_reason::MinimumShare:
        return "minimum_share";
    case policy::decision_reason::WaitLimit:
        return "wait_limit";
    case policy::decision_reason::DeadlinePassed:
        return "deadline_passed";
    case policy::decision_reason::NoEndpoint:
        return "no_endpoint";
    case policy::decision_reason::EndpointsHeldOff:
        return "endpoints_held_off";
    }
    return "unknown";
}

json endpointJson(const policy::endpoint_view &view)
{
    return {{"name", view.name},
            {"state", nameOf(view.state)},
            {"health", nameOf(view.health)},
            {"incarnation", view.incarnation},
            {"leaving_source", view.leavingSource},
            {"held_off_ms", view.heldOffFor.count()},
            {"capacity", view.capacity},
            {"in_flight", view.inFlight},
            {"foreign_load", view.otherHostsLoad},
            {"time_to_first_token_ms", view.timeToFirstToken.count()},
            {"cached_blocks", view.cachedBlocks},
            {"cache_gaps", view.cacheGaps},
            {"in_subset", view.inSubset}};
}

json stepJson(const policy::explained_step &step, core::instant now)
{
    json candidates = json::array();
    for (const auto &candidate : step.candidates)
        candidates.push_back({{"endpoint", candidate.endpoint}, {"score_ms", candidate.score}});
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - step.at);
    json content{{"decision", step.kind ? json(nameOf(*step.kind)) : json("refuse")},
                 {"age_ms", age.count()},
                 {"waited_ms", step.waited.count()},
                 {"candidates", std::move(candidates)}};
    if (step.refusal)
        content["refusal"] = step.refusal.message();
    else
        content["reason"] = nameOf(step.reason);
    if (!step.endpoint.empty())
        content["endpoint"] = step.endpoint;
    if (!step.beneficiary.empty())
        content["beneficiary"] = step.beneficiary;
    return content;
}

} // namespace

std::string toJson(const policy::dump_view &view)
{
    json endpoints = json::array();
    for (const auto &endpoint : view.endpoints)
        endpoints.push_back(endpointJson(endpoint));
    json classes = json::array();
    for (const auto &entry : view.classes)
        classes.push_back({{"name", entry.name},
                           {"queued", entry.queued},
                           {"running", entry.running},
                           {"longest_wait_ms", entry.longestWait.count()},
                           {"estimated_output_tokens", entry.estimatedOutputTokens}});
    json accounts = json::array();
    for (const auto &account : view.accounts)
        accounts.push_back(
            {{"name", account.name}, {"queued", account.queued}, {"running", account.running}});
    const auto &totals = view.totals;
    return json{{"endpoints", std::move(endpoints)},
                {"classes", std::move(classes)},
                {"callers", std::move(accounts)},
                {"share", view.share},
                {"totals",
                 {{"submitted", totals.submitted},
                  {"refused", totals.refused},
                  {"dispatched", totals.dispatched},
                  {"retried", totals.retried},
                  {"retries_denied", totals.retriesDenied},
                  {"shed", totals.shed},
                  {"preempted", totals.preempted},
                  {"expired", totals.expired},
                  {"ejected", totals.ejected}}}}
        .dump();
}

std::string toJson(const policy::explanation &explanation, core::instant now)
{
    json steps = json::array();
    for (const auto &step : explanation.steps)
        steps.push_back(stepJson(step, now));
    return json{{"request_id", explanation.requestId},
                {"phase", nameOf(explanation.phase)},
                {"steps", std::move(steps)}}
        .dump();
}

std::string toJson(const peer::fleet_status &status, bool leaving)
{
    json hosts = json::array();
    for (const auto &host : status.hosts)
        hosts.push_back({{"host", host.host},
                         {"data_centre", host.dataCentre},
                         {"incarnation", host.incarnation},
                         {"revision", host.revision},
                         {"alive", host.alive},
                         {"age_ms", host.age.count()}});
    return json{{"revision", status.revision},
                {"leader", status.leader},
                {"stale", status.stale},
                {"state", leaving ? "leaving" : "live"},
                {"hosts", std::move(hosts)}}
        .dump();
}

std::string toJson(const std::vector<core::located_error> &errors)
{
    json list = json::array();
    for (const auto &error : errors)
        list.push_back({{"file", error.file},
                        {"line", error.line},
                        {"message", error.code.message()},
                        {"detail", error.detail}});
    return json{{"valid", errors.empty()}, {"errors", std::move(list)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

} // namespace quetzalcleat::daemon
