#pragma once

#include "LibPolicy/decision_core.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quetzalcleat::policy_test {

/// Two regions with one data centre each, two client accounts, and one class per tier.
inline inventory::document makeDocument(std::uint32_t tiers, std::uint32_t localEngines,
                                        std::uint32_t remoteEngines = 0, std::uint32_t capacity = 1)
{
    inventory::document document;
    document.regions = {{"north"}, {"south"}};
    document.dataCentres = {{"north-a", 0}, {"south-a", 1}};
    for (std::uint32_t index = 0; index < localEngines + remoteEngines; ++index) {
        inventory::endpoint engine;
        engine.name = "engine-" + std::to_string(index);
        engine.dataCentre = index < localEngines ? 0 : 1;
        engine.models = {"model"};
        engine.capacity = capacity;
        engine.kvBlocks = 64;
        engine.canResume = true;
        document.endpoints.push_back(engine);
    }
    document.accounts = {{"caller-0", {}, 0, {}}, {"caller-1", {}, 0, {}}};
    for (std::uint32_t rank = 0; rank < tiers; ++rank) {
        document.tiers.push_back({"tier-" + std::to_string(rank), rank});
        inventory::request_class entry;
        entry.name = "class-" + std::to_string(rank);
        entry.tier = rank;
        document.classes.push_back(entry);
    }
    return document;
}

inline policy::request_spec makeSpec(std::uint32_t requestClass, std::uint32_t account = 0)
{
    policy::request_spec spec;
    spec.requestClass = policy::class_id{requestClass};
    spec.account = policy::account_id{account};
    spec.model = "model";
    spec.maximumOutputTokens = 16;
    return spec;
}

/// A decision core with a clock and a record of what it decided.
class driver
{
public:
    explicit driver(const inventory::document &document, const policy::policy_options &options = {},
                    std::uint64_t seed = 1)
        : core(seed, options)
    {
        core.configure(document, {"host", "north-a"}, now);
    }

    policy::request_id submit(const policy::request_spec &spec)
    {
        const auto id = core.submit(spec, now);
        return id ? id.value() : policy::request_id{};
    }

    std::error_code refusal(const policy::request_spec &spec)
    {
        return core.submit(spec, now).error();
    }

    std::vector<policy::decision> tick(std::chrono::milliseconds elapsed = {})
    {
        now += elapsed;
        auto decisions = core.tick(now);
        for (const auto &decision : decisions) {
            running.erase(decision.request);
            if (decision.kind == policy::decision_kind::Dispatch)
                running.emplace(decision.request, decision);
        }
        return decisions;
    }

    bool finish(policy::request_id id,
                policy::attempt_outcome outcome = policy::attempt_outcome::Completed)
    {
        running.erase(id);
        return core.reportFinished(id, outcome, now);
    }

    policy::endpoint_view endpoint(std::uint32_t index) const
    {
        return core.dump().endpoints[index];
    }

    core::instant now{std::chrono::hours(1)};
    policy::decision_core core;
    std::map<policy::request_id, policy::decision> running;
};

inline std::size_t count(const std::vector<policy::decision> &decisions, policy::decision_kind kind)
{
    return static_cast<std::size_t>(std::ranges::count(decisions, kind, &policy::decision::kind));
}

} // namespace quetzalcleat::policy_test
