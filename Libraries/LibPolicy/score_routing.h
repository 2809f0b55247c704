#pragma once

#include "LibPolicy/routing_policy.h"

namespace quetzalcleat::policy {

/// Compares a few random candidates, the one that caches most of the prompt and the preferred
/// endpoint of the prefix, and chooses the one with the lowest expected time to the first token.
///
/// The preferred endpoint comes from rendezvous hashing with bounded load, so that hosts send
/// equal prefixes to the same engine without exchanging state.
class score_routing
{
public:
    static constexpr bool usesTiers = true;

    std::optional<routing_choice> choose(const request_record &request, pool_record &pool,
                                         std::span<const routing_candidate> candidates,
                                         const policy_options &options, random_source &random);
};

} // namespace quetzalcleat::policy
