#pragma once

#include "LibPolicy/routing_policy.h"

namespace quetzalcleat::policy {

/// Baseline: round robin over the endpoints, one FIFO queue.
class round_robin_routing
{
public:
    static constexpr bool usesTiers = false;

    std::optional<routing_choice> choose(const request_record &request, pool_record &pool,
                                         std::span<const routing_candidate> candidates,
                                         const policy_options &options, random_source &random);
};

/// Baseline: the endpoint with the fewest attempts in flight from this host, one FIFO queue.
class least_in_flight_routing
{
public:
    static constexpr bool usesTiers = false;

    std::optional<routing_choice> choose(const request_record &request, pool_record &pool,
                                         std::span<const routing_candidate> candidates,
                                         const policy_options &options, random_source &random);
};

} // namespace quetzalcleat::policy
