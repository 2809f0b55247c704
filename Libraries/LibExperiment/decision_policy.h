#pragma once

#include "LibCore/result.h"
#include "LibInventory/document.h"
#include "LibPolicy/policy_types.h"

#include <concepts>
#include <string_view>
#include <vector>

namespace quetzalcleat::experiment {

/// The interface of a policy under test: policy::decision_core and the baseline policies.
template <typename Policy>
concept decision_policy
    = requires(Policy policy, const inventory::document &document,
               const policy::host_location &self, policy::request_spec spec,
               policy::request_id request, policy::endpoint_id endpoint, core::instant now,
               policy::attempt_outcome outcome, const policy::load_report &report,
               const policy::cache_event &event, std::string_view name)
{
    policy.configure(document, self, now);
    {
        policy.submit(spec, now)
        } -> std::same_as<core::result<policy::request_id>>;
    policy.cancel(request, now);
    policy.reportFirstToken(request, now);
    policy.reportTokens(request, std::uint32_t{}, now);
    {
        policy.reportFinished(request, outcome, now)
        } -> std::same_as<bool>;
    policy.reportLoad(endpoint, report, now);
    policy.reportCacheEvent(endpoint, event, now);
    policy.reportEndpointState(name, policy::state_source::Platform, policy::endpoint_state::Live,
                               std::uint64_t{}, now);
    {
        policy.tick(now)
        } -> std::same_as<std::vector<policy::decision>>;
};

} // namespace quetzalcleat::experiment
