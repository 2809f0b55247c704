#include "LibPolicy/decision_core.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace std::chrono_literals;

namespace {

inventory::document smallDocument()
{
    inventory::document document;
    document.regions = {{"north"}};
    document.dataCentres = {{"north-a", 0}};
    inventory::endpoint engine;
    engine.name = "engine-1";
    engine.models = {"model"};
    document.endpoints = {engine};
    document.callers = {{"caller", {}, 0, {}}};
    document.tiers = {{"first", 0}, {"second", 1}};
    inventory::request_class urgent;
    urgent.name = "urgent";
    inventory::request_class routine;
    routine.name = "routine";
    routine.tier = 1;
    document.classes = {urgent, routine};
    return document;
}

policy::request_spec spec(std::uint32_t requestClass)
{
    policy::request_spec request;
    request.requestClass = policy::class_id{requestClass};
    request.model = "model";
    return request;
}

} // namespace

// Guards against a lower tier that goes before a higher one.
TEST(DecisionCore, HigherTierGoesFirst)
{
    policy::decision_core core(1);
    core::instant now{};
    core.configure(smallDocument(), {"host", "north-a"}, now);
    ASSERT_TRUE(core.submit(spec(1), now));
    const auto urgent = core.submit(spec(0), now);
    ASSERT_TRUE(urgent);
    const auto decisions = core.tick(now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].request, urgent.value());
}
