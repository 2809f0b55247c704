#include "LibForward/placement.h"

#include "LibCore/hash.h"
#include "LibPolicy/random_source.h"

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
/// Cost of an engine whose low-latency streams would miss their pause objective: another one is
/// chosen unless all others are ejected or would miss it as well.
constexpr std::chrono::microseconds missedPauseCost{std::chrono::seconds(30)};
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

/// Requests above the bound of the load that an engine may have before it passes a prefix on, so
/// that the small numbers of a quiet fleet move no prefix.
constexpr double loadBoundMargin = 4;
/// A prefix spreads to this many engines; each keeps a copy of it in its memory.
constexpr std::size_t maximumPrefixEngines = 8;
/// An endpoint that came into use more recently is taken to have at least the mean load: the sums
/// do not show yet what other hosts send there.
constexpr std::chrono::milliseconds slowStartTime{1500};
/// Costs are nearly equal up to this difference, plus a share of the least cost. About the prefill
/// of one short prompt, of which another host may have sent one since the sums were made.
constexpr std::chrono::microseconds nearEqualDifference{10'000};
constexpr int nearEqualPart = 10;
/// For plain services, about the work of one request at one of several slots.
constexpr std::chrono::microseconds nearEqualPlainDifference{4'000};
/// Choosing at random among more than a few gives little more evenness, and more connections.
/// Source: the power of two choices (Mitzenmacher, 2001).
constexpr std::size_t nearEqualCount = 3;
/// A shared part that is read in a shorter time than this is cheap enough to read again.
constexpr std::chrono::microseconds cheapSharedPart{10'000};
/// How long a reported load stays: about the time of a request in a batch, of a prompt in the queue
/// of an engine, and of a request at a plain service.
constexpr policy::load_relaxation engineRelaxation{std::chrono::milliseconds(2000),
                                                   std::chrono::milliseconds(400)};
constexpr policy::load_relaxation plainRelaxation{std::chrono::milliseconds(100),
                                                  std::chrono::milliseconds(100)};

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

struct candidate
{
    endpoint_table::endpoint_pointer target;
    std::uint64_t weight = 0;
    bool isLowLatency = false;
    double occupied = 0; ///< Requests in progress, of all hosts.
    double waitingTokens = 0; ///< Of all hosts.
    double speed = 1; ///< Relative to the nominal one.
    bool isAsked = false; ///< Whether a connection to it is open; part of the cost.
    bool isPassedOver = false; ///< It has too much of the load for the prefix.
    std::chrono::microseconds wait{0};
    std::chrono::microseconds pause{0}; ///< Of the streams there, after this prompt came.
    std::chrono::microseconds cost{0};
    std::uint64_t uncached = 0;
};

std::chrono::microseconds engineWait(const candidate &entry, std::uint64_t uncached,
                                     const placement_options &options)
{
    const auto decodeStep = options.speed.decodeStep
        + std::chrono::microseconds(static_cast<std::int64_t>(
            static_cast<double>(options.speed.decodeStepPerRequest.count()) * entry.occupied));
    const auto nominal
        = prefillTime(entry.waitingTokens + static_cast<double>(uncached), options.speed)
        + decodeStep * 2;
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(nominal.count()) / entry.speed));
}

/// Expected time until the endpoint has a free slot; 0 if it has one.
std::chrono::microseconds slotWait(const candidate &entry, bool isEngine)
{
    const auto slots = entry.target->listed.slots;
    if (slots == 0 || entry.occupied < slots)
        return std::chrono::microseconds(0);
    const auto wait = isEngine ? batchOccupancyTime / slots : plainSlotWait;
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(wait.count())
                                                               * (entry.occupied + 1 - slots)));
}

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
    return engineWait(*preferred, 0, options) + slotWait(*preferred, true) > request.objective;
}

bool isInSlowStart(const endpoint &target, core::instant now)
{
    return now - target.addedAt < slowStartTime
        || (target.ejections > 0 && now - target.ejectedUntil < slowStartTime);
}

/// Sets the load and the speed of the candidates.
void estimateLoads(std::vector<candidate> &candidates, const placement_options &options,
                   bool isEngine, core::instant now)
{
    const bool allowsForAge = options.rule == placement_rule::EvenLoad;
    policy::load_elsewhere settled; ///< Sum over the candidates that are not in their slow start.
    std::size_t settledCount = 0;
    double meanDelay = 0;
    for (auto &entry : candidates) {
        const auto &target = *entry.target;
        policy::load_elsewhere others{static_cast<double>(target.runningByOtherHosts),
                                      static_cast<double>(target.waitingTokensOfOtherHosts)};
        if (allowsForAge)
            others = target.loadOfOtherHosts.present(
                others, isEngine ? engineRelaxation : plainRelaxation, now);
        entry.occupied = target.running + others.running;
        entry.waitingTokens = static_cast<double>(target.waitingTokens) + others.waitingTokens;
        meanDelay += target.learntSpeed.delay(now) / static_cast<double>(candidates.size());
        if (isInSlowStart(target, now))
            continue;
        ++settledCount;
        settled.running += entry.occupied;
        settled.waitingTokens += entry.waitingTokens;
    }
    if (!allowsForAge)
        return;
    const auto count = static_cast<double>(std::max<std::size_t>(settledCount, 1));
    for (auto &entry : candidates) {
        if (isEngine)
            entry.speed = entry.target->learntSpeed.speed(meanDelay, now);
        if (!isInSlowStart(*entry.target, now))
            continue;
        entry.occupied = std::max(entry.occupied, settled.running / count);
        entry.waitingTokens = std::max(entry.waitingTokens, settled.waitingTokens / count);
    }
}

/// Number in [0, 1) from the upper bits.
double fraction(std::uint64_t random)
{
    constexpr int bits = 53;
    return static_cast<double>(random >> (64U - bits)) / static_cast<double>(1ULL << bits);
}

/// Engines that the prefix prefers, the first of them first, without those that pass it on.
struct prefix_preference
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    bool isPassedOn = false;
};

/// An engine above the bound passes on just the share of the requests that is above it. All hosts
/// have the same outdated sums, so if each passed on all requests, the next engine would be overrun
/// until the sums show it.
prefix_preference preferredEngines(std::vector<candidate> &candidates,
                                   const placement_request &request,
                                   const placement_options &options, core::instant now)
{
    std::vector<candidate *> order;
    double mean = 0;
    for (auto &entry : candidates) {
        if (entry.target->ejectedUntil > now
            || poolMismatchCost(request.pool, entry.isLowLatency).count() != 0)
            continue;
        order.push_back(&entry);
        mean += entry.occupied;
    }
    prefix_preference preference;
    if (order.empty() || request.affinity == 0)
        return preference;
    mean /= static_cast<double>(order.size());
    const auto count = std::min(order.size(), maximumPrefixEngines);
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [](const auto *left, const auto *right) { return left->weight > right->weight; });
    order.resize(count);
    if (options.rule == placement_rule::EvenLoad) {
        const auto bound = options.loadBound * mean + loadBoundMargin;
        auto random = request.random;
        for (auto *entry : order) {
            random = policy::mixBits(random + 1);
            entry->isPassedOver
                = entry->occupied > bound && fraction(random) < 1 - bound / entry->occupied;
            if (!entry->isPassedOver)
                break;
        }
        preference.isPassedOn = order.front()->isPassedOver && !order.back()->isPassedOver;
    }
    const auto isOpen
        = [&](const auto *entry) { return !preference.isPassedOn || !entry->isPassedOver; };
    const auto first = std::find_if(order.begin(), order.end(), isOpen);
    preference.first = (*first)->weight;
    if (const auto second = std::find_if(std::next(first), order.end(), isOpen);
        second != order.end())
        preference.second = (*second)->weight;
    return preference;
}

/// If all engines would miss it, the one whose streams pause least is chosen.
std::chrono::microseconds missedPause(const placement_request &request,
                                      const placement_options &options, const candidate &entry)
{
    if (options.rule != placement_rule::EvenLoad || request.pool != engine_pool::LongPrompt
        || !entry.isLowLatency || request.protectedPause.count() == 0
        || entry.pause <= request.protectedPause)
        return std::chrono::microseconds(0);
    return missedPauseCost + (entry.pause - request.protectedPause);
}

/// The endpoint with the least cost, or at random one of the few whose costs are nearly equal.
placement_choice chooseByCost(std::vector<candidate> &candidates, const placement_request &request,
                              const placement_options &options, bool allowsRandom, bool isPassedOn)
{
    // Whether a connection is open is a look-up by name that can only raise the cost, so it is
    // asked only where it matters.
    const auto addConnection = [&](candidate &entry) {
        if (request.isConnected && !std::exchange(entry.isAsked, true)
            && !request.isConnected(*entry.target))
            entry.cost += roundTripTo(*entry.target, options) + connectionSetupCost;
    };
    auto *chosen = &candidates.front();
    addConnection(*chosen);
    for (auto &entry : candidates) {
        if (entry.cost < chosen->cost)
            addConnection(entry);
        if (entry.cost < chosen->cost)
            chosen = &entry;
    }
    std::vector<candidate *> nearEqual;
    if (allowsRandom && options.rule == placement_rule::EvenLoad) {
        const auto limit = chosen->cost
            + (request.size == nullptr ? nearEqualPlainDifference
                                       : nearEqualDifference + chosen->cost / nearEqualPart);
        for (auto &entry : candidates) {
            if (entry.cost <= limit)
                addConnection(entry);
            if (entry.cost <= limit)
                nearEqual.push_back(&entry);
        }
        const auto count = std::min(nearEqual.size(), nearEqualCount);
        std::partial_sort(nearEqual.begin(), nearEqual.begin() + static_cast<std::ptrdiff_t>(count),
                          nearEqual.end(), [](const auto *left, const auto *right) {
                              return left->cost < right->cost;
                          });
        chosen = nearEqual[static_cast<std::size_t>(fraction(policy::mixBits(request.random))
                                                    * static_cast<double>(count))];
    }
    placement_choice choice;
    choice.chosen = chosen->target;
    choice.expectedWait = chosen->wait;
    choice.uncachedTokens = chosen->uncached;
    choice.expectedPause = chosen->pause;
    if (isPassedOn)
        choice.reason = placement_reason::PassedOn;
    else if (nearEqual.size() > 1)
        choice.reason = placement_reason::NearEqual;
    return choice;
}

} // namespace

std::string_view toString(placement_reason reason)
{
    switch (reason) {
    case placement_reason::LeastCost:
        return "least_cost";
    case placement_reason::NearEqual:
        return "near_equal";
    case placement_reason::PassedOn:
        return "passed_on";
    }
    return "unknown";
}

policy::engine_pace paceOf(const service &target, const engine_speed &speed, double batch,
                           double relativeSpeed)
{
    return {speed.promptTokensPerMillisecond,
            speed.decodeStep,
            speed.decodeStepPerRequest,
            target.engine ? target.engine->tokensPerEvent : 1,
            batch,
            relativeSpeed};
}

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
        candidate known;
        known.target = entry;
        known.isLowLatency
            = std::find(lowLatency.begin(), lowLatency.end(), entry.get()) != lowLatency.end();
        if (request.affinity != 0)
            known.weight = rendezvousWeight(request.affinity, entry->listed.incarnation);
        (use == policy::endpoint_use::Free ? candidates : leaving).push_back(std::move(known));
    }
    if (candidates.empty())
        candidates = std::move(leaving);
    if (candidates.empty())
        return choice;
    const bool isEngine = request.target->engine.has_value();
    estimateLoads(candidates, options, isEngine, now);
    const auto preferred = preferredEngines(candidates, request, options, now);
    const auto sharedTokens = request.size == nullptr || request.size->parts.empty()
        ? 0.0
        : static_cast<double>(
            request.size->promptTokens
            - std::min(request.size->promptTokens, request.size->parts.back().tokens));
    const auto sharedPrefillTime = prefillTime(sharedTokens, options.speed);
    const bool isLowLatency = request.pool == engine_pool::LowLatency;
    const auto defaultFactor = isLowLatency ? rerouteFactor : longPromptRerouteFactor;
    const auto secondFactor = !isLowLatency
            && preferredEngineMissesObjective(request, candidates, preferred.first, options)
        ? missedObjectiveRerouteFactor
        : defaultFactor;
    const auto otherFactor = furtherEngineRerouteFactor * defaultFactor;
    for (auto &entry : candidates) {
        const auto &target = *entry.target;
        entry.wait = roundTripTo(target, options);
        if (request.size != nullptr) {
            entry.uncached = uncachedTokens(target, *request.size, options, now);
            // All hosts send the prefix to this engine, so its prefill has most likely been done.
            const bool isPreferred
                = entry.weight == preferred.first || (preferred.isPassedOn && entry.isPassedOver);
            if (request.affinity != 0 && isPreferred && request.size->parts.size() > 1)
                entry.uncached
                    = std::min<std::uint64_t>(entry.uncached, request.size->parts.back().tokens);
            entry.wait += engineWait(entry, entry.uncached, options);
            entry.pause
                = endpoints.pauses(std::string_view(request.target->name))
                      .pause(paceOf(*request.target, options.speed, entry.occupied, entry.speed),
                             entry.waitingTokens + static_cast<double>(entry.uncached));
        } else {
            entry.wait += std::chrono::microseconds(static_cast<std::int64_t>(
                static_cast<double>(plainServiceTime.count()) * entry.occupied
                / std::max(target.listed.slots, std::uint32_t{1})));
        }
        entry.wait += slotWait(entry, isEngine);
        entry.cost = entry.wait;
        if (request.size != nullptr)
            entry.cost += poolMismatchCost(request.pool, entry.isLowLatency)
                + missedPause(request, options, entry);
        if (request.affinity != 0 && entry.weight != preferred.first)
            entry.cost += sharedPrefillTime
                * (entry.weight == preferred.second ? secondFactor : otherFactor);
        if (target.ejectedUntil > now || target.isProbing)
            entry.cost += ejectedCost;
    }
    // Without sums of other hosts, this host's own counts are all that is known, and they are
    // exact.
    const bool hasSums = candidates.front().target->loadOfOtherHosts.age(now).has_value();
    return chooseByCost(candidates, request, options,
                        hasSums && (request.affinity == 0 || sharedPrefillTime < cheapSharedPart),
                        preferred.isPassedOn);
}

} // namespace quetzalcleat::forward
