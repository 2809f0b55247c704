#include "LibPolicy/pause_prediction.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::policy;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Deployment U of docs/design/duties-load-and-callers.md.
engine_pace pace()
{
    return {51.1, microseconds(5090), microseconds(30), 4, 10, 1};
}

} // namespace

/// Guards against a prediction without a bound for a long queue, and against one that does not see
/// the batch or the speed of the engine.
TEST(pause_prediction, FollowsBatchQueueAndSpeed)
{
    pause_prediction prediction;
    EXPECT_EQ(prediction.pause(pace(), 0), microseconds(21'560));
    EXPECT_GT(prediction.pause(pace(), 1'000), prediction.pause(pace(), 0));
    EXPECT_EQ(prediction.pause(pace(), 100'000), prediction.pause(pace(), 1'000'000));
    auto slow = pace();
    slow.speed = 0.5;
    EXPECT_EQ(prediction.pause(slow, 0), 2 * prediction.pause(pace(), 0));
}

/// Guards against a long prompt that makes the streams of an engine with large chunks pause for
/// longer than the 300 ms of U, because the chunks are taken to be small, and against the opposite.
TEST(pause_prediction, LearnsTheChunk)
{
    pause_prediction prediction;
    for (int count = 0; count < 200; ++count)
        prediction.record(milliseconds(count % 5 == 0 ? 342 : 95), pace());
    EXPECT_GT(prediction.pause(pace(), 17'000), milliseconds(250));
    for (int count = 0; count < 2'000; ++count)
        prediction.record(milliseconds(70), pace());
    EXPECT_LT(prediction.pause(pace(), 17'000), milliseconds(100));
    prediction.record(milliseconds(60'000), pace());
    EXPECT_LT(prediction.pause(pace(), 17'000), milliseconds(150));
}
