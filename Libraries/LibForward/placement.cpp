#include "LibForward/placement.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalcleat::forward {

namespace {

/// Leaving the engine of a prefix costs this many times the reading of the prefix: it is read
/// again, it delays the whole batch, and it takes the place of another prefix, which then moves
/// too. Long prompts fill the memory of their engines, so for them a wait is mostly cheaper.
constexpr int strayFactor = 3;
constexpr int longStrayFactor = 40;
/// Of an engine that would begin after the objective, for the second one.
constexpr int lateStrayFactor = 12;
/// Leaving the second engine too costs as much again, so that a prefix in demand has two engines
/// before it has many.
constexpr int farStray = 2;
/// Cost of an engine of the other lane. A long prefill among quick requests delays all of them; a
/// quick request among long prefills only delays itself.
constexpr std::chrono::microseconds longInQuickCost{1'500'000};
constexpr std::chrono::microseconds quickInLongCost{250'000};
/// Cost of an endpoint that is ejected: only used when all are.
constexpr std::chrono::microseconds ejectedCost{std::chrono::seconds(60)};
/// Time that a full plain endpoint is expected to take until a place is free.
constexpr std::chrono::microseconds fullCost{std::chrono::seconds(2)};
/// Time that a request stays in a batch that is read into all the while; a place is free after this
/// time over the number of places. Source: 30 events of 4 tokens and steps of 40 ms (the sheets).
constexpr std::chrono::microseconds batchTime{std::chrono::seconds(5)};
/// Work of a request at a plain service, for the wait behind others. Source: the users' sheets.
constexpr std::chrono::microseconds plainWork{40'000};

/// Opening a connection takes a round trip and a place at the endpoint for a moment. Source: rounds
/// with 2, 5 and 20 ms (docs/platform-measurements.md).
constexpr std::chrono::microseconds openingCost{5'000};

std::chrono::microseconds distanceTo(const endpoint &target, const placement_options &options)
{
    if (target.listed.dataCentre == options.dataCentre)
        return std::chrono::microseconds(0);
    const auto region = options.regions.find(target.listed.dataCentre);
    const bool isNear = region != options.regions.end() && region->second == options.region;
    return isNear ? options.dataCentreDistance : options.regionDistance;
}

std::uint64_t rendezvousWeight(std::uint64_t affinity, const std::string &incarnation)
{
    return core::hash64(std::to_string(affinity) + incarnation);
}

/// The engines of the quick lane: in each region the ones with the lowest hashes, so that all hosts
/// agree without a message and a change of one engine moves few others.
std::vector<const endpoint *> quickLane(const std::vector<endpoint_table::endpoint_pointer> &all,
                                        const placement_options &options, std::uint32_t slots)
{
    const auto share = options.quickShare
        * std::sqrt(options.quickSlots / std::max(static_cast<double>(slots), 1.0));
    std::map<std::string, std::vector<std::pair<std::uint64_t, const endpoint *>>> regions;
    for (const auto &entry : all) {
        if (entry->listed.isLeaving || entry->isGone)
            continue;
        const auto region = options.regions.find(entry->listed.dataCentre);
        regions[region == options.regions.end() ? entry->listed.dataCentre : region->second]
            .emplace_back(core::hash64(entry->listed.incarnation), entry.get());
    }
    std::vector<const endpoint *> lane;
    for (auto &[region, engines] : regions) {
        std::sort(engines.begin(), engines.end());
        const auto count = static_cast<std::size_t>(
            std::lround(static_cast<double>(engines.size()) * share
                        + std::sqrt(static_cast<double>(engines.size())) * options.quickRootShare));
        // A region with one engine has no lane.
        const auto kept = engines.size() < 2 ? 0 : std::max<std::size_t>(count, 1);
        for (std::size_t index = 0; index < kept; ++index)
            lane.push_back(engines[index].second);
    }
    return lane;
}

std::chrono::microseconds laneCost(engine_lane wanted, bool isQuick)
{
    if (wanted == engine_lane::Long && isQuick)
        return longInQuickCost;
    if (wanted == engine_lane::Quick && !isQuick)
        return quickInLongCost;
    return std::chrono::microseconds(0);
}

std::chrono::microseconds readingTime(double tokens, const engine_speed &speed)
{
    return std::chrono::microseconds(
        static_cast<std::int64_t>(tokens * 1000.0 / speed.promptTokensPerMillisecond));
}

std::chrono::microseconds engineWait(const endpoint &target, std::uint64_t unread,
                                     const placement_options &options)
{
    const auto waiting = static_cast<double>(target.waitingTokens + target.waitingTokensElsewhere);
    const auto batch = target.running + target.runningElsewhere;
    const auto step = options.speed.step + options.speed.stepPerRequest * batch;
    return readingTime(waiting, options.speed)
        + readingTime(static_cast<double>(unread), options.speed) + step * 2;
}

/// Time until a place is free at an endpoint; 0 if one is.
std::chrono::microseconds placeWait(const endpoint &target, bool isEngine)
{
    const auto taken = target.running + target.runningElsewhere;
    const auto slots = target.listed.slots;
    if (slots == 0 || taken < slots)
        return std::chrono::microseconds(0);
    return (isEngine ? batchTime / slots : fullCost) * (taken + 1 - slots);
}

struct candidate
{
    endpoint_table::endpoint_pointer target;
    std::uint64_t weight = 0;
    bool isQuick = false;
};

/// Whether the engine of the prefix would begin after the objective.
bool homeIsLate(const placement_request &request, const std::vector<candidate> &candidates,
                std::uint64_t homeWeight, const placement_options &options)
{
    if (request.size == nullptr || request.objective.count() == 0)
        return false;
    const auto home = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const auto &entry) { return entry.weight == homeWeight; });
    if (home == candidates.end())
        return false;
    return engineWait(*home->target, 0, options) + placeWait(*home->target, true)
        > request.objective;
}

} // namespace

std::uint64_t unreadTokens(const endpoint &target, const generation_size &size,
                           const placement_options &options, core::instant now)
{
    std::uint64_t cached = 0;
    for (const auto &part : size.parts) {
        const auto known = target.parts.find(part.id);
        if (known == target.parts.end() || now - known->second > options.cacheMemory)
            break;
        cached += part.tokens;
    }
    return size.promptTokens > cached ? size.promptTokens - cached : 0;
}

placement_choice place(const endpoint_table &endpoints, const placement_request &request,
                       const placement_options &options, core::instant now)
{
    std::vector<const endpoint *> quick;
    if (request.lane != engine_lane::Any)
        quick = quickLane(endpoints.of(request.target->name), options,
                          request.target->engine ? request.target->engine->slots : 0);
    std::vector<candidate> candidates;
    for (const auto &entry : endpoints.of(request.target->name)) {
        const bool tried = std::find(request.excluded.begin(), request.excluded.end(), entry)
            != request.excluded.end();
        if (entry->listed.isLeaving || entry->isGone || tried)
            continue;
        const bool isQuick = std::find(quick.begin(), quick.end(), entry.get()) != quick.end();
        const auto weight = request.affinity == 0
            ? 0
            : rendezvousWeight(request.affinity, entry->listed.incarnation);
        candidates.push_back({entry, weight, isQuick});
    }
    std::uint64_t best = 0;
    std::uint64_t second = 0;
    for (const auto &entry : candidates) {
        const bool matches = laneCost(request.lane, entry.isQuick).count() == 0;
        if (entry.target->ejectedUntil > now || !matches)
            continue;
        second = std::max(second, std::min(best, entry.weight));
        best = std::max(best, entry.weight);
    }
    const auto sharedTokens = request.size == nullptr || request.size->parts.empty()
        ? 0.0
        : static_cast<double>(
            request.size->promptTokens
            - std::min(request.size->promptTokens, request.size->parts.back().tokens));
    const auto sharedTime = readingTime(sharedTokens, options.speed);
    const bool isQuick = request.lane == engine_lane::Quick;
    const auto usualFactor = isQuick ? strayFactor : longStrayFactor;
    const auto homeFactor = !isQuick && homeIsLate(request, candidates, best, options)
        ? lateStrayFactor
        : usualFactor;
    const auto farFactor = farStray * usualFactor;
    placement_choice choice;
    auto bestCost = std::chrono::microseconds::max();
    for (const auto &entry : candidates) {
        const auto &target = *entry.target;
        const auto taken = target.running + target.runningElsewhere;
        std::uint64_t unread = 0;
        auto wait = distanceTo(target, options);
        if (request.size != nullptr) {
            unread = unreadTokens(target, *request.size, options, now);
            // All hosts send the prefix to this engine, so one of them has had it read.
            if (request.affinity != 0 && entry.weight == best && request.size->parts.size() > 1)
                unread = std::min<std::uint64_t>(unread, request.size->parts.back().tokens);
            wait += engineWait(target, unread, options);
            wait += laneCost(request.lane, entry.isQuick);
        } else {
            wait += plainWork * taken / std::max(target.listed.slots, std::uint32_t{1});
        }
        auto cost = wait;
        if (request.affinity != 0 && entry.weight != best)
            cost += sharedTime * (entry.weight == second ? homeFactor : farFactor);
        cost += placeWait(target, request.size != nullptr);
        if (target.ejectedUntil > now || target.isProbing)
            cost += ejectedCost;
        // Asked last, as it is looked up by name and only raises the cost.
        if (cost < bestCost && request.isConnected && !request.isConnected(target))
            cost += distanceTo(target, options) + openingCost;
        if (cost < bestCost) {
            bestCost = cost;
            choice = {entry.target, wait, unread};
        }
    }
    return choice;
}

} // namespace quetzalcleat::forward
