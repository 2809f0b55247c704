#include "LibForward/placement.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalcleat::forward {

namespace {

/// Cost of routing a prefix away from its preferred engine, as a multiple of its prefill time. The
/// prefix is computed again, delays the whole batch, and evicts another prefix, which then has to
/// move too. Long prompts fill the cache of their engines, so waiting is mostly cheaper for them.
constexpr int rerouteFactor = 3;
constexpr int longPromptRerouteFactor = 40;
/// Replaces longPromptRerouteFactor at the second engine, if the preferred one would start after
/// the latency objective.
constexpr int missedObjectiveRerouteFactor = 12;
/// Factor for all engines after the second, so that a popular prefix is kept on two engines before
/// it spreads to more.
constexpr int furtherEngineRerouteFactor = 2;
/// Cost of using an engine of the other pool. A long prefill delays all low-latency requests in the
/// batch, whereas a low-latency request among long prefills is the only one delayed.
constexpr std::chrono::microseconds longPromptInLowLatencyCost{1'500'000};
constexpr std::chrono::microseconds lowLatencyInLongPromptCost{250'000};
/// Cost of an ejected endpoint: high enough that one is used only when all are ejected.
constexpr std::chrono::microseconds ejectedCost{std::chrono::seconds(60)};
/// Expected time until a slot is free at a full endpoint of a plain service.
constexpr std::chrono::microseconds plainSlotWait{std::chrono::seconds(2)};
/// Time that a request stays in a batch with continuous prefills: 30 events of 4 tokens at 40 ms
/// per step. A slot becomes free after this time divided by the number of slots.
constexpr std::chrono::microseconds batchOccupancyTime{std::chrono::seconds(5)};
/// Service time of a request at a plain service, to predict queueing; given in the deployment's
/// specification.
constexpr std::chrono::microseconds plainServiceTime{40'000};

/// Opening a connection takes a round trip and briefly occupies the endpoint.
constexpr std::chrono::microseconds connectionSetupCost{5'000};

std::chrono::microseconds roundTripTo(const endpoint &target, const placement_options &options)
{
    if (target.listed.dataCentre == options.dataCentre)
        return std::chrono::microseconds(0);
    const auto region = options.regions.find(target.listed.dataCentre);
    const bool isNear = region != options.regions.end() && region->second == options.region;
    return isNear ? options.crossDataCentreRoundTrip : options.crossRegionRoundTrip;
}

std::uint64_t rendezvousWeight(std::uint64_t affinity, const std::string &incarnation)
{
    return core::hash64(std::to_string(affinity) + incarnation);
}

/// The engines of the low-latency pool: in each region those with the lowest hashes, so that all
/// hosts agree without communication and adding or removing an engine changes few members.
std::vector<const endpoint *>
lowLatencyEngines(const std::vector<endpoint_table::endpoint_pointer> &all,
                  const policy::endpoint_notices &notices, const placement_options &options,
                  std::uint32_t slots, core::instant now)
{
    const auto share = options.lowLatencyShare
        * std::sqrt(options.lowLatencyShareSlots / std::max(static_cast<double>(slots), 1.0));
    std::map<std::string, std::vector<std::pair<std::uint64_t, const endpoint *>>> regions;
    for (const auto &entry : all) {
        if (entry->isUnlisted
            || notices.use(entry->listed.incarnation, now) != policy::endpoint_use::Free)
            continue;
        const auto region = options.regions.find(entry->listed.dataCentre);
        regions[region == options.regions.end() ? entry->listed.dataCentre : region->second]
            .emplace_back(core::hash64(entry->listed.incarnation), entry.get());
    }
    std::vector<const endpoint *> pool;
    for (auto &[region, engines] : regions) {
        std::sort(engines.begin(), engines.end());
        const auto count = static_cast<std::size_t>(std::lround(
            static_cast<double>(engines.size()) * share
            + std::sqrt(static_cast<double>(engines.size())) * options.lowLatencyRootFactor));
        // A region with one engine has no low-latency pool.
        const auto kept = engines.size() < 2 ? 0 : std::max<std::size_t>(count, 1);
        for (std::size_t index = 0; index < kept; ++index)
            pool.push_back(engines[index].second);
    }
    return pool;
}

std::chrono::microseconds poolMismatchCost(engine_pool wanted, bool isLowLatency)
{
    if (wanted == engine_pool::LongPrompt && isLowLatency)
        return longPromptInLowLatencyCost;
    if (wanted == engine_pool::LowLatency && !isLowLatency)
        return lowLatencyInLongPromptCost;
    return std::chrono::microseconds(0);
}

std::chrono::microseconds prefillTime(double tokens, const engine_speed &speed)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(tokens * 1000.0 / speed.promptTokensPerMillisecond));
}

std::chrono::microseconds engineWait(const endpoint &target, std::uint64_t uncached,
                                     const placement_options &options)
{
    const auto waiting
        = static_cast<double>(target.waitingTokens + target.waitingTokensOfOtherHosts);
    const auto batch = target.running + target.runningByOtherHosts;
    const auto decodeStep = options.speed.decodeStep + options.speed.decodeStepPerRequest * batch;
    return prefillTime(waiting, options.speed)
        + prefillTime(static_cast<double>(uncached), options.speed) + decodeStep * 2;
}

/// Expected time until the endpoint has a free slot; 0 if it has one.
std::chrono::microseconds slotWait(const endpoint &target, bool isEngine)
{
    const auto occupied = target.running + target.runningByOtherHosts;
    const auto slots = target.listed.slots;
    if (slots == 0 || occupied < slots)
        return std::chrono::microseconds(0);
    return (isEngine ? batchOccupancyTime / slots : plainSlotWait) * (occupied + 1 - slots);
}

struct candidate
{
    endpoint_table::endpoint_pointer target;
    std::uint64_t weight = 0;
    bool isLowLatency = false;
};

/// Whether the preferred engine of the prefix would start after the latency objective.
bool preferredEngineMissesObjective(const placement_request &request,
                                    const std::vector<candidate> &candidates,
                                    std::uint64_t preferredWeight, const placement_options &options)
{
    if (request.size == nullptr || request.objective.count() == 0)
        return false;
    const auto preferred
        = std::find_if(candidates.begin(), candidates.end(),
                       [&](const auto &entry) { return entry.weight == preferredWeight; });
    if (preferred == candidates.end())
        return false;
    return engineWait(*preferred->target, 0, options) + slotWait(*preferred->target, true)
        > request.objective;
}

} // namespace

std::uint64_t uncachedTokens(const endpoint &target, const generation_size &size,
                             const placement_options &options, core::instant now)
{
    std::uint64_t cached = 0;
    for (const auto &part : size.parts) {
        const auto known = target.partSentTimes.find(part.id);
        if (known == target.partSentTimes.end() || now - known->second > options.cacheRetention)
            break;
        cached += part.tokens;
    }
    return size.promptTokens > cached ? size.promptTokens - cached : 0;
}

placement_choice chooseEndpoint(const endpoint_table &endpoints, const placement_request &request,
                                const placement_options &options, core::instant now)
{
    std::vector<const endpoint *> lowLatency;
    if (request.pool != engine_pool::Any)
        lowLatency = lowLatencyEngines(
            endpoints.ofService(request.target->name), endpoints.notices(), options,
            request.target->engine ? request.target->engine->slots : 0, now);
    placement_choice choice;
    std::vector<candidate> candidates;
    std::vector<candidate> leaving;
    for (const auto &entry : endpoints.ofService(request.target->name)) {
        const bool tried = std::find(request.excluded.begin(), request.excluded.end(), entry)
            != request.excluded.end();
        const auto use = endpoints.notices().use(entry->listed.incarnation, now);
        if (use == policy::endpoint_use::Gone || entry->isUnlisted || tried)
            continue;
        if (use == policy::endpoint_use::HeldOff) {
            const auto wait = endpoints.notices().wait(entry->listed.incarnation, now);
            const auto end = wait ? wait->until : now;
            const auto next = endpoints.notices().nextUse(entry->listed.incarnation, now);
            choice.nextUse = choice.heldOffUntil ? std::min(choice.nextUse, next) : next;
            choice.heldOffUntil = std::min(choice.heldOffUntil.value_or(end), end);
            continue;
        }
        const bool isLowLatency
            = std::find(lowLatency.begin(), lowLatency.end(), entry.get()) != lowLatency.end();
        const auto weight = request.affinity == 0
            ? 0
            : rendezvousWeight(request.affinity, entry->listed.incarnation);
        (use == policy::endpoint_use::Free ? candidates : leaving)
            .push_back({entry, weight, isLowLatency});
    }
    if (candidates.empty())
        candidates = std::move(leaving);
    std::uint64_t bestWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const auto &entry : candidates) {
        const bool matches = poolMismatchCost(request.pool, entry.isLowLatency).count() == 0;
        if (entry.target->ejectedUntil > now || !matches)
            continue;
        secondWeight = std::max(secondWeight, std::min(bestWeight, entry.weight));
        bestWeight = std::max(bestWeight, entry.weight);
    }
    const auto sharedTokens = request.size == nullptr || request.size->parts.empty()
        ? 0.0
        : static_cast<double>(
            request.size->promptTokens
            - std::min(request.size->promptTokens, request.size->parts.back().tokens));
    const auto sharedPrefillTime = prefillTime(sharedTokens, options.speed);
    const bool isLowLatency = request.pool == engine_pool::LowLatency;
    const auto defaultFactor = isLowLatency ? rerouteFactor : longPromptRerouteFactor;
    const auto secondFactor
        = !isLowLatency && preferredEngineMissesObjective(request, candidates, bestWeight, options)
        ? missedObjectiveRerouteFactor
        : defaultFactor;
    const auto otherFactor = furtherEngineRerouteFactor * defaultFactor;
    auto bestCost = std::chrono::microseconds::max();
    for (const auto &entry : candidates) {
        const auto &target = *entry.target;
        const auto occupied = target.running + target.runningByOtherHosts;
        std::uint64_t uncached = 0;
        auto wait = roundTripTo(target, options);
        if (request.size != nullptr) {
            uncached = uncachedTokens(target, *request.size, options, now);
            // All hosts send the prefix to this engine, so its prefill has most likely been done.
            if (request.affinity != 0 && entry.weight == bestWeight
                && request.size->parts.size() > 1)
                uncached = std::min<std::uint64_t>(uncached, request.size->parts.back().tokens);
            wait += engineWait(target, uncached, options);
            wait += poolMismatchCost(request.pool, entry.isLowLatency);
        } else {
            wait += plainServiceTime * occupied / std::max(target.listed.slots, std::uint32_t{1});
        }
        auto cost = wait;
        if (request.affinity != 0 && entry.weight != bestWeight)
            cost += sharedPrefillTime * (entry.weight == secondWeight ? secondFactor : otherFactor);
        cost += slotWait(target, request.size != nullptr);
        if (target.ejectedUntil > now || target.isProbing)
            cost += ejectedCost;
        // Checked last, as it is a look-up by name that can only raise the cost.
        if (cost < bestCost && request.isConnected && !request.isConnected(target))
            cost += roundTripTo(target, options) + connectionSetupCost;
        if (cost < bestCost) {
            bestCost = cost;
            choice = {entry.target, wait, uncached, {}, {}};
        }
    }
    return choice;
}

} // namespace quetzalcleat::forward
