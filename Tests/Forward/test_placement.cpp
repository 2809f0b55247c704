#include "LibForward/placement.h"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::forward;

namespace {

constexpr core::instant start{std::chrono::hours(1)};

/// Three regions of one data centre each, with the engines distributed evenly.
struct engine_fleet
{
    explicit engine_fleet(int engines)
    {
        target.name = "engines";
        target.engine = engine_profile{64, 400'000, 2};
        options.dataCentre = "dc0";
        options.region = "region0";
        for (int region = 0; region < 3; ++region)
            options.regions["dc" + std::to_string(region)] = "region" + std::to_string(region);
        for (int index = 0; index < engines; ++index)
            list.push_back({"engine-" + std::to_string(index),
                            "engines",
                            {"10.0.0." + std::to_string(index + 1), 80},
                            "dc" + std::to_string(index % 3),
                            64,
                            false});
        table.update(list, start);
    }

    placement_choice choose(const generation_size &size, engine_pool pool,
                            core::instant now = start) const
    {
        placement_request request;
        request.target = &target;
        request.size = &size;
        request.pool = pool;
        // Latency objectives in the deployment's specification.
        request.objective = std::chrono::milliseconds(pool == engine_pool::LowLatency ? 500 : 2500);
        request.affinity = size.parts.size() > 1 ? size.parts[size.parts.size() - 2].id : 0;
        request.protectedPause = protectedPause;
        return chooseEndpoint(table, request, options, now);
    }

    std::chrono::milliseconds protectedPause{0};
    service target;
    placement_options options;
    std::vector<listed_endpoint> list;
    endpoint_table table;
};

generation_size longPrompt(std::uint64_t document, std::uint64_t own)
{
    return {{{document, 13'300}, {own, 3'700}}, 17'000, 300, 150};
}

generation_size shortQuestion(std::uint64_t own)
{
    return {{{1, 210}, {2, 140}, {own, 1'110}}, 1'460, 300, 170};
}

} // namespace

/// Load pattern: short questions among long prompts. Guards against a long prefill in the batch of
/// low-latency requests, which makes the pauses between their events longer than their objective.
TEST(placement, LongPromptsAvoidTheLowLatencyPool)
{
    engine_fleet fleet(12);
    std::set<const endpoint *> lowLatencyEngines;
    for (std::uint64_t own = 0; own < 50; ++own)
        lowLatencyEngines.insert(
            fleet.choose(shortQuestion(own + 100), engine_pool::LowLatency).chosen.get());
    std::set<const endpoint *> longPromptEngines;
    for (std::uint64_t document = 0; document < 200; ++document) {
        const auto choice
            = fleet.choose(longPrompt(1'000 + document, 5'000 + document), engine_pool::LongPrompt);
        longPromptEngines.insert(choice.chosen.get());
        choice.chosen->waitingTokens += 500;
    }
    for (const auto *entry : lowLatencyEngines)
        EXPECT_FALSE(longPromptEngines.contains(entry)) << entry->listed.incarnation;
    EXPECT_EQ(longPromptEngines.size(), 9U);
}

/// Load pattern: bursts of short questions on large fleets. Guards against a low-latency pool that
/// grows in proportion to the fleet, although the variation of the load does not, and against one
/// that is too small if engines have few slots.
TEST(placement, LowLatencyPoolFollowsSquareRootStaffing)
{
    const auto poolSizeOf = [](int engines, std::uint32_t slots) {
        engine_fleet fleet(engines);
        fleet.target.engine->slots = slots;
        fleet.options.crossRegionRoundTrip = std::chrono::microseconds(0);
        std::set<const endpoint *> lowLatencyEngines;
        for (std::uint64_t own = 0; own < 400; ++own) {
            const auto choice = fleet.choose(shortQuestion(own + 100), engine_pool::LowLatency);
            choice.chosen->waitingTokens += 10;
            lowLatencyEngines.insert(choice.chosen.get());
        }
        return lowLatencyEngines.size();
    };
    EXPECT_EQ(poolSizeOf(12, 64), 3U);
    EXPECT_EQ(poolSizeOf(60, 64), 9U);
    EXPECT_GT(poolSizeOf(60, 24), poolSizeOf(60, 64));
}

/// Load pattern: a burst of long prompts that overflows into the low-latency pool. Guards against
/// streams there that miss their pause objective while another engine could read the prompt, and
/// against a prompt that no engine takes.
TEST(placement, LongPromptsLeaveTheLowLatencyStreamsTheirPauses)
{
    engine_fleet fleet(12);
    fleet.options.crossRegionRoundTrip = std::chrono::microseconds(0);
    std::set<const endpoint *> lowLatencyEngines;
    for (std::uint64_t own = 0; own < 50; ++own) {
        const auto chosen = fleet.choose(shortQuestion(own + 100), engine_pool::LowLatency).chosen;
        chosen->waitingTokens += 100;
        lowLatencyEngines.insert(chosen.get());
    }
    ASSERT_EQ(lowLatencyEngines.size(), 3U);
    for (const auto &[name, entry] : fleet.table.all())
        entry->waitingTokens = lowLatencyEngines.contains(entry.get()) ? 0 : 400'000;
    const generation_size prompt{{{5'000, 17'000}}, 17'000, 300, 150};
    const auto isInLowLatencyPool = [&] {
        return lowLatencyEngines.contains(
            fleet.choose(prompt, engine_pool::LongPrompt).chosen.get());
    };
    EXPECT_TRUE(isInLowLatencyPool());
    // A step that reads 4,096 tokens takes 72 ms, an event is two of them.
    for (int count = 0; count < 200; ++count)
        fleet.table.pauses("engines").record(std::chrono::milliseconds(145),
                                             paceOf(fleet.target, fleet.options.speed, 0));
    fleet.protectedPause = std::chrono::milliseconds(300);
    EXPECT_TRUE(isInLowLatencyPool());
    fleet.protectedPause = std::chrono::milliseconds(100);
    EXPECT_FALSE(isInLowLatencyPool());
    for (const auto &[name, entry] : fleet.table.all()) {
        if (!lowLatencyEngines.contains(entry.get()))
            entry->ejectedUntil = start + std::chrono::seconds(1);
    }
    EXPECT_TRUE(isInLowLatencyPool());
}

/// Load pattern: a burst of long prompts that share prefixes. Guards against prefixes that are
/// rerouted: each time the prefix is computed again, which increases the load of all engines.
TEST(placement, PrefixStaysWithItsEngineInABurst)
{
    engine_fleet fleet(12);
    std::map<std::uint64_t, std::set<std::string>> engines;
    std::mt19937 random(1);
    for (std::uint64_t number = 0; number < 600; ++number) {
        const std::uint64_t document = 1'000 + random() % 90;
        const auto choice
            = fleet.choose(longPrompt(document, 10'000 + number), engine_pool::LongPrompt);
        engines[document].insert(choice.chosen->listed.incarnation);
        choice.chosen->waitingTokens += choice.uncachedTokens;
        // Prefill progress between two of 20 requests per second, at 62.4 tokens per millisecond.
        for (const auto &[name, entry] : fleet.table.all())
            entry->waitingTokens -= std::min<std::uint64_t>(entry->waitingTokens, 3'120);
    }
    std::size_t engineCount = 0;
    for (const auto &[document, names] : engines)
        engineCount += names.size();
    EXPECT_LE(engineCount, engines.size() * 5 / 4);
}

/// Load pattern: a burst of long prompts that fills the batches of all engines. Guards against
/// prefixes that are rerouted from a full engine although a slot there is free sooner than the
/// prefill elsewhere is done. Each move evicts another prefix, until no prompt is cached any more.
TEST(placement, FullBatchesDoNotMovePrefixes)
{
    engine_fleet fleet(12);
    std::size_t moved = 0;
    std::mt19937 random(1);
    for (std::uint64_t number = 0; number < 600; ++number) {
        const std::uint64_t document = 1'000 + random() % 90;
        for (const auto &[name, entry] : fleet.table.all())
            entry->running = 0;
        const auto preferred
            = fleet.choose(longPrompt(document, 10'000 + number), engine_pool::LongPrompt).chosen;
        for (const auto &[name, entry] : fleet.table.all())
            entry->running = 56 + random() % 16;
        const auto chosen
            = fleet.choose(longPrompt(document, 10'000 + number), engine_pool::LongPrompt).chosen;
        moved += chosen == preferred ? 0 : 1;
    }
    EXPECT_LE(moved, 12U);
}

/// Load pattern: one prefix gets much of the traffic. Guards against a queue at its engine while
/// other engines are idle.
TEST(placement, HotPrefixSpreadsWhenItsEngineIsBusy)
{
    engine_fleet fleet(12);
    const auto first = fleet.choose(longPrompt(77, 1), engine_pool::LongPrompt).chosen;
    first->waitingTokens = 200'000;
    const auto second = fleet.choose(longPrompt(77, 2), engine_pool::LongPrompt).chosen;
    EXPECT_NE(first, second);
    // All hosts choose the same second engine, too.
    EXPECT_EQ(second, fleet.choose(longPrompt(77, 3), engine_pool::LongPrompt).chosen);
}

/// Load pattern: few requests from each of many hosts over many equal engines. Guards against a new
/// connection for nearly every request, and against an open connection that outweighs the load of a
/// busy engine.
TEST(placement, OpenConnectionsAreUsedAgain)
{
    engine_fleet fleet(12);
    const auto &engines = fleet.table.ofService("engines");
    const generation_size question{{{7, 100}}, 100, 300, 150};
    placement_request request;
    request.target = &fleet.target;
    request.size = &question;
    const auto countOpened = [&](bool looks) {
        std::mt19937 random(1);
        std::deque<const endpoint *> connected;
        const auto isConnected = [&connected](const endpoint &target) {
            return std::ranges::find(connected, &target) != connected.end();
        };
        request.isConnected = nullptr;
        if (looks)
            request.isConnected = isConnected;
        int opened = 0;
        for (int turn = 0; turn < 100; ++turn) {
            for (const auto &entry : engines)
                entry->runningByOtherHosts = random() % 8;
            const auto *chosen
                = chooseEndpoint(fleet.table, request, fleet.options, start).chosen.get();
            if (isConnected(*chosen))
                continue;
            ++opened;
            connected.push_back(chosen);
            // Endpoints close connections that are idle for long.
            if (connected.size() > 3)
                connected.pop_front();
        }
        return opened;
    };
    EXPECT_LT(countOpened(true) * 2, countOpened(false));

    const auto &busy = engines.front();
    busy->waitingTokensOfOtherHosts = 3'000;
    request.isConnected = [&busy](const endpoint &target) { return &target == busy.get(); };
    EXPECT_NE(chooseEndpoint(fleet.table, request, fleet.options, start).chosen, busy);
}

/// Guards against the choice of endpoints that are leaving, no longer listed, or already tried, and
/// against no choice at all when every endpoint is ejected.
TEST(placement, UsesOnlyEndpointsThatTakeWork)
{
    engine_fleet fleet(3);
    const auto size = shortQuestion(5);
    fleet.list[0].isLeaving = true;
    fleet.list.pop_back();
    fleet.table.update(fleet.list, start);
    const auto only = fleet.choose(size, engine_pool::Any).chosen;
    ASSERT_TRUE(only);
    EXPECT_EQ(only->listed.incarnation, "engine-1");
    only->ejectedUntil = start + std::chrono::seconds(5);
    EXPECT_EQ(fleet.choose(size, engine_pool::Any).chosen, only);
    placement_request request;
    request.target = &fleet.target;
    request.excluded = {only};
    EXPECT_FALSE(chooseEndpoint(fleet.table, request, fleet.options, start).chosen);
}

/// Guards against a leaving endpoint that gets requests again because an outdated list calls it
/// ready.
TEST(endpoint_table, LeavingStateIsKeptForAnIncarnation)
{
    engine_fleet fleet(2);
    fleet.list[0].isLeaving = true;
    fleet.table.update(fleet.list, start);
    fleet.list[0].isLeaving = false;
    fleet.table.update(fleet.list, start);
    EXPECT_EQ(fleet.table.notices().use("engine-0", start), policy::endpoint_use::Gone);
}

/// Guards against an endpoint that stays out of use after it has started again under the identity
/// that it had, and against state of its former start: ejections, cached prompts, connections.
TEST(endpoint_table, LaterStartUnderTheSameIdentityBeginsClean)
{
    const listed_endpoint staying{"i1", "s", {"10.0.0.1", 80}, "dc", 6, false};
    auto leaving = staying;
    leaving.isLeaving = true;
    auto moved = staying;
    moved.address.port = 81;
    for (const auto &[second, third] : {std::pair(std::vector<listed_endpoint>{leaving}, staying),
                                        std::pair(std::vector<listed_endpoint>{}, staying),
                                        std::pair(std::vector<listed_endpoint>{moved}, moved)}) {
        endpoint_table table;
        table.update({staying}, start);
        const auto former = table.ofService("s").front();
        former->running = 1;
        former->ejectedUntil = start + std::chrono::hours(1);
        former->partSentTimes.record(7, start);
        table.notices().reportLeaving("i1", {start, policy::notice_source::OwnAnswer, "r"}, start);
        const auto end = start + std::chrono::seconds(5);
        table.update(second, end);
        table.update({third}, end + std::chrono::seconds(1));
        const auto settled = end + std::chrono::seconds(10);
        EXPECT_EQ(table.notices().use("i1", settled), policy::endpoint_use::Gone);
        EXPECT_TRUE(table.confirmList(end + std::chrono::seconds(2)).empty());
        ASSERT_EQ(table.confirmList(settled).size(), 1U);
        EXPECT_EQ(table.notices().use("i1", settled), policy::endpoint_use::Free);
        ASSERT_EQ(table.ofService("s").size(), 1U);
        const auto &fresh = *table.ofService("s").front();
        EXPECT_EQ(table.all().at("i1").get(), &fresh);
        EXPECT_EQ(fresh.running, 0U);
        EXPECT_LE(fresh.ejectedUntil, start);
        EXPECT_TRUE(fresh.partSentTimes.empty());
        EXPECT_NE(fresh.connectionKey(), former->connectionKey());
        // The list names it as staying all the time.
        EXPECT_TRUE(table.confirmList(settled + std::chrono::hours(1)).empty());
    }
}

/// Guards against a failing endpoint that keeps getting requests because it is listed as ready, and
/// against one that is never tried again.
TEST(endpoint_table, EjectsFailingEndpointsForAWhile)
{
    engine_fleet fleet(2);
    auto &entry = *fleet.table.all().at("engine-0");
    for (int count = 0; count < 8; ++count)
        fleet.table.recordOutcome(entry, endpoint_outcome::Failed, start);
    EXPECT_GT(entry.ejectedUntil, start);
    const auto firstEnd = entry.ejectedUntil;
    entry.isProbing = true;
    fleet.table.recordOutcome(entry, endpoint_outcome::Failed, firstEnd);
    EXPECT_GT(entry.ejectedUntil - firstEnd, firstEnd - start);
    entry.isProbing = true;
    fleet.table.recordOutcome(entry, endpoint_outcome::Served, entry.ejectedUntil);
    EXPECT_EQ(entry.ejections, 0U);
    EXPECT_EQ(entry.failureShare, 0);
}

/// Guards against the ejection of healthy endpoints of a plain service that fails 14 in 100
/// requests, the highest rate of a healthy service.
TEST(endpoint_table, KeepsEndpointsWithOrdinaryFailures)
{
    engine_fleet fleet(1);
    auto &entry = *fleet.table.all().at("engine-0");
    std::mt19937 random(20261204);
    int ejected = 0;
    auto now = start;
    for (int count = 0; count < 2'000; ++count) {
        now += std::chrono::milliseconds(100);
        fleet.table.recordOutcome(
            entry, random() % 100 < 14 ? endpoint_outcome::Failed : endpoint_outcome::Served, now);
        ejected += entry.ejectedUntil > now ? 1 : 0;
    }
    EXPECT_LT(ejected, 100);
}

/// Guards against a dead endpoint that each host has to detect by itself, at the cost of a request
/// each time, and against a host with a broken network path that makes all others eject a healthy
/// endpoint.
TEST(endpoint_table, LostEndpointsAreReportedToOtherHosts)
{
    endpoint_table table;
    table.update({{"i1", "s", {"10.0.0.1", 80}, "dc", 6, false}}, start);
    auto &target = *table.ofService("s").front();
    EXPECT_FALSE(endpoint_table::shouldReportLoss(target, start));
    table.recordOutcome(target, endpoint_outcome::Unreachable, start);
    EXPECT_TRUE(endpoint_table::shouldReportLoss(target, start));
    EXPECT_FALSE(endpoint_table::shouldReportLoss(target, start + std::chrono::seconds(2)));

    endpoint_table other;
    other.update({{"i1", "s", {"10.0.0.1", 80}, "dc", 6, false},
                  {"i2", "s", {"10.0.0.2", 80}, "dc", 6, false},
                  {"i3", "s", {"10.0.0.3", 80}, "dc", 6, false}},
                 start);
    auto &reported = *other.ofService("s").front();
    other.applyLossReports({{"i1", 1}}, start);
    EXPECT_LE(reported.ejectedUntil, start);
    reported.lastReceived = start;
    other.applyLossReports({{"i1", 9}}, start + std::chrono::milliseconds(100));
    EXPECT_LE(reported.ejectedUntil, start);
    // Hosts that lost most of a service are assumed to be cut off themselves.
    other.applyLossReports({{"i1", 2}, {"i2", 2}}, start + std::chrono::seconds(1));
    EXPECT_LE(reported.ejectedUntil, start);
    other.applyLossReports({{"i1", 2}}, start + std::chrono::seconds(1));
    EXPECT_GT(reported.ejectedUntil, start + std::chrono::seconds(1));
}

/// Guards against requests to an incarnation that has been replaced, and against failures of it
/// that are counted for its successor.
TEST(endpoint_table, ReplacedIncarnationIsNotUsedAgain)
{
    endpoint_table table;
    table.update({{"i1", "s", {"10.0.0.1", 80}, "dc", 6, false}}, start);
    auto &target = *table.ofService("s").front();
    table.recordOutcome(target, endpoint_outcome::Replaced, start);
    EXPECT_EQ(table.notices().use("i1", start), policy::endpoint_use::Gone);
    EXPECT_TRUE(endpoint_table::shouldReportLoss(target, start));
    table.update({{"i2", "s", {"10.0.0.1", 80}, "dc", 6, false}}, start);
    ASSERT_EQ(table.ofService("s").size(), 1U);
    EXPECT_EQ(table.notices().use("i2", start), policy::endpoint_use::Free);
    EXPECT_EQ(table.ofService("s").front()->failureShare, 0);
}
