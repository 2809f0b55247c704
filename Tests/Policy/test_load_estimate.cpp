#include "LibPolicy/load_estimate.h"

#include <cmath>

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::instant start{std::chrono::hours(1)};

} // namespace

/// Guards against an endpoint that one sum shows as empty and all hosts overrun until the next one,
/// and against an estimate that forgets a fresh sum.
TEST(load_estimate, MovesFromTheSumToTheMeanAsTheSumAges)
{
    load_estimate estimate;
    EXPECT_EQ(estimate.present({7, 70}, {}, start).running, 7);
    for (int count = 0; count < 100; ++count)
        estimate.report({8, 4'000}, start + milliseconds(250) * count);
    const auto madeAt = start + seconds(25);
    estimate.report({0, 0}, madeAt);
    EXPECT_EQ(estimate.present({0, 0}, {}, madeAt).running, 0);
    double before = 0;
    for (int age = 100; age <= 3'000; age += 100) {
        const auto present = estimate.present({0, 0}, {}, madeAt + milliseconds(age));
        EXPECT_GT(present.waitingTokens, before);
        EXPECT_LE(present.waitingTokens, 4'000);
        before = present.waitingTokens;
    }
    EXPECT_GT(before, 3'000);
    // A sum that was made earlier changes nothing.
    const auto known = estimate.present({0, 0}, {}, madeAt + seconds(1)).running;
    estimate.report({90, 90}, madeAt - seconds(1));
    EXPECT_EQ(estimate.present({0, 0}, {}, madeAt + seconds(1)).running, known);
    estimate.forget();
    EXPECT_FALSE(estimate.age(madeAt));
}

/// Guards against a slow engine that is taken to be as fast as the others, against a speed out of
/// bounds after one very late answer, and against one that is remembered for ever.
TEST(learnt_speed, FollowsTheAnswersWithinBounds)
{
    learnt_speed slow;
    learnt_speed nominal;
    EXPECT_EQ(slow.speed(0, start), 1);
    auto now = start;
    slow.record(seconds(60), milliseconds(100), now);
    EXPECT_GT(slow.speed(0, now), 0.7);
    for (int count = 0; count < 60; ++count) {
        now += seconds(1);
        slow.record(milliseconds(150), milliseconds(100), now);
        nominal.record(milliseconds(100), milliseconds(100), now);
    }
    EXPECT_NEAR(nominal.speed(0, now), 1, 0.01);
    EXPECT_LT(slow.speed(0, now), 0.8);
    EXPECT_GT(slow.speed(0, now), 0.6);
    // All engines of the service are late by the same factor: the prediction is wrong.
    EXPECT_NEAR(slow.speed(slow.delay(now), now), 1, 0.1);
    EXPECT_NEAR(slow.speed(0, now + seconds(600)), 1, 0.01);
    for (int count = 0; count < 60; ++count)
        slow.record(seconds(60), milliseconds(100), now);
    EXPECT_EQ(slow.speed(0, now), learnt_speed::slowest);
    slow.record(microseconds(1), milliseconds(1), now);
    EXPECT_EQ(slow.speed(0, now), learnt_speed::slowest);
}
