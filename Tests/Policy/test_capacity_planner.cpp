#include "LibPolicy/capacity_planner.h"
#include "LibPolicy/demand_meter.h"

#include <cmath>
#include <numbers>
#include <set>

#include <gtest/gtest.h>

namespace quetzalcleat::policy::test {

using namespace std::chrono_literals;

/// A platform with 6 data centres in 3 regions, on which the planner's orders take effect.
class capacity_planner_test : public testing::Test
{
protected:
    static constexpr auto tick = 500ms;
    static constexpr double promptSpeed = 51'100;

    capacity_planner_test()
    {
        for (int index = 0; index < 6; ++index) {
            data_centre_state state;
            state.name = "dc" + std::to_string(index);
            state.region = "region" + std::to_string(index / 2);
            state.serving[capacity_kind::Ordinary] = 10;
            input.dataCentres.push_back(state);
        }
        input.engine = engine_rates{promptSpeed, 9000};
        input.slots = 64;
        input.minimum = 1;
        input.maximum = 20;
        input.startupTime = 4s;
        input.spotPrice = 0.18;
    }

    /// Engines that the demand keeps busy, evenly over the data centres.
    void setDemand(double busy)
    {
        for (auto &state : input.dataCentres)
            state.recentDemand = state.demand
                = {10, busy * promptSpeed / static_cast<double>(input.dataCentres.size()), 0};
    }

    std::vector<capacity_decision> step()
    {
        for (auto order = pending.begin(); order != pending.end() && order->at <= now;) {
            serving(order->dataCentre, order->kind) = order->count;
            order = pending.erase(order);
        }
        auto decisions = planner.plan(input, now);
        for (const auto &decision : decisions) {
            if (!decision.isDue)
                continue;
            ++calls;
            if (refuses && refuses(decision)) {
                planner.recordRefused(decision.dataCentre, decision.kind, refusal, now);
                continue;
            }
            planner.recordAcknowledged(decision.dataCentre, decision.kind, decision.desired, now);
            auto &count = serving(decision.dataCentre, decision.kind);
            if (decision.desired > count)
                pending.push_back({decision.dataCentre, decision.kind, decision.desired,
                                   now + input.startupTime + 1s});
            else
                count = decision.desired;
        }
        now += tick;
        return decisions;
    }

    void run(std::chrono::milliseconds time)
    {
        for (const auto end = now + time; now < end;)
            step();
    }

    std::uint32_t &serving(const std::string &dataCentre, capacity_kind kind)
    {
        for (auto &state : input.dataCentres) {
            if (state.name == dataCentre)
                return state.serving[kind];
        }
        throw std::out_of_range(dataCentre);
    }

    std::uint32_t total(capacity_kind kind)
    {
        std::uint32_t sum = 0;
        for (const auto &state : input.dataCentres)
            sum += state.serving[kind];
        return sum;
    }
    std::uint32_t total() { return total(capacity_kind::Ordinary) + total(capacity_kind::Spot); }

    double cost()
    {
        double sum = 0;
        for (const auto &state : input.dataCentres)
            sum += state.price
                * (state.serving[capacity_kind::Ordinary]
                   + input.spotPrice * state.serving[capacity_kind::Spot]);
        return sum;
    }

    struct order
    {
        std::string dataCentre;
        capacity_kind kind = capacity_kind::Ordinary;
        std::uint32_t count = 0;
        core::instant at;
    };

    capacity_input input;
    capacity_planner planner;
    core::instant now{1000s};
    std::vector<order> pending;
    std::function<bool(const capacity_decision &)> refuses;
    order_refusal refusal = order_refusal::NoneAvailable;
    int calls = 0;
};

/// Guards against paying for idle and for ordinary endpoints. The demand is that of deployment U:
/// 524,000 prompt tokens per second of its own parts and a fifth of the shared ones.
TEST_F(capacity_planner_test, CalmLoadCostsLessThanAThird)
{
    constexpr double busy = (524'000 + 267'000) / promptSpeed + 24'500 / 9000.0;
    const std::vector prices{1.0, 0.8, 1.25, 0.9, 1.0, 1.1};
    for (std::size_t index = 0; index < prices.size(); ++index)
        input.dataCentres[index].price = prices[index];
    setDemand(busy);
    run(60s);
    EXPECT_LT(cost(), 60.0 / 3);
    EXPECT_GE(total(), busy / capacity_need::targetUtilisation);
    EXPECT_GT(busy / total(), 0.4);
    EXPECT_LT(total(capacity_kind::Ordinary), total(capacity_kind::Spot));
    const int settled = calls;
    run(60s);
    EXPECT_EQ(calls, settled);
}

/// Guards against growth in steps, which would take several start-up times.
TEST_F(capacity_planner_test, DoublingIsOrderedAtOnce)
{
    setDemand(15);
    run(60s);
    EXPECT_LE(total(), 34U);
    setDemand(30);
    step();
    run(input.startupTime + 1s);
    EXPECT_GE(total(), 60U);
}

/// Guards against a doubling that is only seen once it has lasted as long as rates are averaged
/// over, and against orders for the usual variation of arrivals.
TEST_F(capacity_planner_test, SuddenRiseCountsBeforeTheAverageShowsIt)
{
    setDemand(15);
    run(60s);
    const int before = calls;
    const auto multiply = [this](double factor) {
        for (auto &state : input.dataCentres)
            state.recentDemand.prefillTokens = factor * state.demand.prefillTokens;
    };
    multiply(1.3);
    run(20s);
    EXPECT_EQ(calls, before);
    multiply(2);
    run(6s);
    EXPECT_GE(total(), 60U);
}

/// Guards against a base of ordinary endpoints that is too small for the loss of the spot
/// endpoints of a data centre, and against a planner that waits until there are some again.
TEST_F(capacity_planner_test, LossOfAllSpotEndpointsOfADataCentre)
{
    setDemand(18);
    run(60s);
    std::string largest = "dc0";
    for (const auto &state : input.dataCentres) {
        if (state.serving[capacity_kind::Spot] > serving(largest, capacity_kind::Spot))
            largest = state.name;
    }
    const auto lostAt = now;
    const auto before = total();
    serving(largest, capacity_kind::Spot) = 0;
    refuses = [&](const auto &decision) {
        return decision.kind == capacity_kind::Spot && now - lostAt < 8s;
    };
    EXPECT_GE(total(), 18U);
    run(8s);
    EXPECT_GE(total(), before);
    run(60s);
    EXPECT_GT(serving(largest, capacity_kind::Spot), 0U);
    EXPECT_LE(total(), before + 1);
    EXPECT_LT(total(capacity_kind::Ordinary), before / 4);
}

/// Guards against calls that are repeated without a pause, and against a lost order.
TEST_F(capacity_planner_test, RefusedOrdersAreRepeatedWithPauses)
{
    setDemand(30);
    refuses = [](const auto &) { return true; };
    run(4s);
    // Of each kind in each data centre, one in the refusal time.
    EXPECT_LE(calls, 12);
    refusal = order_refusal::Failed;
    run(20s);
    EXPECT_LE(calls, 12 + 12 * 9);
    refuses = {};
    run(20s);
    EXPECT_GT(total(capacity_kind::Spot), 40U);
}

/// Guards against substitutes in a data centre that refuses, while others have endpoints.
TEST_F(capacity_planner_test, RefusedEndpointsAreOrderedInTheSameRegion)
{
    setDemand(30);
    refuses = [](const auto &decision) { return decision.dataCentre == "dc0"; };
    run(30s);
    EXPECT_EQ(serving("dc0", capacity_kind::Spot), 0U);
    EXPECT_GE(serving("dc1", capacity_kind::Spot), 9U);
    EXPECT_GE(total(), 60U);
}

/// Guards against orders for data centres of which nothing is known, and from an old list.
TEST_F(capacity_planner_test, NothingIsOrderedWithoutKnowledge)
{
    setDemand(18);
    run(60s);
    auto &lost = input.dataCentres[2];
    lost.isHeard = false;
    lost.demand = {};
    lost.serving = {};
    for (int count = 0; count < 40; ++count) {
        for (const auto &decision : step())
            EXPECT_FALSE(decision.isDue && decision.dataCentre == lost.name);
    }
    input.isListFresh = false;
    const int before = calls;
    setDemand(60);
    run(5s);
    EXPECT_EQ(calls, before);
}

/// Guards against a deployment that is reduced to the minimum before its first callers come.
TEST_F(capacity_planner_test, WithoutLoadOnlyTheKindChanges)
{
    for (int count = 0; count < 120; ++count) {
        step();
        EXPECT_GE(total(), 60U);
    }
    EXPECT_EQ(total(), 60U);
    EXPECT_EQ(total(capacity_kind::Ordinary), 6U);
}

/// Guards against a new holder that orders from zero.
TEST_F(capacity_planner_test, NewHolderContinues)
{
    setDemand(18);
    run(60s);
    const int before = calls;
    capacity_planner next;
    for (const auto &state : input.dataCentres) {
        for (const auto kind : capacityKinds)
            next.restore(state.name, kind, state.serving[kind]);
    }
    planner = next;
    setDemand(0); // Its first reports have no rates yet.
    run(4s);
    setDemand(18);
    run(30s);
    EXPECT_EQ(calls, before);
}

/// Guards against a new holder that takes the endpoints of a change of kind for twice as many.
TEST_F(capacity_planner_test, NewHolderFinishesTheChangeOfKind)
{
    run(3s);
    capacity_planner next;
    for (const auto &state : input.dataCentres)
        next.restore(state.name, capacity_kind::Spot, 9);
    planner = next;
    run(60s);
    EXPECT_EQ(total(), 60U);
}

/// Guards against numbers that follow waves: each change costs start-up times and caches.
TEST_F(capacity_planner_test, WavesChangeNothing)
{
    const auto wave = [this](std::chrono::milliseconds time) {
        for (const auto end = now + time; now < end; step())
            setDemand(
                18
                * (1
                   + 0.27
                       * std::sin(2 * std::numbers::pi
                                  * std::chrono::duration<double>(now.time_since_epoch()).count()
                                  / 11)));
    };
    wave(60s);
    const int before = calls;
    wave(120s);
    EXPECT_EQ(calls, before);
}

/// Guards against dear endpoints beside cheap ones, and against a single data centre with all of
/// the spot endpoints.
TEST_F(capacity_planner_test, CheaperDataCentresOfARegionGetMore)
{
    for (std::size_t index = 0; index < input.dataCentres.size(); ++index)
        input.dataCentres[index].price = index % 2 == 0 ? 0.8 : 1.25;
    setDemand(18);
    run(60s);
    std::set<std::string> users;
    for (const auto &state : input.dataCentres) {
        if (state.serving[capacity_kind::Spot] > 0)
            users.insert(state.name);
    }
    EXPECT_GT(serving("dc0", capacity_kind::Spot), serving("dc1", capacity_kind::Spot));
    EXPECT_GE(users.size(), 2U);
}

/// Guards against rates from the counts of a process that has ended, and against silent hosts.
TEST(demand_meter_test, DifferentiatesCountsOfOneProcess)
{
    demand_meter meter;
    core::instant now{1000s};
    for (std::uint64_t count = 0; count < 8; ++count, now += 500ms)
        meter.record({"host", "dc", 1}, "service", {count * 5, count * 1000, 0}, now);
    EXPECT_NEAR(meter.rates("service", now).at("dc").prefillTokens, 2000, 1);
    meter.record({"host", "dc", 1}, "service", {100, 9000, 0}, now);
    EXPECT_NEAR(meter.rates("service", now, 500ms).at("dc").prefillTokens, 4000, 1);
    meter.record({"host", "dc", 2}, "service", {1, 10, 0}, now);
    EXPECT_EQ(meter.rates("service", now).at("dc").prefillTokens, 0);
    meter.record({"host", "dc", 2}, "service", {6, 1010, 0}, now + 500ms);
    EXPECT_NEAR(meter.rates("service", now + 500ms).at("dc").prefillTokens, 2000, 1);
    EXPECT_FALSE(meter.isHeard("dc", now + 4s));
    EXPECT_EQ(meter.rates("service", now + 4s).at("dc").prefillTokens, 0);
}

} // namespace quetzalcleat::policy::test
