#include "LibPolicy/capacity_planner.h"

#include <algorithm>
#include <tuple>

namespace quetzalcleat::policy {

std::string_view toString(capacity_reason reason)
{
    switch (reason) {
    case capacity_reason::Unchanged:
        return "unchanged";
    case capacity_reason::Demand:
        return "demand";
    case capacity_reason::KindChange:
        return "kind_change";
    case capacity_reason::Substitute:
        return "substitute";
    case capacity_reason::Missing:
        return "missing";
    case capacity_reason::AwaitsReplacement:
        return "awaits_replacement";
    case capacity_reason::Refused:
        return "refused";
    case capacity_reason::Failed:
        return "failed";
    case capacity_reason::NotHeard:
        return "not_heard";
    case capacity_reason::ListTooOld:
        return "list_too_old";
    }
    return "unknown";
}

std::string_view toString(capacity_kind kind)
{
    return kind == capacity_kind::Spot ? "spot" : "ordinary";
}

void capacity_planner::restore(const std::string &dataCentre, capacity_kind kind,
                               std::uint32_t ordered)
{
    auto &target = m_subjects[{dataCentre, kind}];
    target.desired = ordered;
    target.ordered = ordered;
    target.isRestored = true;
}

std::vector<capacity_decision> capacity_planner::plan(const capacity_input &input,
                                                      core::instant now)
{
    if (input.isListFresh) {
        trackArrivals(input, now);
        const auto needed = m_need.update(needInput(input), now);
        std::uint32_t total = 0;
        for (const auto &[region, count] : needed)
            total += count;
        increase(input, distribute(input, needed, now), now);
        reduce(input, total, now);
    }
    std::vector<capacity_decision> decisions;
    for (const auto &state : input.dataCentres) {
        for (const auto kind : capacityKinds) {
            const auto &target = subjectOf(state, kind);
            const auto serving = state.serving[kind];
            capacity_decision decision{
                state.name, kind,           target.wanted, target.current(serving),
                serving,    target.ordered, target.reason, false};
            if (!input.isListFresh)
                decision.reason = capacity_reason::ListTooOld;
            else if (!state.isHeard)
                decision.reason = capacity_reason::NotHeard;
            else
                decision.isDue = isDue(target, serving, input, now);
            decisions.push_back(std::move(decision));
        }
    }
    return decisions;
}

need_input capacity_planner::needInput(const capacity_input &input)
{
    need_input result;
    std::map<std::string, std::uint32_t> restored;
    result.engine = input.engine;
    result.slots = input.slots;
    for (const auto &state : input.dataCentres) {
        if (!state.isHeard)
            continue;
        auto &region = result.regions[state.region];
        region.rate += state.demand;
        region.recentRate += state.recentDemand;
        region.running += state.running;
        region.minimum += input.minimum;
        region.maximum += input.maximum;
        for (const auto kind : capacityKinds) {
            // What this planner has ordered itself follows from the need, not the other way round.
            const auto &target = subjectOf(state, kind);
            if (!target.desired)
                region.present += state.serving[kind];
            if (target.isRestored)
                restored[state.region] += *target.desired;
        }
    }
    // Not the sum: while the kind changes, the endpoints ordered take the place of some that serve.
    for (auto &[name, region] : result.regions)
        region.present = std::max(region.present, restored[name]);
    return result;
}

distribution capacity_planner::distribute(const capacity_input &input,
                                          const std::map<std::string, std::uint32_t> &needed,
                                          core::instant now)
{
    distribution_input offers;
    offers.regions = needed;
    offers.spotPrice = input.spotPrice;
    offers.targetUtilisation = capacity_need::targetUtilisation;
    for (const auto &state : input.dataCentres) {
        if (!state.isHeard)
            continue;
        data_centre_offer offer;
        offer.name = state.name;
        offer.region = state.region;
        offer.price = state.price;
        offer.minimum = input.minimum;
        offer.maximum = input.maximum;
        for (const auto kind : capacityKinds) {
            const auto &target = subjectOf(state, kind);
            if (!target.isRefused(now))
                continue;
            // Endpoints that were ordered a short while ago may still come.
            const auto ordered = target.ordered.value_or(0);
            offer.available[kind] = isOverdue(target, input, now)
                ? state.serving[kind]
                : std::max(state.serving[kind], ordered);
            offer.reserved[kind] = target.current(state.serving[kind]);
        }
        offers.dataCentres.push_back(std::move(offer));
    }
    return distributeCapacity(offers);
}

/// Finds orders whose endpoints have not come.
void capacity_planner::trackArrivals(const capacity_input &input, core::instant now)
{
    for (const auto &state : input.dataCentres) {
        for (const auto kind : capacityKinds) {
            auto &target = subjectOf(state, kind);
            if (!target.ordered || state.serving[kind] >= *target.ordered) {
                target.repetitions = 0;
                continue;
            }
            if (target.repetitions == 0 || target.isRefused(now) || !isOverdue(target, input, now))
                continue;
            // The platform accepts the order and starts nothing.
            target.refusedUntil = now + refusalTime;
            target.repetitions = 0;
        }
    }
}

void capacity_planner::increase(const capacity_input &input, const distribution &wanted,
                                core::instant now)
{
    auto share = wanted.dataCentres.begin();
    for (const auto &state : input.dataCentres) {
        if (!state.isHeard)
            continue;
        for (const auto kind : capacityKinds) {
            auto &target = subjectOf(state, kind);
            const auto current = target.current(state.serving[kind]);
            target.wanted = share->wanted[kind];
            target.reason = capacity_reason::Unchanged;
            if (target.isRefused(now)) {
                target.reason = capacity_reason::Refused;
                continue;
            }
            const auto other
                = kind == capacity_kind::Spot ? capacity_kind::Ordinary : capacity_kind::Spot;
            const auto used = subjectOf(state, other).current(state.serving[other]);
            const auto room = input.maximum - std::min(used, input.maximum);
            const auto next = std::min(target.wanted, room);
            if (next > current) {
                target.desired = next;
                target.isRestored = false;
                target.reason = capacity_reason::Demand;
                if (share->hasSubstitutes)
                    target.reason = capacity_reason::Substitute;
                else if (used > share->wanted[other])
                    target.reason = capacity_reason::KindChange;
            } else if (target.failures > 0) {
                target.reason = capacity_reason::Failed;
            } else if (target.ordered && state.serving[kind] < *target.ordered
                       && isOverdue(target, input, now)) {
                target.reason = capacity_reason::Missing;
            }
        }
        ++share;
    }
}

/// Lowers numbers as far as enough endpoints serve without them.
void capacity_planner::reduce(const capacity_input &input, std::uint32_t needed, core::instant now)
{
    std::vector<reduction> candidates;
    std::uint32_t serving = 0;
    bool isBlocked = false; // Spot endpoints find no room beside the ordinary ones.
    for (const auto &state : input.dataCentres) {
        if (!state.isHeard)
            continue;
        for (const auto kind : capacityKinds) {
            auto &target = subjectOf(state, kind);
            const auto current = target.current(state.serving[kind]);
            serving += std::min(state.serving[kind], current);
            isBlocked = isBlocked || (target.wanted > current && !target.isRefused(now));
            // What was ordered a short while ago is not cancelled: a substitute for refused
            // endpoints would be, each time that the refusal ends and before the next one.
            const bool isStarting = current > state.serving[kind] && !isOverdue(target, input, now);
            if (target.wanted >= current || target.isRefused(now) || isStarting)
                continue;
            target.reason = capacity_reason::AwaitsReplacement;
            candidates.push_back({&target, kind, state.serving[kind], state.price});
        }
    }
    if (m_reducedAt && now - *m_reducedAt < reductionInterval)
        return;
    // At the maximum, the other kind gets room only if a few endpoints leave first.
    const auto least = isBlocked
        ? needed - static_cast<std::uint32_t>(capacity_need::tolerance * needed)
        : needed;
    auto allowed
        = std::min(serving - std::min(serving, least), std::max(serving / reductionDivisor, 1U));
    while (true) {
        const auto excess = [](const reduction &candidate) {
            return candidate.target->current(candidate.serving) - candidate.target->wanted;
        };
        // Ordinary endpoints first, as they cost most. Then from the largest excess, so that no
        // data centre loses all its caches at once.
        const auto rank = [&excess](const reduction &candidate) {
            return std::tuple(excess(candidate) > 0, candidate.kind == capacity_kind::Ordinary,
                              excess(candidate), candidate.price);
        };
        const auto largest
            = std::max_element(candidates.begin(), candidates.end(),
                               [&rank](const reduction &left, const reduction &right) {
                                   return rank(left) < rank(right);
                               });
        if (largest == candidates.end() || excess(*largest) == 0)
            return;
        auto &target = *largest->target;
        const auto current = target.current(largest->serving);
        const bool ends = current <= largest->serving;
        if (ends && allowed == 0)
            return;
        if (ends)
            --allowed;
        target.desired = current - 1;
        target.isRestored = false;
        target.reason = capacity_reason::Demand;
        m_reducedAt = now;
    }
}

bool capacity_planner::isOverdue(const subject &target, const capacity_input &input,
                                 core::instant now) const
{
    return !target.orderedAt || now - *target.orderedAt > input.startupTime + arrivalMargin;
}

bool capacity_planner::isDue(const subject &target, std::uint32_t serving,
                             const capacity_input &input, core::instant now) const
{
    if (!target.desired || target.isRefused(now) || now < target.pausedUntil)
        return false;
    if (target.isUncertain || target.desired != target.ordered)
        return true;
    return serving != *target.ordered && isOverdue(target, input, now);
}

void capacity_planner::recordAcknowledged(const std::string &dataCentre, capacity_kind kind,
                                          std::uint32_t ordered, core::instant now)
{
    auto &target = m_subjects[{dataCentre, kind}];
    target.repetitions = target.ordered == ordered ? target.repetitions + 1 : 0;
    target.ordered = ordered;
    target.orderedAt = now;
    target.isUncertain = false;
    target.failures = 0;
    target.refusedUntil.reset();
    if (!target.desired)
        target.desired = ordered;
}

void capacity_planner::recordRefused(const std::string &dataCentre, capacity_kind kind,
                                     order_refusal refusal, core::instant now)
{
    auto &target = m_subjects[{dataCentre, kind}];
    if (refusal == order_refusal::NoneAvailable) {
        target.refusedUntil = now + refusalTime;
        target.isUncertain = false;
        target.failures = 0;
        target.desired = target.ordered;
        return;
    }
    target.isUncertain = true;
    auto pause = shortestPause;
    for (std::uint32_t count = 0; count < target.failures && pause < longestPause; ++count)
        pause *= 2;
    target.pausedUntil = now + std::min(pause, longestPause);
    ++target.failures;
}

} // namespace quetzalcleat::policy
