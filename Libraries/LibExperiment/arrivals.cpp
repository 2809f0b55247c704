#include "LibExperiment/arrivals.h"

#include "LibCore/hash.h"
#include "LibFakes/generated_text.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace quetzalcleat::experiment {

namespace {

constexpr std::uint32_t capacitySamples = 2000;
constexpr double topTierUtilisation = 0.6;

std::uint32_t drawLength(const length_distribution &lengths, std::mt19937_64 &random)
{
    std::lognormal_distribution<double> distribution(std::log(lengths.median), lengths.sigma);
    const auto length = std::clamp(distribution(random), 1.0, double(lengths.maximum));
    return static_cast<std::uint32_t>(length);
}

template <typename Table>
std::uint32_t indexByName(const Table &table, const std::string &name)
{
    const auto found = std::ranges::find(table, name, [](const auto &row) { return row.name; });
    return static_cast<std::uint32_t>(found - table.begin());
}

bool isEngine(const inventory::endpoint &endpoint)
{
    return endpoint.kind == inventory::endpoint_kind::Engine;
}

/// Engine-seconds that a class needs per second at the rates of the workload.
double engineDemand(const class_load &load, const fakes::engine_options &options,
                    std::mt19937_64 &random)
{
    if (load.model.empty())
        return 0;
    const std::chrono::duration<double> perPrefill = options.timePerPrefillToken;
    const std::chrono::duration<double> perToken
        = options.stepTime / options.capacity + options.timePerSequence;
    double seconds = 0;
    for (std::uint32_t sample = 0; sample < capacitySamples; ++sample) {
        const auto prompt = drawLength(load.prompt, random) + load.sharedPrefixTokens;
        seconds += prompt * perPrefill.count() + drawLength(load.output, random) * perToken.count();
    }
    return load.requestsPerSecond * seconds / capacitySamples;
}

class arrival_generator
{
public:
    arrival_generator(const workload &load, const scenario &conditions,
                      const inventory::document &document, std::uint64_t seed)
        : m_workload(load), m_conditions(conditions), m_document(document), m_random(seed)
    {
    }

    std::vector<arrival> draw()
    {
        const auto factors = rateFactors();
        std::vector<arrival> all;
        for (std::uint32_t index = 0; index < m_workload.classes.size(); ++index)
            drawClass(index, factors[index], all);
        std::ranges::stable_sort(all, {}, &arrival::at);
        return all;
    }

private:
    std::uint32_t rankOf(const class_load &load) const
    {
        const auto index = indexByName(m_document.classes, load.className);
        return m_document.tiers[m_document.classes[index].tier].rank;
    }

    fakes::engine_options optionsFor(const std::string &model) const
    {
        for (const auto &endpoint : m_document.endpoints) {
            if (std::ranges::find(endpoint.models, model) != endpoint.models.end())
                return engineOptions(endpoint, m_conditions, 0);
        }
        return {};
    }

    /// Factors by which the rate of each class is multiplied to reach the utilisation of the
    /// scenario.
    std::vector<double> rateFactors()
    {
        std::uint32_t topRank = ~0U;
        const auto engines
            = static_cast<double>(std::ranges::count_if(m_document.endpoints, isEngine));
        for (const auto &load : m_workload.classes) {
            if (!load.model.empty())
                topRank = std::min(topRank, rankOf(load));
        }
        double topDemand = 0;
        double otherDemand = 0;
        for (const auto &load : m_workload.classes) {
            auto &sum = rankOf(load) == topRank ? topDemand : otherDemand;
            sum += engineDemand(load, optionsFor(load.model), m_random);
        }
        const auto totalDemand = topDemand + otherDemand;
        const auto uniformFactor = m_conditions.utilisation * engines / totalDemand;
        const auto topFactor = m_conditions.fixTopTier
            ? std::min(uniformFactor, topTierUtilisation * engines / totalDemand)
            : uniformFactor;
        const auto otherFactor = (m_conditions.utilisation * engines - topFactor * topDemand)
            / std::max(otherDemand, 1e-9);
        std::vector<double> factors;
        for (const auto &load : m_workload.classes) {
            // Calls to services need no engine and are scaled like the top tier.
            const bool isTop = rankOf(load) == topRank || load.model.empty();
            factors.push_back(isTop ? topFactor : otherFactor);
        }
        return factors;
    }

    bool isBurstClass(std::uint32_t index) const
    {
        if (m_conditions.burstClass.empty())
            return false;
        const bool lowest = m_conditions.burstClass == "lowest";
        std::uint32_t chosen = 0;
        bool found = false;
        for (std::uint32_t other = 0; other < m_workload.classes.size(); ++other) {
            const auto &load = m_workload.classes[other];
            if (load.model.empty())
                continue;
            const auto rank = rankOf(load);
            const auto chosenRank = rankOf(m_workload.classes[chosen]);
            if (!found || (lowest ? rank > chosenRank : rank < chosenRank)) {
                chosen = other;
                found = true;
            }
        }
        return chosen == index;
    }

    double rateAt(std::uint32_t index, double factor, std::chrono::duration<double> at) const
    {
        const auto rate = m_workload.classes[index].requestsPerSecond * factor;
        const bool inBurst = isBurstClass(index) && at >= m_conditions.burstFrom
            && at < m_conditions.burstFrom + m_conditions.burstLength;
        return inBurst ? rate * m_conditions.burstFactor : rate;
    }

    void drawClass(std::uint32_t index, double factor, std::vector<arrival> &all)
    {
        const auto &load = m_workload.classes[index];
        std::vector<double> weights;
        for (const auto &share : load.accounts) {
            // largeAccountFactor applies to the first account of the inventory.
            const bool large = indexByName(m_document.accounts, share.account) == 0;
            weights.push_back(share.weight * (large ? m_conditions.largeAccountFactor : 1));
        }
        double totalWeight = 0;
        double unscaledWeight = 0;
        for (std::size_t row = 0; row < weights.size(); ++row) {
            totalWeight += weights[row];
            unscaledWeight += load.accounts[row].weight;
        }
        std::discrete_distribution<std::size_t> pickAccount(weights.begin(), weights.end());
        const auto highest = load.requestsPerSecond * factor
            * std::max(1.0, m_conditions.burstFactor) * totalWeight / unscaledWeight;
        if (highest <= 0)
            return;
        // Thins a homogeneous Poisson process to get the time-dependent rate.
        std::exponential_distribution<double> gap(highest);
        std::uniform_real_distribution<double> uniform(0, 1);
        for (std::chrono::duration<double> at{gap(m_random)}; at < m_workload.duration;
             at += std::chrono::duration<double>(gap(m_random))) {
            if (uniform(m_random) * highest
                > rateAt(index, factor, at) * totalWeight / unscaledWeight)
                continue;
            all.push_back(drawOne(index, at, load.accounts[pickAccount(m_random)].account));
        }
    }

    arrival drawOne(std::uint32_t index, std::chrono::duration<double> at,
                    const std::string &accountName)
    {
        const auto &load = m_workload.classes[index];
        arrival drawn;
        drawn.at = std::chrono::duration_cast<std::chrono::nanoseconds>(at);
        drawn.workloadClass = index;
        drawn.requestClass = indexByName(m_document.classes, load.className);
        drawn.account = indexByName(m_document.accounts, accountName);
        drawn.host = pickHost(drawn.account);
        if (load.model.empty()) {
            std::exponential_distribution<double> runTime(1);
            drawn.serviceTime = std::chrono::duration_cast<std::chrono::nanoseconds>(
                load.serviceTime * (0.5 + 0.5 * runTime(m_random)));
            drawn.repeatable = std::bernoulli_distribution(1 - load.nonRepeatable)(m_random);
            return drawn;
        }
        const auto own = drawLength(load.prompt, m_random);
        drawn.promptTokens = own + load.sharedPrefixTokens;
        drawn.outputTokens = drawLength(load.output, m_random);
        drawn.prefixBlocks = drawBlocks(index, drawn.promptTokens);
        return drawn;
    }

    std::uint32_t pickRegion(std::uint32_t account)
    {
        const auto count = static_cast<std::uint32_t>(m_document.regions.size());
        if (m_conditions.evenRegions)
            return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(m_random);
        return account % count;
    }

    /// Picks a host of the region of the account at random, as the region's load balancer does.
    std::uint32_t pickHost(std::uint32_t account)
    {
        const auto region = pickRegion(account);
        std::vector<std::uint32_t> candidates;
        for (std::uint32_t host = 0; host < m_document.hosts.size(); ++host) {
            if (m_document.dataCentres[m_document.hosts[host].dataCentre].region == region)
                candidates.push_back(host);
        }
        if (candidates.empty())
            return 0;
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(
            m_random)];
    }

    std::vector<std::uint64_t> drawBlocks(std::uint32_t index, std::uint32_t promptTokens)
    {
        const auto &load = m_workload.classes[index];
        std::vector<std::uint64_t> blocks(promptTokens / fakes::tokensPerBlock);
        const auto shared = load.sharedPrefixes == 0
            ? 0U
            : std::min<std::size_t>(load.sharedPrefixTokens / fakes::tokensPerBlock, blocks.size());
        const auto prefix = load.sharedPrefixes == 0
            ? 0U
            : std::uniform_int_distribution<std::uint32_t>(0, load.sharedPrefixes - 1)(m_random);
        std::uint64_t previous
            = core::hash64("prefix" + std::to_string(index) + ':' + std::to_string(prefix));
        for (std::size_t block = 0; block < blocks.size(); ++block) {
            if (block == shared)
                previous = m_random();
            previous = previous * 6364136223846793005ULL + 1442695040888963407ULL;
            blocks[block] = previous;
        }
        return blocks;
    }

    const workload &m_workload;
    const scenario &m_conditions;
    const inventory::document &m_document;
    std::mt19937_64 m_random;
};

} // namespace

fakes::engine_options engineOptions(const inventory::endpoint &endpoint, const scenario &conditions,
                                    std::uint64_t seed)
{
    fakes::engine_options options;
    options.models.insert(endpoint.models.begin(), endpoint.models.end());
    options.capacity = endpoint.capacity;
    if (endpoint.kvBlocks > 0)
        options.totalBlocks = endpoint.kvBlocks;
    options.checksFencing = endpoint.checksFencing;
    options.loadReportLag = conditions.loadReportLag;
    options.cacheEventLoss = conditions.cacheEventLoss;
    options.seed = seed;
    return options;
}

std::vector<arrival> drawArrivals(const workload &load, const scenario &conditions,
                                  const inventory::document &document, std::uint64_t seed)
{
    return arrival_generator(load, conditions, document, seed).draw();
}

} // namespace quetzalcleat::experiment
