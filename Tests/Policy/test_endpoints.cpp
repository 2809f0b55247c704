#include "policy_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

namespace {

/// Runs requests one after the other; the engine with index `slow` takes `slowTime` for each.
void serve(driver &driver, int requests, std::uint32_t slow, std::chrono::milliseconds slowTime)
{
    for (int index = 0; index < requests; ++index) {
        const auto id = driver.submit(makeSpec(1));
        driver.tick(10ms);
        const auto endpoint = driver.running.at(id).endpoint.value;
        driver.now += endpoint == slow ? slowTime : 20ms;
        driver.core.reportFirstToken(id, driver.now);
        driver.finish(id);
    }
}

} // namespace

// Guards against new work for an endpoint after the first source said that it leaves, and against
// a lagging source that brings it back (guarantee 6).
TEST(Endpoints, LeavingHoldsUntilANewIncarnation)
{
    driver driver(makeDocument(1, 1));
    load_report report;
    report.incarnation = 7;
    driver.core.reportLoad(endpoint_id{0}, report, driver.now);
    driver.core.reportEndpointState("engine-0", state_source::Endpoint, endpoint_state::Leaving, 7,
                                    driver.now);
    driver.submit(makeSpec(0));
    EXPECT_TRUE(driver.tick().empty());
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Live, 7,
                                    driver.now);
    driver.core.reportLoad(endpoint_id{0}, report, driver.now);
    EXPECT_TRUE(driver.tick().empty());
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Live, 8,
                                    driver.now);
    EXPECT_EQ(driver.tick().size(), 1U);
    // The platform's list lags and reports the old incarnation.
    driver.core.reportEndpointState("engine-0", state_source::Platform, endpoint_state::Leaving, 7,
                                    driver.now);
    EXPECT_EQ(driver.endpoint(0).state, endpoint_state::Live);
}

// Guards against a drain in the document that is ignored or that ends running work.
TEST(Endpoints, DrainStopsNewWorkOnly)
{
    auto document = makeDocument(1, 1, 0, 2);
    driver driver(document);
    const auto running = driver.submit(makeSpec(0));
    driver.tick();
    document.drains = {{inventory::drain_target_kind::Endpoint, "engine-0"}};
    driver.core.configure(document, {"host", "north-a"}, driver.now);
    driver.submit(makeSpec(0));
    EXPECT_TRUE(driver.tick().empty());
    EXPECT_EQ(driver.endpoint(0).inFlight, 1U);
    EXPECT_FALSE(driver.finish(running));
    EXPECT_EQ(driver.core.dump().totals.expired, 0U);
}

// Guards against a straggler that is not ejected, and against one that is never reinstated.
TEST(Endpoints, StragglerIsEjectedProbedAndReinstated)
{
    driver driver(makeDocument(2, 4, 0, 4));
    serve(driver, 80, 0, 500ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Ejected);
    EXPECT_EQ(driver.core.dump().totals.ejected, 1U);
    // Still slow at the first probe: ejected again, for longer.
    driver.now += 5s;
    serve(driver, 1, 0, 500ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Ejected);
    driver.now += 5s;
    serve(driver, 1, 0, 20ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Ejected);
    driver.now += 5s;
    serve(driver, 1, 0, 20ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::SlowStart);
    driver.now += 10s;
    serve(driver, 1, 0, 20ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Healthy);
}

// Guards against pools that are never compared because the pools before them are always due first:
// with many pools, or ticks further apart than the interval, every tick found the first pool due.
TEST(Endpoints, StragglerOfALaterPoolIsEjected)
{
    auto document = makeDocument(2, 8, 0, 4);
    for (std::uint32_t index = 0; index < 4; ++index)
        document.endpoints[index].models = {"other model"};
    policy_options options;
    options.outlierInterval = 10ms;
    driver driver(document, options);
    const auto answer = [&driver](const std::string &model, std::uint32_t slowEndpoint) {
        auto spec = makeSpec(0);
        spec.model = model;
        const auto id = driver.submit(spec);
        driver.tick(2 * 10ms);
        const bool isSlow = driver.running.at(id).endpoint.value == slowEndpoint;
        driver.now += isSlow ? 500ms : 20ms;
        driver.core.reportFirstToken(id, driver.now);
        driver.finish(id);
    };
    constexpr std::uint32_t straggler = 6;
    for (int index = 0; index < 80; ++index) {
        answer("other model", straggler);
        answer("model", straggler);
    }
    EXPECT_EQ(driver.endpoint(straggler).health, endpoint_health::Ejected);
}

// Guards against a straggler that passes its probe because only its tokens are slow.
TEST(Endpoints, SlowTokensFailAProbe)
{
    driver driver(makeDocument(2, 4, 0, 4));
    const auto answer = [&driver](std::chrono::milliseconds slowGap) {
        const auto id = driver.submit(makeSpec(1));
        driver.tick(10ms);
        const bool isSlow = driver.running.at(id).endpoint.value == 0;
        driver.now += 20ms;
        driver.core.reportFirstToken(id, driver.now);
        driver.now += isSlow ? slowGap : 25ms;
        driver.core.reportTokens(id, 1, driver.now);
        driver.finish(id);
    };
    for (int index = 0; index < 80; ++index)
        answer(200ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Ejected);
    driver.now += 5s;
    answer(200ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::Ejected);
    driver.now += 10s;
    answer(25ms);
    EXPECT_EQ(driver.endpoint(0).health, endpoint_health::SlowStart);
}

// Guards against more than one probe at a time.
TEST(Endpoints, HalfOpenGetsOneProbe)
{
    driver driver(makeDocument(2, 4, 0, 4));
    serve(driver, 80, 0, 500ms);
    driver.now += 5s;
    for (int index = 0; index < 8; ++index)
        driver.submit(makeSpec(1));
    const auto decisions = driver.tick();
    EXPECT_EQ(std::ranges::count(decisions, decision_reason::Probe, &decision::reason), 1);
    EXPECT_EQ(driver.endpoint(0).inFlight, 1U);
    driver.submit(makeSpec(1));
    driver.tick(10ms);
    EXPECT_EQ(driver.endpoint(0).inFlight, 1U);
}

// Guards against an endpoint that stopped answering and so gives no samples.
TEST(Endpoints, SilentEndpointIsEjected)
{
    driver driver(makeDocument(2, 4, 0, 4));
    serve(driver, 60, 4, 0ms);
    std::vector<request_id> stuck(8);
    for (auto &id : stuck)
        id = driver.submit(makeSpec(1));
    driver.tick();
    for (const auto id : stuck) {
        if (driver.running.at(id).endpoint.value == 0)
            continue;
        driver.core.reportFirstToken(id, driver.now + 20ms);
        driver.finish(id);
    }
    ASSERT_GT(driver.endpoint(0).inFlight, 0U);
    for (int index = 0; index < 100; ++index)
        driver.tick(50ms);
    EXPECT_NE(driver.endpoint(0).health, endpoint_health::Healthy);
}

// Guards against the ejection of so many endpoints that the rest is overloaded.
TEST(Endpoints, FailuresEjectAtMostAThird)
{
    driver driver(makeDocument(1, 6, 0, 4));
    for (int index = 0; index < 200; ++index) {
        const auto id = driver.submit(makeSpec(0));
        driver.tick(10ms);
        driver.finish(id, attempt_outcome::Failed);
    }
    EXPECT_EQ(driver.core.dump().totals.ejected, 2U);
}

// Guards against a view of the cache that missed evictions: a gap clears it, a repeat does not.
TEST(Endpoints, CacheEventGapDropsTheView)
{
    driver driver(makeDocument(1, 1));
    const auto event = [&](std::uint64_t sequence, cache_event_kind kind, std::uint64_t block) {
        driver.core.reportCacheEvent(endpoint_id{0}, {sequence, kind, block}, driver.now);
    };
    event(10, cache_event_kind::Stored, 1);
    event(11, cache_event_kind::Stored, 2);
    event(11, cache_event_kind::Evicted, 1);
    EXPECT_EQ(driver.endpoint(0).cachedBlocks, 2U);
    event(12, cache_event_kind::Evicted, 1);
    EXPECT_EQ(driver.endpoint(0).cachedBlocks, 1U);
    event(14, cache_event_kind::Stored, 3);
    EXPECT_EQ(driver.endpoint(0).cachedBlocks, 1U);
    EXPECT_EQ(driver.endpoint(0).cacheGaps, 1U);
    event(15, cache_event_kind::Stored, 4);
    EXPECT_EQ(driver.endpoint(0).cachedBlocks, 2U);
    event(16, cache_event_kind::Cleared, 0);
    EXPECT_EQ(driver.endpoint(0).cachedBlocks, 0U);
}
