#include "policy_fixture.h"

#include "LibPolicy/length_histogram.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

// Guards against a rate limit that admits too much, or never admits the account again.
TEST(Admission, RequestRateIsLimitedAndRefills)
{
    auto document = makeDocument(1, 1, 0, 100);
    document.accounts[0].configuredLimits.requestsPerSecond = 2;
    document.accounts[0].configuredLimits.requestBurst = 3;
    driver driver(document);
    for (int index = 0; index < 3; ++index)
        EXPECT_FALSE(driver.refusal(makeSpec(0)));
    EXPECT_EQ(driver.refusal(makeSpec(0)), policy_error::AccountRequestLimit);
    EXPECT_FALSE(driver.refusal(makeSpec(0, 1)));
    driver.now += 500ms;
    EXPECT_FALSE(driver.refusal(makeSpec(0)));
    EXPECT_EQ(driver.refusal(makeSpec(0)), policy_error::AccountRequestLimit);
}

// Guards against a host that uses the limit of the whole fleet, and against share 0 admitting work.
TEST(Admission, ShareScalesLimits)
{
    auto document = makeDocument(1, 1, 0, 100);
    document.classes[0].configuredLimits.requestsPerSecond = 10;
    document.classes[0].configuredLimits.requestBurst = 10;
    driver driver(document);
    driver.core.setShare(0.2, driver.now);
    EXPECT_FALSE(driver.refusal(makeSpec(0)));
    EXPECT_FALSE(driver.refusal(makeSpec(0)));
    EXPECT_EQ(driver.refusal(makeSpec(0)), policy_error::ClassRequestLimit);
    driver.core.setShare(0, driver.now);
    driver.now += 10s;
    EXPECT_EQ(driver.refusal(makeSpec(0)), policy_error::ClassRequestLimit);
}

// Guards against a token limit that ignores the prompt or never corrects its estimate.
TEST(Admission, TokenLimitChargesRealOutput)
{
    auto document = makeDocument(1, 1, 0, 100);
    document.accounts[0].configuredLimits.tokensPerSecond = 100;
    document.accounts[0].configuredLimits.tokenBurst = 200;
    driver driver(document);
    auto spec = makeSpec(0);
    spec.promptTokens = 150;
    const auto id = driver.submit(spec);
    driver.tick();
    EXPECT_EQ(driver.refusal(spec), policy_error::AccountTokenLimit);
    driver.core.reportTokens(id, 1000, driver.now);
    driver.finish(id);
    driver.now += 5s;
    EXPECT_EQ(driver.refusal(spec), policy_error::AccountTokenLimit);
    EXPECT_GT(driver.core.retryAfter(spec, driver.now), 4s);
    driver.now += 7s;
    EXPECT_FALSE(driver.refusal(spec));
}

// Guards against a concurrency limit that is exceeded or that blocks other accounts.
TEST(Admission, ConcurrencyHoldsRequestsInTheQueue)
{
    auto document = makeDocument(1, 1, 0, 10);
    document.accounts[0].configuredLimits.concurrency = 2;
    driver driver(document);
    for (int index = 0; index < 4; ++index)
        driver.submit(makeSpec(0, 0));
    const auto other = driver.submit(makeSpec(0, 1));
    driver.tick();
    EXPECT_EQ(driver.running.size(), 3U);
    EXPECT_TRUE(driver.running.contains(other));
    driver.finish(driver.running.begin()->first);
    driver.tick();
    EXPECT_EQ(driver.running.size(), 3U);
}

// Guards against a large account that fills the queue or takes all turns of its class.
TEST(Admission, LargeAccountDoesNotCrowdOutOthers)
{
    auto document = makeDocument(1, 1);
    document.classes[0].queueLength = 10;
    driver driver(document);
    driver.submit(makeSpec(0, 0));
    driver.tick();
    for (int index = 0; index < 10; ++index)
        driver.submit(makeSpec(0, 0));
    EXPECT_EQ(driver.refusal(makeSpec(0, 0)), policy_error::QueueFull);
    const auto small = driver.submit(makeSpec(0, 1));
    ASSERT_NE(small.value, 0U);
    driver.finish(driver.running.begin()->first);
    const auto decisions = driver.tick();
    ASSERT_EQ(count(decisions, decision_kind::Shed), 1U);
    EXPECT_EQ(decisions[0].beneficiary, small);
    EXPECT_GE(decisions[0].retryAfter, 1s);
    EXPECT_TRUE(driver.running.contains(small));
}

// Guards against a request that is refused although the queue holds requests of a lower tier,
// because those of the largest account have all run before and are not shed.
TEST(Admission, ShedsFromTheNextAccountIfTheLargestHasRunBefore)
{
    policy_options options;
    options.hostQueueBound = 3;
    driver driver(makeDocument(2, 2), options);
    const auto first = driver.submit(makeSpec(1, 0));
    const auto second = driver.submit(makeSpec(1, 0));
    driver.tick();
    // Both come back after a failed attempt and wait behind requests that take their slots.
    driver.submit(makeSpec(0, 1));
    driver.submit(makeSpec(0, 1));
    driver.finish(first, attempt_outcome::RetryBeforeFirstByte);
    driver.finish(second, attempt_outcome::RetryBeforeFirstByte);
    driver.tick();
    const auto other = driver.submit(makeSpec(1, 1));
    const auto top = driver.submit(makeSpec(0, 0));
    ASSERT_NE(top.value, 0U);
    const auto decisions = driver.tick();
    ASSERT_EQ(count(decisions, decision_kind::Shed), 1U);
    EXPECT_EQ(decisions[0].request, other);
    EXPECT_EQ(decisions[0].beneficiary, top);
}

// Guards against a time to come back that ignores the limits of the account, for a call of a plain
// service that names a model.
TEST(Admission, RetryAfterOfAServiceCallFollowsItsLimits)
{
    auto document = makeDocument(1, 1);
    document.accounts[0].configuredLimits.requestsPerSecond = 0.1;
    document.accounts[0].configuredLimits.requestBurst = 1;
    inventory::endpoint service;
    service.name = "desk";
    service.kind = inventory::endpoint_kind::Service;
    service.dataCentre = 0;
    service.service = "booking";
    service.capacity = 4;
    document.endpoints.push_back(service);
    driver driver(document);
    auto spec = makeSpec(0);
    spec.service = "booking";
    ASSERT_NE(driver.submit(spec).value, 0U);
    ASSERT_EQ(driver.refusal(spec), policy_error::AccountRequestLimit);
    EXPECT_GT(driver.core.retryAfter(spec, driver.now), 5s);
}

// Guards against requests of a lower tier that keep out a higher one when the host's queues are
// full.
TEST(Admission, FullHostShedsTheLowestTier)
{
    policy_options options;
    options.hostQueueBound = 3;
    driver driver(makeDocument(3, 1), options);
    const auto running = driver.submit(makeSpec(0));
    driver.tick();
    driver.submit(makeSpec(1));
    const auto lowest = driver.submit(makeSpec(2));
    driver.submit(makeSpec(1));
    const auto top = driver.submit(makeSpec(0));
    ASSERT_NE(top.value, 0U);
    const auto decisions = driver.tick();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].kind, decision_kind::Shed);
    EXPECT_EQ(decisions[0].request, lowest);
    EXPECT_EQ(decisions[0].beneficiary, top);
    EXPECT_EQ(driver.refusal(makeSpec(2)), policy_error::QueueFull);
    driver.finish(running);
}

// Guards against a class that is served by arrival instead of by deadline, and against late
// requests that delay those that can still meet their target.
TEST(Admission, EarliestDeadlineGoesFirstAndLateOnesLast)
{
    auto document = makeDocument(1, 1);
    document.classes[0].timeToFirstToken = 100ms;
    driver driver(document);
    const auto first = driver.submit(makeSpec(0));
    driver.tick();
    const auto late = driver.submit(makeSpec(0));
    driver.now += 150ms;
    const auto relaxed = driver.submit(makeSpec(0));
    auto spec = makeSpec(0);
    spec.deadline = 50ms;
    const auto urgent = driver.submit(spec);
    std::vector<request_id> order;
    request_id running = first;
    for (int index = 0; index < 3; ++index) {
        driver.finish(running);
        driver.tick();
        running = driver.running.begin()->first;
        order.push_back(running);
    }
    EXPECT_EQ(order, (std::vector{urgent, relaxed, late}));
}

// Guards against lower tiers that hold every slot while the top tier misses its target.
TEST(Admission, LateTopTierRaisesItsHeadroom)
{
    auto document = makeDocument(2, 1, 0, 8);
    document.classes[0].timeToFirstToken = 100ms;
    document.classes[1].maximumWait = 1h;
    document.classes[1].deadline = 1h;
    driver driver(document);
    for (int index = 0; index < 6; ++index) {
        driver.submit(makeSpec(0));
        driver.tick(index < 4 ? 80ms : 0ms);
    }
    while (!driver.running.empty())
        driver.finish(driver.running.begin()->first);
    for (int index = 0; index < 8; ++index)
        driver.submit(makeSpec(1));
    driver.tick();
    EXPECT_EQ(driver.running.size(), 7U);
    const auto top = driver.submit(makeSpec(0));
    driver.tick();
    EXPECT_TRUE(driver.running.contains(top));
    driver.finish(top);
    EXPECT_TRUE(driver.tick().empty());
    // Without requests of the top tier the headroom decays.
    EXPECT_EQ(driver.tick(100s).size(), 1U);
}

// Guards against work on requests that cannot be answered in time any more.
TEST(Admission, DeadlinesExpireAndUnreachableOnesAreRefused)
{
    auto document = makeDocument(1, 1);
    document.classes[0].deadline = 4s;
    driver driver(document);
    for (int index = 0; index < 8; ++index) {
        const auto id = driver.submit(makeSpec(0));
        driver.tick();
        driver.now += 1s;
        driver.finish(id);
    }
    driver.submit(makeSpec(0));
    driver.tick();
    std::uint32_t admitted = 0;
    while (!driver.refusal(makeSpec(0)))
        ++admitted;
    EXPECT_EQ(driver.refusal(makeSpec(0)), policy_error::DeadlineUnreachable);
    EXPECT_GE(admitted, 3U);
    EXPECT_LE(admitted, 4U);
    EXPECT_GE(driver.core.retryAfter(makeSpec(0), driver.now), 3s);
    const auto expired = driver.tick(4s);
    EXPECT_EQ(count(expired, decision_kind::Expire), admitted);
    EXPECT_EQ(expired[0].reason, decision_reason::DeadlinePassed);
}

// Guards against a quantile that ignores recent answers.
TEST(Admission, OutputLengthFollowsRecentAnswers)
{
    length_histogram histogram;
    for (int index = 0; index < 300; ++index)
        histogram.add(100);
    EXPECT_NEAR(histogram.quantile(0.5), 100, 20);
    for (int index = 0; index < 300; ++index)
        histogram.add(index % 10 == 0 ? 2000 : 400);
    EXPECT_NEAR(histogram.quantile(0.5), 400, 80);
    EXPECT_NEAR(histogram.quantile(0.95), 2000, 400);
}
