#include "policy_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;
using namespace std::chrono_literals;

// Guards against work that is lost or attributed to another entity when a document reorders them.
TEST(Reconfiguration, KeepsWorkAndMatchesByName)
{
    auto document = makeDocument(2, 2);
    driver driver(document);
    for (int index = 0; index < 3; ++index)
        driver.submit(makeSpec(1, 1));
    driver.tick();
    std::ranges::reverse(document.endpoints);
    std::ranges::reverse(document.classes);
    std::ranges::reverse(document.accounts);
    driver.core.configure(document, {"host", "north-a"}, driver.now);
    const auto view = driver.core.dump();
    EXPECT_EQ(view.endpoints[0].inFlight + view.endpoints[1].inFlight, 2U);
    EXPECT_EQ(view.classes[1].name, "class-1");
    EXPECT_EQ(view.classes[1].queued, 1U);
    EXPECT_EQ(view.accounts[1].queued, 1U);
    const auto first = *driver.running.begin();
    driver.finish(first.first);
    const auto decisions = driver.tick();
    ASSERT_EQ(decisions.size(), 1U);
    // Same engine, other index.
    EXPECT_EQ(decisions[0].endpoint.value, 1 - first.second.endpoint.value);
}

// Guards against work of removed entities that crashes, is lost or blocks their slots.
TEST(Reconfiguration, RemovedEntitiesFinishTheirWork)
{
    auto document = makeDocument(2, 2);
    driver driver(document);
    for (int index = 0; index < 4; ++index)
        driver.submit(makeSpec(1, 1));
    driver.tick();
    document.endpoints.erase(document.endpoints.begin());
    document.classes.pop_back();
    document.accounts.pop_back();
    driver.core.configure(document, {"host", "north-a"}, driver.now);
    EXPECT_EQ(driver.refusal(makeSpec(1)), policy_error::UnknownClass);
    std::uint32_t dispatched = 0;
    for (int round = 0; round < 6; ++round) {
        if (!driver.running.empty())
            driver.finish(driver.running.begin()->first);
        for (const auto &decision : driver.tick()) {
            EXPECT_EQ(decision.endpoint, endpoint_id{0});
            ++dispatched;
        }
    }
    EXPECT_EQ(dispatched, 2U);
    EXPECT_EQ(driver.core.dump().classes.at(1).queued, 0U);
}

namespace {

/// Runs a long history with many documents; returns every decision and the final state.
std::pair<std::vector<decision>, dump_view> runManyDocuments(std::uint64_t seed)
{
    const auto document = makeDocument(3, 4, 2, 2);
    driver driver(document, {}, seed);
    random_source random(5);
    std::vector<decision> decisions;
    for (int round = 0; round < 2000; ++round) {
        for (int index = 0; index < 3; ++index)
            driver.submit(makeSpec(random.below(3), random.below(2)));
        if (round % 5 == 0) {
            auto changed = document;
            changed.endpoints.erase(changed.endpoints.begin() + random.below(5));
            changed.classes[random.below(3)].tier = random.below(3);
            if (random.below(2) == 0)
                changed.accounts.pop_back();
            changed.endpoints.push_back(document.endpoints[0]);
            changed.endpoints.back().name = "extra-" + std::to_string(random.below(7));
            driver.core.configure(changed, {"host", "north-a"}, driver.now);
        }
        const auto newDecisions = driver.tick(10ms);
        decisions.insert(decisions.end(), newDecisions.begin(), newDecisions.end());
        while (driver.running.size() > 4)
            driver.finish(driver.running.begin()->first);
    }
    auto view = driver.core.dump();
    std::uint32_t running = 0;
    for (const auto &entry : view.classes)
        running += entry.running;
    EXPECT_EQ(running, driver.running.size());
    return {decisions, view};
}

} // namespace

// Guards against slots that are mixed up when names come, go and come back under load, and against
// decisions that depend on anything but the calls and the seed.
TEST(Reconfiguration, ManyDocumentsGiveRepeatableDecisions)
{
    const auto [first, firstView] = runManyDocuments(1);
    const auto [second, secondView] = runManyDocuments(1);
    ASSERT_EQ(first.size(), second.size());
    EXPECT_GT(first.size(), 2000U);
    for (std::size_t index = 0; index < first.size(); ++index) {
        ASSERT_EQ(first[index].kind, second[index].kind);
        ASSERT_EQ(first[index].request, second[index].request);
        ASSERT_EQ(first[index].endpoint, second[index].endpoint);
    }
    EXPECT_EQ(firstView.totals.shed, secondView.totals.shed);
}
