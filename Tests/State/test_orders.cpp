#include "state_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::state;
using namespace quetzalcleat::state::test;

namespace {

control_lease_verdict acquire(state_driver &driver, const std::string &holder,
                              std::uint64_t incarnation = 1,
                              milliseconds duration = milliseconds(10'000))
{
    return std::get<control_lease_verdict>(
        driver.apply(control_lease_acquire{holder, incarnation, duration}).verdict);
}

} // namespace

// Guards against two controllers, and against a fencing number that does not grow.
TEST(Lease, HasOneHolder)
{
    state_driver driver;
    driver.index = 40;
    EXPECT_EQ(acquire(driver, "a").fencing, 41U);
    EXPECT_FALSE(acquire(driver, "b").granted);
    EXPECT_FALSE(acquire(driver, "a", 2).granted); // A restarted holder is another one.
    const auto renewed = acquire(driver, "a");
    EXPECT_TRUE(renewed.granted);
    EXPECT_EQ(renewed.fencing, 41U);
    driver.restart();
    driver.time += milliseconds(9'999);
    EXPECT_FALSE(acquire(driver, "b").granted);
    driver.time += milliseconds(1);
    const auto next = acquire(driver, "b");
    EXPECT_TRUE(next.granted);
    EXPECT_EQ(next.fencing, driver.index);
    // Orders of the old holder may still reach endpoints that check no fencing number.
    EXPECT_GT(next.waitBeforeUnfencedOrders.count(), 0);
}

// Guards against a fencing number that stays valid after its lease was released.
TEST(Lease, IsReleasedByItsHolderOnly)
{
    state_driver driver;
    const auto first = acquire(driver, "a");
    acquire(driver, "b", 1, milliseconds(0));
    EXPECT_FALSE(acquire(driver, "b").granted);
    acquire(driver, "a", 1, milliseconds(0));
    EXPECT_EQ(driver.apply(order_begin{first.fencing, "order", "load_model", "e", ""}).error,
              state_error::StaleFencing);
    EXPECT_GT(acquire(driver, "b").fencing, first.fencing);
}

// Guards against orders of a controller that does not know that it was replaced.
TEST(Orders, NeedTheCurrentFencingNumber)
{
    state_driver driver;
    const auto old = acquire(driver, "a").fencing;
    EXPECT_FALSE(driver.apply(order_begin{old, "order", "load_model", "e", "m"}).error);
    driver.time += milliseconds(10'000);
    EXPECT_EQ(driver.apply(order_finish{old, "order", order_state::Done}).error,
              state_error::StaleFencing);
    const auto current = acquire(driver, "b").fencing;
    EXPECT_EQ(driver.apply(order_begin{old, "late", "load_model", "e", "m"}).error,
              state_error::StaleFencing);
    // The new holder finds the started order and undoes it.
    driver.restart();
    ASSERT_EQ(driver.state.orders().at("order").state, order_state::Started);
    const auto undone = driver.apply(order_finish{current, "order", order_state::Undone});
    EXPECT_EQ(std::get<order_verdict>(undone.verdict).state, order_state::Undone);
    EXPECT_EQ(driver.apply(order_finish{current, "order", order_state::Done}).error,
              state_error::OrderMismatch);
    EXPECT_EQ(driver.apply(order_finish{current, "none", order_state::Done}).error,
              state_error::UnknownOrder);
    const auto repeated = driver.apply(order_begin{current, "order", "load_model", "e", "m"});
    EXPECT_TRUE(std::get<order_verdict>(repeated.verdict).alreadyKnown);
    EXPECT_EQ(driver.apply(order_begin{current, "order", "unload_model", "e", "m"}).error,
              state_error::OrderMismatch);
}

// Guards against started orders that expire before anybody has finished or undone them.
TEST(Orders, OnlyFinishedOnesExpire)
{
    state_driver driver;
    const auto fencing = acquire(driver, "a").fencing;
    driver.apply(order_begin{fencing, "open", "load_model", "e", ""});
    driver.apply(order_begin{fencing, "closed", "load_model", "e", ""});
    driver.apply(order_finish{fencing, "closed", order_state::Done});
    driver.restart();
    driver.time += table_limits::orderRetention;
    driver.apply(host_register{"host", 1});
    EXPECT_TRUE(driver.state.orders().contains("open"));
    EXPECT_FALSE(driver.state.orders().contains("closed"));
}

// Guards against a control host that is still listed under the member id of an emptied disk.
TEST(Members, NewIdSupersedesTheOldOne)
{
    state_driver driver;
    driver.apply(member_contact{1, "host", "127.0.0.1:1", "dc"});
    driver.apply(member_contact{2, "host", "127.0.0.1:2", "dc"});
    driver.restart();
    ASSERT_EQ(driver.state.members().size(), 1U);
    EXPECT_EQ(driver.state.members().at(2).address, "127.0.0.1:2");
}
