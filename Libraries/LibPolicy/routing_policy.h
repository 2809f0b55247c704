#pragma once

#include "LibPolicy/policy_options.h"
#include "LibPolicy/random_source.h"
#include "LibPolicy/tables.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

namespace quetzalcleat::policy {

/// An endpoint with a free slot for a request.
struct routing_candidate
{
    std::uint32_t endpointIndex = 0;
    const endpoint_record *endpoint = nullptr;
    double load = 0; ///< Attempts of this and other hosts over the usable capacity.
    bool probe = false; ///< Half-open: accepts one request as a probe.
};

struct routing_score
{
    std::uint32_t endpointIndex = 0;
    double score = 0; ///< Lower is better.
};

struct routing_choice
{
    static constexpr std::size_t maximumScores = 6;

    std::uint32_t endpointIndex = 0;
    bool probe = false;
    decision_reason reason = decision_reason::LowestScore;
    std::array<routing_score, maximumScores> scores{}; ///< Of the candidates that were compared.
    std::uint32_t scoreCount = 0;
};

/// Chooses among candidates for one request.
///
/// `usesTiers` is false for a baseline with one FIFO queue per pool, without tiers, minimum shares,
/// shedding, preemption, load reports and health tracking.
template <typename Policy>
concept routing_policy = requires(Policy policy, const request_record &request, pool_record &pool,
                                  std::span<const routing_candidate> candidates,
                                  const policy_options &options, random_source &random)
{
    {
        policy.choose(request, pool, candidates, options, random)
        } -> std::same_as<std::optional<routing_choice>>;
    {
        Policy::usesTiers
        } -> std::convertible_to<bool>;
};

} // namespace quetzalcleat::policy
