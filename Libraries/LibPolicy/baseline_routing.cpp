#include "LibPolicy/baseline_routing.h"

#include <algorithm>

namespace quetzalcleat::policy {

std::optional<routing_choice>
round_robin_routing::choose(const request_record & /*request*/, pool_record &pool,
                            std::span<const routing_candidate> candidates,
                            const policy_options & /*options*/, random_source & /*random*/)
{
    if (candidates.empty())
        return std::nullopt;
    // The next endpoint in the order of the pool that has a free slot.
    const auto position = [&pool](const routing_candidate &candidate) {
        const auto found = std::ranges::find(pool.endpoints, candidate.endpointIndex);
        const auto index = static_cast<std::uint32_t>(found - pool.endpoints.begin());
        const auto size = static_cast<std::uint32_t>(pool.endpoints.size());
        return (index + size - pool.nextRoundRobin % size) % size;
    };
    const auto chosen = std::ranges::min_element(candidates, {}, position);
    pool.nextRoundRobin += position(*chosen) + 1;
    routing_choice choice;
    choice.endpointIndex = chosen->endpointIndex;
    return choice;
}

std::optional<routing_choice>
least_in_flight_routing::choose(const request_record & /*request*/, pool_record & /*pool*/,
                                std::span<const routing_candidate> candidates,
                                const policy_options & /*options*/, random_source & /*random*/)
{
    if (candidates.empty())
        return std::nullopt;
    const auto chosen = std::ranges::min_element(
        candidates, {}, [](const auto &candidate) { return candidate.endpoint->inFlight(); });
    routing_choice choice;
    choice.endpointIndex = chosen->endpointIndex;
    return choice;
}

} // namespace quetzalcleat::policy
