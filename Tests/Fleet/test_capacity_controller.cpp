#include "LibFleet/capacity_controller.h"
#include "number_dialect.h"

#include <gtest/gtest.h>

namespace quetzalcleat::fleet::test {

using namespace std::chrono_literals;

enum class test_duty { Autoscale };

/// Keeps the calls until the test answers them.
struct fake_duty_runner
{
    struct call
    {
        std::string body;
        duty_call_handler answered;
    };

    bool mayAct(test_duty) const { return isHolder; }
    std::uint64_t generation(test_duty) const { return number; }
    void send(test_duty, const duty_request &request, duty_call_handler answered)
    {
        calls.push_back({request.body, std::move(answered)});
    }

    bool isHolder = true;
    std::uint64_t number = 7;
    std::vector<call> calls;
};

class capacity_controller_test : public testing::Test
{
protected:
    using controller = capacity_controller<number_dialect, fake_duty_runner, test_duty::Autoscale>;

    capacity_controller_test()
    {
        forward::service service;
        service.name = "x";
        service.engine = forward::engine_profile{64, 500'000, 4};
        service.autoscale = forward::autoscale_profile{1, 20, 4s, 0.18, {{"a", 1.0}, {"b", 1.0}}};
        controller::handlers handlers;
        handlers.agreedOrders = [this] { return agreed; };
        handlers.accepted = [this](const endpoint_order &order, std::uint64_t) {
            std::erase_if(agreed, [&](const auto &known) {
                return known.dataCentre == order.dataCentre && known.isSpot == order.isSpot;
            });
            agreed.push_back(order);
        };
        subject = std::make_shared<controller>(runner, sources, counters, log, handlers);
        subject->setServices({service});
        list();
    }

    /// Two ordinary endpoints in each data centre.
    void list()
    {
        std::vector<forward::listed_endpoint> endpoints;
        for (const auto *name : {"a1", "a2", "b1", "b2"}) {
            forward::listed_endpoint entry;
            entry.incarnation = name;
            entry.service = "x";
            entry.dataCentre = std::string(name, 1);
            entry.slots = 64;
            endpoints.push_back(entry);
        }
        sources.setList(endpoints, now);
    }

    std::vector<fake_duty_runner::call> update(std::chrono::milliseconds time = 500ms)
    {
        now += time;
        runner.calls.clear();
        subject->update(now);
        return runner.calls;
    }

    fake_duty_runner runner;
    capacity_sources sources{{{"a", "r"}, {"b", "r"}}};
    core::counter_registry counters;
    forward::event_log log{"test", 2};
    std::vector<endpoint_order> agreed;
    std::shared_ptr<controller> subject;
    core::instant now{1000s};
};

/// Guards against two orders of one subject that overtake each other, and against lost answers.
TEST_F(capacity_controller_test, OneCallOfEachSubjectIsInFlight)
{
    const auto first = update();
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].body, "x a spot 1"); // One ordinary endpoint stays as the base.
    EXPECT_TRUE(update().empty());
    list();
    first[0].answered(200);
    first[1].answered(std::make_error_code(std::errc::timed_out));
    ASSERT_EQ(agreed.size(), 1U);
    EXPECT_EQ(agreed[0], (endpoint_order{"x", "a", true, 1}));
    const auto second = update();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].body, first[1].body);
    EXPECT_NE(
        subject->dump().find("data_centre=a kind=spot wanted=1 desired=1 present=0 ordered=1"),
        std::string::npos);
}

/// Guards against a wait of a whole interval before refused endpoints are ordered elsewhere.
TEST_F(capacity_controller_test, RefusedOrdersAreReplacedSoon)
{
    sources.setLoads({{"a1", 200, 0, 0}, {"b1", 200, 0, 0}});
    const auto first = update();
    ASSERT_EQ(first.size(), 2U);
    for (const auto &call : first)
        call.answered(409);
    const auto second = update(10ms);
    ASSERT_FALSE(second.empty());
    for (const auto &call : second)
        EXPECT_NE(call.body.find("ordinary"), std::string::npos);
}

/// Guards against orders of a host that does not hold the duty, and against a new holder that does
/// not know what its predecessor has ordered.
TEST_F(capacity_controller_test, OnlyTheHolderOrders)
{
    runner.isHolder = false;
    EXPECT_TRUE(update().empty());
    EXPECT_TRUE(subject->dump().empty());
    runner.isHolder = true;
    const auto first = update();
    for (const auto &call : first)
        call.answered(200);
    runner.number = 8;
    const auto repeated = update();
    ASSERT_EQ(repeated.size(), first.size());
    EXPECT_EQ(repeated[0].body, first[0].body);
    EXPECT_NE(subject->dump().find("kind=spot wanted=1 desired=1 present=0 ordered=1"),
              std::string::npos);
}

/// Guards against orders from a list that is no longer true.
TEST_F(capacity_controller_test, NothingIsOrderedFromAnOldList)
{
    EXPECT_TRUE(update(4s).empty());
    list();
    EXPECT_FALSE(update().empty());
}

/// Guards against a wrong time left for endpoints that leave.
TEST_F(capacity_controller_test, TimeLeftShrinksWithTheAgeOfTheList)
{
    auto endpoints = sources.list();
    endpoints[1].isLeaving = true;
    endpoints[1].leavesIn = 2500ms;
    sources.setList(endpoints, now);
    const auto leaves = sources.leaves(now + 1s);
    ASSERT_EQ(leaves.size(), 1U);
    EXPECT_EQ(leaves[0], (peer::endpoint_leave{"a2", 1500}));
}

} // namespace quetzalcleat::fleet::test
