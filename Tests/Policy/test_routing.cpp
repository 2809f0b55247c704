#include "policy_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

namespace {

request_spec makeLongPrompt(std::uint64_t promptNumber)
{
    auto spec = makeSpec(0);
    spec.promptTokens = 640;
    for (std::uint64_t block = 0; block < 40; ++block)
        spec.prefixBlocks.push_back(mixBits(promptNumber * 1000 + block));
    return spec;
}

} // namespace

// Guards against a prompt that is computed again although an engine has it cached.
TEST(Routing, CachedPrefixIsFollowed)
{
    driver driver(makeDocument(1, 4, 0, 8));
    const auto first = driver.submit(makeLongPrompt(1));
    driver.tick();
    const auto preferred = driver.running.at(first).endpoint;
    driver.core.reportFirstToken(first, driver.now);
    driver.finish(first);
    for (int index = 0; index < 20; ++index) {
        const auto id = driver.submit(makeLongPrompt(1));
        driver.tick(10ms);
        EXPECT_EQ(driver.running.at(id).endpoint, preferred);
        EXPECT_EQ(driver.running.at(id).reason, decision_reason::CachedPrefix);
        driver.finish(id);
    }
}

// Guards against hosts that spread one prefix over all engines because they exchange no state.
TEST(Routing, HostsPreferTheSameEndpointForAPrefix)
{
    int agreed = 0;
    for (std::uint64_t promptNumber = 0; promptNumber < 50; ++promptNumber) {
        std::vector<endpoint_id> chosen;
        for (const std::uint64_t seed : {1U, 2U}) {
            driver driver(makeDocument(1, 6, 0, 8), {}, seed);
            const auto id = driver.submit(makeLongPrompt(promptNumber));
            driver.tick();
            chosen.push_back(driver.running.at(id).endpoint);
        }
        agreed += chosen[0] == chosen[1] ? 1 : 0;
    }
    EXPECT_EQ(agreed, 50);
}

// Guards against billed cross-region traffic while local engines have free slots, and against
// requests that wait for a local engine without limit.
TEST(Routing, OtherRegionsOnlyAfterTheSpillDelay)
{
    auto document = makeDocument(1, 1, 1, 2);
    document.classes[0].timeToFirstToken = 1000ms;
    policy_options options;
    options.spillFraction = 0.25;
    driver driver(document, options);
    // Without a report the other region is assumed to be as busy as this one.
    driver.core.reportLoad(endpoint_id{1}, {}, driver.now);
    for (int index = 0; index < 3; ++index)
        driver.submit(makeSpec(0));
    driver.tick();
    EXPECT_EQ(driver.endpoint(0).inFlight, 2U);
    EXPECT_EQ(driver.endpoint(1).inFlight, 0U);
    driver.tick(240ms);
    EXPECT_EQ(driver.endpoint(1).inFlight, 0U);
    driver.tick(20ms);
    EXPECT_EQ(driver.endpoint(1).inFlight, 1U);
}

// Guards against all hosts sending to the engine that the last report showed as idle.
TEST(Routing, OldReportsCountLess)
{
    driver driver(makeDocument(1, 2, 0, 10));
    load_report busy;
    busy.running = 10;
    driver.core.reportLoad(endpoint_id{0}, busy, driver.now);
    EXPECT_NEAR(driver.endpoint(0).otherHostsLoad, 10, 0.01);
    const auto id = driver.submit(makeSpec(0));
    driver.tick(5s);
    EXPECT_EQ(driver.running.at(id).endpoint, endpoint_id{1});
    EXPECT_NEAR(driver.endpoint(0).otherHostsLoad, 5, 0.01);
    driver.now += 5s;
    driver.tick();
    EXPECT_NEAR(driver.endpoint(0).otherHostsLoad, 0, 0.01);
}

// Guards against own work counted twice when the engine reports it back late.
TEST(Routing, OwnWorkInALateReportIsSubtracted)
{
    driver driver(makeDocument(1, 1, 0, 8));
    for (int index = 0; index < 3; ++index)
        driver.submit(makeSpec(0));
    driver.tick();
    driver.now += 1s;
    while (!driver.running.empty())
        driver.finish(driver.running.begin()->first);
    load_report report;
    report.running = 4;
    report.age = 500ms;
    driver.core.reportLoad(endpoint_id{0}, report, driver.now);
    EXPECT_NEAR(driver.endpoint(0).otherHostsLoad, 0.95, 0.01);
}

// Guards against retries that multiply an overload, go to the endpoint that failed, or concern a
// non-repeatable call.
TEST(Routing, RetriesHaveABudgetAndGoElsewhere)
{
    driver driver(makeDocument(1, 4, 0, 100));
    auto spec = makeSpec(0);
    spec.repeatable = false;
    const auto once = driver.submit(spec);
    driver.tick();
    EXPECT_FALSE(driver.finish(once, attempt_outcome::RetryBeforeFirstByte));
    std::uint32_t retried = 0;
    for (int index = 0; index < 100; ++index) {
        const auto id = driver.submit(makeSpec(0));
        driver.tick();
        const auto failed = driver.running.at(id).endpoint;
        if (!driver.finish(id, attempt_outcome::RetryBeforeFirstByte))
            continue;
        ++retried;
        driver.tick();
        EXPECT_NE(driver.running.at(id).endpoint, failed);
        EXPECT_EQ(driver.running.at(id).reason, decision_reason::Retry);
        driver.finish(id);
    }
    EXPECT_GE(retried, 15U);
    EXPECT_LE(retried, 21U);
}

// Guards against a broken stream that continues at an engine which did not begin it or cannot
// resume, which would join two generations (guarantee 3).
TEST(Routing, BrokenStreamsResumeOnlyAtTheirEngine)
{
    auto document = makeDocument(1, 3, 0, 4);
    document.endpoints[0].canResume = false;
    driver driver(document);
    int resumed = 0;
    // Fewer than the reserve of the retry budget.
    constexpr int requests = 9;
    for (int index = 0; index < requests; ++index) {
        const auto id = driver.submit(makeSpec(0));
        driver.tick();
        const auto first = driver.running.at(id).endpoint;
        driver.core.reportTokens(id, 7, driver.now);
        const bool isRetried = driver.finish(id, attempt_outcome::Resume);
        EXPECT_EQ(isRetried, first != endpoint_id{0});
        if (!isRetried)
            continue;
        ++resumed;
        driver.tick();
        EXPECT_EQ(driver.running.at(id).endpoint, first);
        EXPECT_EQ(driver.running.at(id).resumeFrom, 7U);
        driver.finish(id);
    }
    EXPECT_GT(resumed, 0);
    EXPECT_LT(resumed, requests);
}

// Guards against calls to a service that wait for reports which only engines give, or that reach
// another service.
TEST(Routing, ServiceCallsGoToTheirService)
{
    auto document = makeDocument(1, 2, 0, 4);
    for (const char *name : {"booking", "orders"}) {
        inventory::endpoint service;
        service.name = name;
        service.service = name;
        service.kind = inventory::endpoint_kind::Service;
        document.endpoints.push_back(service);
    }
    driver driver(document);
    auto spec = makeSpec(0);
    spec.model.clear();
    spec.service = "orders";
    spec.repeatable = false;
    for (int index = 0; index < 10; ++index) {
        const auto id = driver.submit(spec);
        driver.tick(20ms);
        EXPECT_EQ(driver.running.at(id).endpoint, endpoint_id{3});
        EXPECT_FALSE(driver.finish(id));
    }
    spec.service = "unknown";
    EXPECT_EQ(driver.refusal(spec), policy_error::NoEndpoint);
}

// Guards against a preemption while the higher tier has time, and against none when it has not.
TEST(Routing, PreemptsOnlyWhenTheTargetWouldBeMissed)
{
    auto document = makeDocument(2, 1);
    document.classes[0].timeToFirstToken = 500ms;
    document.classes[1].preemptible = true;
    driver driver(document);
    const auto low = driver.submit(makeSpec(1));
    driver.tick();
    driver.core.reportTokens(low, 3, driver.now);
    const auto top = driver.submit(makeSpec(0));
    EXPECT_TRUE(driver.tick(300ms).empty());
    const auto decisions = driver.tick(160ms);
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(decisions[0].kind, decision_kind::Preempt);
    EXPECT_EQ(decisions[0].request, low);
    EXPECT_EQ(decisions[0].beneficiary, top);
    EXPECT_EQ(decisions[1].request, top);
    driver.finish(top);
    const auto resumed = driver.tick();
    ASSERT_EQ(resumed.size(), 1U);
    EXPECT_EQ(resumed[0].resumeFrom, 3U);
}

// Guards against explanations that lack reasons, scores or refusals.
TEST(Routing, ExplainShowsStepsAndScores)
{
    driver driver(makeDocument(1, 2));
    auto spec = makeSpec(0);
    spec.requestId = "abc";
    driver.submit(spec);
    EXPECT_EQ(driver.core.explain("abc")->phase, request_phase::Queued);
    driver.tick();
    const auto found = driver.core.explain("abc");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->phase, request_phase::Running);
    ASSERT_EQ(found->steps.size(), 1U);
    EXPECT_EQ(found->steps[0].candidates.size(), 2U);
    spec.model = "unknown";
    spec.requestId = "def";
    EXPECT_EQ(driver.refusal(spec), policy_error::NoEndpoint);
    EXPECT_EQ(driver.core.explain("def")->steps.at(0).refusal, policy_error::NoEndpoint);
    EXPECT_FALSE(driver.core.explain("ghi"));
}

// Guards against baselines that deviate from their definition: one FIFO queue without tiers, and
// endpoints in round robin or by the fewest attempts in flight.
TEST(Routing, BaselinesKeepArrivalOrder)
{
    const auto document = makeDocument(2, 3, 0, 2);
    round_robin_core roundRobin(1);
    least_in_flight_core leastInFlight(1);
    const core::instant now{};
    roundRobin.configure(document, {"host", "north-a"}, now);
    leastInFlight.configure(document, {"host", "north-a"}, now);
    std::vector<request_id> submitted;
    for (const std::uint32_t requestClass : {1U, 0U, 1U, 0U, 1U, 0U, 1U}) {
        submitted.push_back(roundRobin.submit(makeSpec(requestClass), now).value());
        ASSERT_TRUE(leastInFlight.submit(makeSpec(requestClass), now));
    }
    const auto turns = roundRobin.tick(now);
    ASSERT_EQ(turns.size(), 6U);
    for (std::size_t index = 0; index < turns.size(); ++index) {
        EXPECT_EQ(turns[index].request, submitted[index]);
        EXPECT_EQ(turns[index].endpoint, turns[index % 3].endpoint);
    }
    EXPECT_EQ(leastInFlight.tick(now).size(), 6U);
    for (const auto &endpoint : leastInFlight.dump().endpoints)
        EXPECT_EQ(endpoint.inFlight, 2U);
}
