#include "LibPolicy/score_routing.h"

#include <algorithm>
#include <limits>

namespace quetzalcleat::policy {

namespace {

/// The block that identifies the prefix which a prompt shares with others. The last blocks differ
/// between prompts of one prefix; a block near the middle, at a limited depth, is mostly shared.
std::uint64_t affinityBlock(std::span<const std::uint64_t> blocks)
{
    constexpr std::size_t maximumDepth = 15;
    return blocks[std::min(blocks.size() / 2, maximumDepth)];
}

class scorer
{
public:
    scorer(const request_record &request, const pool_record &pool, const policy_options &options)
        : m_request(request), m_pool(pool), m_options(options)
    {
    }

    double score(const routing_candidate &candidate, std::uint32_t assumedBlocks) const
    {
        const auto &endpoint = *candidate.endpoint;
        constexpr double defaultFirstToken = 50;
        constexpr double maximumRatio = 4;
        const double typicalFirstToken
            = m_pool.medianFirstToken > 0 ? m_pool.medianFirstToken : defaultFirstToken;
        const double slowness
            = std::clamp(endpoint.health.ratioToPeers, 1 / maximumRatio, maximumRatio);
        const std::uint32_t cachedBlocks
            = std::max(assumedBlocks, endpoint.cache.cachedPrefix(m_request.prefixBlocks));
        const double cached = static_cast<double>(cachedBlocks) * m_options.tokensPerBlock;
        const double prefill = std::max(0.0, m_request.promptTokens - cached)
            * m_options.prefillMillisecondsPerToken;
        // Storing blocks in a nearly full cache evicts other prefixes.
        const double pressure = endpoint.load.cachePressure();
        return slowness
            * (typicalFirstToken + prefill + candidate.load * m_options.fullLoadMilliseconds)
            + pressure * pressure * m_options.fullCacheMilliseconds + remoteCost(endpoint);
    }

private:
    double remoteCost(const endpoint_record &endpoint) const
    {
        if (endpoint.distance != endpoint_distance::OtherRegion)
            return 0;
        constexpr double bytesPerToken = 4;
        constexpr double bytesPerKilobyte = 1024;
        const double kilobytes
            = (m_request.bytes + bytesPerToken * m_request.expectedOutput) / bytesPerKilobyte;
        return kilobytes * m_options.remoteMillisecondsPerKilobyte;
    }

    const request_record &m_request;
    const pool_record &m_pool;
    const policy_options &m_options;
};

const routing_candidate *preferredEndpoint(std::uint64_t block,
                                           std::span<const routing_candidate> candidates,
                                           const policy_options &options)
{
    double meanLoad = 0;
    for (const auto &candidate : candidates)
        meanLoad += candidate.load / static_cast<double>(candidates.size());
    const routing_candidate *best = nullptr;
    std::uint64_t bestHash = 0;
    for (const auto &candidate : candidates) {
        // An endpoint below this load is always eligible, whatever the mean is.
        constexpr double lowLoad = 0.25;
        if (candidate.load > std::max(lowLoad, options.loadBound * meanLoad))
            continue;
        const std::uint64_t hash = mixBits(block ^ candidate.endpoint->nameHash);
        if (best == nullptr || hash > bestHash) {
            best = &candidate;
            bestHash = hash;
        }
    }
    return best;
}

const routing_candidate *longestCachedPrefix(std::span<const std::uint64_t> blocks,
                                             std::span<const routing_candidate> candidates)
{
    const routing_candidate *best = nullptr;
    std::uint32_t most = 0;
    const std::uint64_t shared = affinityBlock(blocks);
    for (const auto &candidate : candidates) {
        // One lookup excludes most endpoints.
        if (!candidate.endpoint->cache.holds(shared))
            continue;
        const std::uint32_t cached = candidate.endpoint->cache.cachedPrefix(blocks);
        if (cached > most) {
            best = &candidate;
            most = cached;
        }
    }
    return best;
}

/// Finds the candidate with the lowest score and records all scores, each candidate once.
class comparison
{
public:
    explicit comparison(const scorer &scorer) : m_scorer(scorer) { }

    void add(const routing_candidate &candidate, decision_reason reason,
             std::uint32_t assumedBlocks = 0)
    {
        if (m_choice.scoreCount == routing_choice::maximumScores)
            return;
        for (std::uint32_t index = 0; index < m_choice.scoreCount; ++index)
            if (m_choice.scores[index].endpointIndex == candidate.endpointIndex)
                return;
        const double score = m_scorer.score(candidate, assumedBlocks);
        m_choice.scores[m_choice.scoreCount++] = {candidate.endpointIndex, score};
        if (score >= m_bestScore)
            return;
        m_bestScore = score;
        m_choice.endpointIndex = candidate.endpointIndex;
        m_choice.reason = reason;
    }

    const routing_choice &choice() const { return m_choice; }

private:
    const scorer &m_scorer;
    routing_choice m_choice;
    double m_bestScore = std::numeric_limits<double>::infinity();
};

} // namespace

std::optional<routing_choice> score_routing::choose(const request_record &request,
                                                    pool_record &pool,
                                                    std::span<const routing_candidate> candidates,
                                                    const policy_options &options,
                                                    random_source &random)
{
    if (candidates.empty())
        return std::nullopt;
    if (const auto probe = std::ranges::find_if(candidates, &routing_candidate::probe);
        probe != candidates.end()) {
        routing_choice choice;
        choice.endpointIndex = probe->endpointIndex;
        choice.probe = true;
        choice.reason = decision_reason::Probe;
        return choice;
    }
    const scorer scorer(request, pool, options);
    comparison comparison(scorer);
    const auto defaultReason
        = candidates.size() == 1 ? decision_reason::OnlyCandidate : decision_reason::LowestScore;
    if (!request.prefixBlocks.empty()) {
        if (const auto *cached = longestCachedPrefix(request.prefixBlocks, candidates))
            comparison.add(*cached, decision_reason::CachedPrefix);
        // Other hosts send the same prefix there, so part of it is assumed to be cached.
        constexpr std::uint32_t assumedDivisor = 4;
        const auto assumed
            = static_cast<std::uint32_t>(request.prefixBlocks.size()) / assumedDivisor;
        if (const auto *preferred
            = preferredEndpoint(affinityBlock(request.prefixBlocks), candidates, options))
            comparison.add(*preferred, defaultReason, assumed);
    }
    const auto count = static_cast<std::uint32_t>(candidates.size());
    if (count <= options.randomChoices) {
        for (const auto &candidate : candidates)
            comparison.add(candidate, defaultReason);
        return comparison.choice();
    }
    // Each draw excludes the candidate of the previous one, so that two draws give two candidates.
    std::uint32_t index = random.below(count);
    for (std::uint32_t draw = 0; draw < options.randomChoices; ++draw) {
        comparison.add(candidates[index], defaultReason);
        index = (index + 1 + random.below(count - 1)) % count;
    }
    return comparison.choice();
}

} // namespace quetzalcleat::policy
