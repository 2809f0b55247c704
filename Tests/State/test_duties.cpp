#include "state_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::state;
using namespace quetzalcleat::state::test;

namespace {

std::uint64_t acquire(state_driver &driver, const std::string &host, std::uint64_t incarnation = 1,
                      duty kind = duty::Usage)
{
    EXPECT_FALSE(driver.apply(duty_acquire{kind, host, incarnation}).error);
    return driver.state.duties().holder(kind)->generation;
}

/// As many undelivered windows as 60 s have windows of 5 s.
constexpr std::uint64_t keptWindows = 12;

command_result close(state_driver &driver, std::uint64_t generation, std::uint64_t window,
                     std::uint64_t count = 7)
{
    return driver.apply(usage_close{generation, window, keptWindows, {{"account", count}}});
}

} // namespace

// Guards against two holders with the same number, and against a number that a repeated proposal
// of the holder changes.
TEST(Duties, NumbersAreUniqueAndGrow)
{
    state_driver driver;
    const auto first = acquire(driver, "a");
    EXPECT_EQ(acquire(driver, "a"), first);
    const auto restarted = acquire(driver, "a", 2);
    EXPECT_GT(restarted, first);
    const auto other = acquire(driver, "b");
    EXPECT_GT(other, restarted);
    EXPECT_GT(acquire(driver, "a", 2), other);
    EXPECT_GT(acquire(driver, "b", 1, duty::Autoscale), 0U);
    EXPECT_EQ(driver.state.duties().holder(duty::Usage)->host, "a");
}

// Guards against two reports of one window with different counts, also after a restart and after
// the window was dropped.
TEST(Duties, CountsOfAWindowAreFixedOnce)
{
    state_driver driver;
    const auto old = acquire(driver, "a");
    ASSERT_FALSE(close(driver, old, 100).error);
    const auto current = acquire(driver, "b");
    EXPECT_EQ(close(driver, old, 101).error, state_error::StaleFencing);
    driver.restart();
    const auto again = close(driver, current, 100, 8);
    EXPECT_EQ(again.error, state_error::WindowClosed);
    EXPECT_EQ(std::get<usage_verdict>(again.verdict).counts.at("account"), 7U);
    EXPECT_EQ(close(driver, current, 99).error, state_error::WindowClosed);
    ASSERT_FALSE(close(driver, current, 112).error);
    EXPECT_FALSE(driver.state.duties().usageWindows().contains(100));
    EXPECT_EQ(driver.state.duties().droppedWindows(), 1U);
    EXPECT_EQ(close(driver, current, 100).error, state_error::WindowClosed);
}

// Guards against a table without bound, and against undelivered windows that make room for
// delivered ones.
TEST(Duties, DeliveredWindowsAreDroppedFirst)
{
    state_driver driver;
    const auto generation = acquire(driver, "a");
    for (std::uint64_t window = 1; window <= 200; ++window) {
        ASSERT_FALSE(close(driver, generation, window).error);
        if (window <= 190)
            driver.apply(usage_delivered{window});
    }
    const auto &duties = driver.state.duties();
    EXPECT_EQ(duties.usageWindows().size(), duty_tables::maximumWindows);
    EXPECT_TRUE(duties.usageWindows().contains(191));
    EXPECT_EQ(duties.newestDeliveredWindow(), 190U);
    EXPECT_EQ(duties.droppedWindows(), 0U);
}

// Guards against orders of a replaced holder and a table without bound.
TEST(Duties, CapacityOrdersNeedTheNewestNumber)
{
    state_driver driver;
    const auto old = acquire(driver, "a", 1, duty::Autoscale);
    const auto current = acquire(driver, "b", 1, duty::Autoscale);
    const auto order = [&](std::uint64_t generation, const std::string &service) {
        return driver.apply(capacity_order{generation, {service, "dc", true}, 6}).error;
    };
    EXPECT_EQ(order(old, "service"), state_error::StaleFencing);
    for (std::size_t i = 0; i < duty_tables::maximumCapacitySubjects; ++i)
        ASSERT_FALSE(order(current, std::to_string(i)));
    EXPECT_EQ(order(current, "further"), state_error::TableFull);
    EXPECT_FALSE(order(current, "0"));
    driver.restart();
    EXPECT_EQ(driver.state.duties().capacityOrders().at({"0", "dc", true}).desired, 6U);
}

// Guards against a snapshot that versions without duties refuse although no duty was ever held.
TEST(Duties, SnapshotWithoutDutiesHasTheEarlierForm)
{
    state_driver driver;
    driver.apply(host_register{"host", 1});
    const auto before = driver.state.snapshot();
    driver.apply(usage_delivered{5});
    auto after = driver.state.snapshot();
    EXPECT_EQ(before.size(), after.size());
    acquire(driver, "a");
    EXPECT_GT(driver.state.snapshot().size(), after.size());
}

// Guards against counts that a command changes on its way into the log.
TEST(Duties, CommandsSurviveTheLog)
{
    usage_close body{3, 4, keptWindows, {}};
    for (int i = 0; i < 500; ++i)
        body.counts["account " + std::to_string(i)] = static_cast<std::uint64_t>(i);
    const auto decoded = decodeCommand(encodeCommand({{}, body}));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(std::get<usage_close>(decoded.value().body).counts, body.counts);
}
