#include "LibPeer/order_planner.h"

#include <gtest/gtest.h>

namespace core = quetzalcleat::core;
namespace peer = quetzalcleat::peer;
namespace state = quetzalcleat::state;
using std::chrono::milliseconds;

namespace {

/// Holder of the lease, orders in the replicated state, and endpoints, in virtual time.
class planner_fixture : public testing::Test
{
protected:
    void acquire(std::uint64_t fencing, milliseconds unfencedWait = milliseconds(0))
    {
        ASSERT_TRUE(lease.request(now));
        lease.handle({true, "c1", 1, fencing, milliseconds(6000), unfencedWait}, now);
    }

    void advance(milliseconds time)
    {
        now += time;
        if (lease.request(now))
            lease.handle({true, "c1", 1, lease.fencing(), milliseconds(6000), {}}, now);
    }

    /// Plans, and commits what was planned.
    peer::order_plan step()
    {
        auto plan = planner.plan(lease, wanted, endpoints, orders, now);
        for (const auto &order : plan.begin)
            orders[order.orderId] = {order, state::order_state::Started, {}};
        for (const auto &finish : plan.finish)
            orders[finish.orderId].state = finish.outcome;
        return plan;
    }

    core::instant now{std::chrono::hours(1)};
    peer::control_lease lease{"c1", 1};
    peer::order_planner planner{{}};
    std::set<peer::model_placement> wanted{{"e", "m", "1"}};
    std::map<std::string, peer::reported_endpoint_state> endpoints{{"e", {true, true, {}}}};
    std::map<std::string, state::order_record> orders;
};

} // namespace

// Guards against an order that is sent before it is durable, and against one that is never
// recorded as done.
TEST_F(planner_fixture, OrderIsDurableBeforeItIsSent)
{
    acquire(5);
    const auto begun = step();
    ASSERT_EQ(begun.begin.size(), 1U);
    EXPECT_TRUE(begun.send.empty());
    const auto sent = step();
    ASSERT_EQ(sent.send.size(), 1U);
    EXPECT_EQ(sent.send[0].fencing, 5U);
    EXPECT_TRUE(step().send.empty());
    endpoints["e"].loaded = {{"m", "1"}};
    const auto done = step();
    ASSERT_EQ(done.finish.size(), 1U);
    EXPECT_EQ(done.finish[0].outcome, state::order_state::Done);
    EXPECT_TRUE(step().begin.empty());
}

// Guards against orders of a holder whose lease has ended.
TEST_F(planner_fixture, NothingIsPlannedWithoutLease)
{
    EXPECT_TRUE(step().begin.empty());
    acquire(5);
    step();
    now += milliseconds(5400);
    EXPECT_TRUE(step().send.empty());
}

// Guards against two holders that give orders to an endpoint which ignores fencing numbers.
TEST_F(planner_fixture, UnfencedEndpointWaitsForTheOldLease)
{
    endpoints["e"].checksFencing = false;
    endpoints["f"] = {true, true, {}};
    wanted.insert({"f", "m", "1"});
    acquire(5, milliseconds(30'000));
    const auto first = step();
    ASSERT_EQ(first.begin.size(), 1U);
    EXPECT_EQ(first.begin[0].target, "f");
    for (int count = 0; count < 30; ++count) {
        advance(milliseconds(1000));
        for (const auto &order : step().send)
            EXPECT_EQ(order.target, "f");
    }
    advance(milliseconds(3000));
    ASSERT_EQ(step().begin.size(), 1U);
    EXPECT_EQ(step().send[0].target, "e");
}

// Guards against an interrupted order that is forgotten, or continued under the old fencing number.
TEST_F(planner_fixture, SuccessorFinishesOrUndoesOrdersOfItsPredecessor)
{
    orders["4-1"]
        = {{4, "4-1", peer::loadModelOrder, "e", "m\n1"}, state::order_state::Started, {}};
    orders["4-2"]
        = {{4, "4-2", peer::loadModelOrder, "e", "gone\n1"}, state::order_state::Started, {}};
    acquire(9);
    const auto plan = step();
    EXPECT_TRUE(plan.begin.empty());
    ASSERT_EQ(plan.send.size(), 1U);
    EXPECT_EQ(plan.send[0].orderId, "4-1");
    EXPECT_EQ(plan.send[0].fencing, 9U);
    ASSERT_EQ(plan.finish.size(), 1U);
    EXPECT_EQ(plan.finish[0].orderId, "4-2");
    EXPECT_EQ(plan.finish[0].outcome, state::order_state::Undone);
    // The undone load takes effect late.
    endpoints["e"].loaded = {{"gone", "1"}};
    const auto late = step();
    ASSERT_EQ(late.begin.size(), 1U);
    EXPECT_EQ(late.begin[0].kind, peer::unloadModelOrder);
}

// Guards against more loads at a time than the weight store can serve, also across holders.
TEST_F(planner_fixture, LoadsAreLimited)
{
    orders["4-1"]
        = {{4, "4-1", peer::loadModelOrder, "e", "m\n1"}, state::order_state::Started, {}};
    for (int index = 0; index < 10; ++index) {
        const auto name = "f" + std::to_string(index);
        endpoints[name] = {true, true, {}};
        wanted.insert({name, "m", "1"});
    }
    acquire(9);
    EXPECT_EQ(step().begin.size(), 1U);
    EXPECT_TRUE(step().begin.empty());
    endpoints["e"].loaded = {{"m", "1"}};
    step();
    EXPECT_EQ(step().begin.size(), 1U);
}
