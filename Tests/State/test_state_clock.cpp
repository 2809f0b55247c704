#include "LibState/state_clock.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat;
using namespace std::chrono_literals;

namespace {

const core::wall_time first{std::chrono::hours(24 * 365 * 50)};
const core::instant start{1h};

} // namespace

/// Guards against retention that a jump of the time of day ends early or extends: a later leader,
/// which may have started again with another time of day, goes on from the time of the state.
RC_GTEST_PROP(state_clock, JumpsOfTheTimeOfDayMoveNoTimeOfTheState, ())
{
    state::state_clock clock(core::wall_time(), first, start);
    auto now = start;
    auto expected = first;
    for (const int jumpSeconds : *rc::gen::container<std::vector<int>>(rc::gen::inRange(-30, 31))) {
        const std::chrono::milliseconds led(*rc::gen::inRange(0, 100'000));
        now += led;
        expected += led;
        RC_ASSERT(clock.at(now) == expected);
        // Another host leads after a while without a leader, and its time of day has jumped.
        now += 5s;
        clock = state::state_clock(expected, expected + std::chrono::seconds(jumpSeconds), now);
        RC_ASSERT(clock.at(now) == expected);
    }
}

/// Guards against times that run back within one leader, for example if it asks with a time that
/// was taken before it became the leader.
TEST(state_clock, TimeDoesNotRunBack)
{
    const state::state_clock clock(first, first - 30s, start);
    EXPECT_EQ(clock.at(start - 1s), first);
    EXPECT_EQ(clock.at(start), first);
}
