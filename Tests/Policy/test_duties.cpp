#include "LibPolicy/duty_lease.h"
#include "LibPolicy/fleet_clock.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace std::chrono_literals;

namespace {

constexpr auto waitTime = 3000ms;
const core::instant start{1h};
const core::wall_time day{24h * 20'000};

} // namespace

// Guards against a holder that acts while calls of its predecessor may be on their way.
TEST(DutyLease, WaitsAfterAnAcquisition)
{
    duty_lease lease(waitTime);
    EXPECT_EQ(lease.update({false, std::nullopt}, start), duty_standing::NotLeading);
    EXPECT_EQ(lease.update({true, std::nullopt}, start), duty_standing::NotAcquired);
    EXPECT_TRUE(lease.shouldAcquire());
    EXPECT_EQ(lease.update({true, 7}, start), duty_standing::Waiting);
    EXPECT_EQ(lease.update({true, 7}, start + waitTime - 1ms), duty_standing::Waiting);
    EXPECT_EQ(lease.update({true, 7}, start + waitTime), duty_standing::MayAct);
    EXPECT_EQ(lease.generation(), 7U);
}

// Guards against a second wait, or a second number, after a lead that was lost and regained
// without another holder; and against acting without a valid lease.
TEST(DutyLease, RegainedLeadKeepsTheNumber)
{
    duty_lease lease(waitTime);
    lease.update({true, 7}, start);
    EXPECT_EQ(lease.update({false, 7}, start + waitTime), duty_standing::NotLeading);
    EXPECT_FALSE(lease.shouldAcquire());
    EXPECT_EQ(lease.update({true, 7}, start + waitTime + 1ms), duty_standing::MayAct);
}

// Guards against the order A, B, A within the waiting time: A has to acquire and to wait again.
TEST(DutyLease, ReplacedHolderWaitsAgain)
{
    duty_lease lease(waitTime);
    lease.update({true, 7}, start);
    ASSERT_EQ(lease.update({true, 7}, start + waitTime), duty_standing::MayAct);
    EXPECT_EQ(lease.update({true, std::nullopt}, start + 4s), duty_standing::NotAcquired);
    EXPECT_EQ(lease.generation(), 0U);
    EXPECT_EQ(lease.update({true, 9}, start + 5s), duty_standing::Waiting);
    EXPECT_EQ(lease.update({true, 9}, start + 5s + waitTime), duty_standing::MayAct);
}

// Guards against a true time that jumps of up to three tenths of the clocks move, and against
// samples of hosts that are gone.
TEST(FleetClock, TakesTheMedianOfTheClocks)
{
    fleet_clock clock;
    for (int host = 0; host < 10; ++host) {
        const auto error = host < 3 ? (host == 0 ? -7s : 7s) : host * 1ms;
        clock.record(std::to_string(host), day + error, start);
    }
    const auto time = clock.time(start + 100ms);
    ASSERT_TRUE(time);
    EXPECT_GE(*time, day + 100ms);
    EXPECT_LE(*time, day + 110ms);
    clock.record("0", day + 11s, start + 11s);
    EXPECT_EQ(clock.sampleCount(start + 11s), 1U);
    EXPECT_FALSE(clock.time(start + 11s));
    EXPECT_EQ(clock.time(start + 11s, 1), day + 11s);
}

// Guards against a host that uses its own clock although it knows the true time, or a late answer.
TEST(FleetClock, HostsAddHalfTheRoundTrip)
{
    fleet_time time;
    const auto trueTime
        = std::chrono::duration_cast<std::chrono::milliseconds>(day.time_since_epoch());
    EXPECT_EQ(time.at(start, day + 9s), day + 9s);
    time.record(0ms, start, start);
    EXPECT_FALSE(time.isKnown());
    time.record(trueTime, start, start + 40ms);
    EXPECT_EQ(time.at(start + 40ms, day + 9s), day + 20ms);
    time.record(trueTime, start, start + 3s);
    EXPECT_EQ(time.at(start + 3s, day + 9s), day + 2980ms);
}
