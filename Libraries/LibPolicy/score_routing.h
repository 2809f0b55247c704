#pragma once

#include "LibPolicy/routing_policy.h"

namespace quetzalcleat::policy {

/// Chooses the candidate with the lowest expected time to the first token, among a few random
/// ones, the one that caches most of the prompt, and the prefix's preferred endpoint.
///
/// The preferred endpoint comes from rendezvous hashing with bounded load, so that hosts that know
/// nothing of each other send equal prefixes to the same engine.
class score_routing
{
public:
    static constexpr bool usesTiers = true;

    std::optional<routing_choice> choose(const request_record &request, pool_record &pool,
                                         std::span<const routing_candidate> candidates,
                                         const policy_options &options, random_source &random);
};

} // namespace quetzalcleat::policy
