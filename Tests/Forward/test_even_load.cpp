#include "engine_fleet_model.h"

#include <cstdio>

#include <gtest/gtest.h>

using namespace quetzalcleat;
using namespace quetzalcleat::forward;
using namespace quetzalcleat::forward::test;

namespace {

using std::chrono::milliseconds;

/// Classes of deployment U in docs/design/duties-load-and-callers.md. The numbers of prefixes are
/// assumed; the page does not give them.
std::vector<load_class> classes()
{
    return {
        {13'300, 3'720, 30, 67, 90, engine_pool::LongPrompt, milliseconds(2500),
         milliseconds(1200)},
        {6'300, 2'890, 13, 66, 90, engine_pool::LongPrompt, milliseconds(1500), milliseconds(500)},
        {350, 1'110, 43, 76, 8, engine_pool::LowLatency, milliseconds(1500), milliseconds(300)}};
}

fleet_result play(const char *name, placement_rule rule, bool isHot, std::uint64_t seed)
{
    engine_fleet_model model(rule, classes(), seed);
    if (isHot)
        model.setHotPrefix(0);
    const auto result = model.run(std::chrono::seconds(20));
    std::printf("%-8s %s seed %llu: busiest to mean %.2f by work, %.2f by requests; wait p99 %lld "
                "ms; late start %.3f, late pause %.3f, urgent %.3f; read again %.1f M tokens\n",
                name, isHot ? "hot " : "even", static_cast<unsigned long long>(seed),
                result.busiestWork, result.busiestCount,
                static_cast<long long>(result.lateWait.count()), result.missedStarts,
                result.missedPauses, result.missedUrgent,
                static_cast<double>(result.sharedTokensReadAgain) / 1e6);
    return result;
}

} // namespace

/// Guards against a rule that lets many hosts with the same outdated sums choose the same engine,
/// leaves a popular prefix on one engine, or pays for evenness with late starts and pauses.
TEST(even_load, IsMoreEvenThanThePresentRule)
{
    double missedBefore = 0;
    double missedAfter = 0;
    for (const std::uint64_t seed : {11, 12, 13}) {
        for (const bool isHot : {false, true}) {
            const auto before = play("present", placement_rule::LeastPredictedStart, isHot, seed);
            const auto after = play("even", placement_rule::EvenLoad, isHot, seed);
            EXPECT_LT(after.busiestWork, before.busiestWork);
            EXPECT_LT(after.busiestCount, before.busiestCount);
            EXPECT_LE(after.lateWait, before.lateWait);
            missedBefore += before.missedStarts;
            missedAfter += after.missedStarts;
        }
    }
    // Over all runs: a quiet run has ten to twenty late starts by either rule.
    EXPECT_LE(missedAfter, missedBefore);
}

/// Guards against an engine with several times the mean load. The bound is the target of
/// docs/design/duties-load-and-callers.md.
TEST(even_load, BusiestEngineHasAtMostTwiceTheMean)
{
    constexpr double target = 2.0;
    for (const std::uint64_t seed : {11, 12, 13}) {
        for (const bool isHot : {false, true}) {
            const auto result = play("even", placement_rule::EvenLoad, isHot, seed);
            EXPECT_LE(result.busiestWork, target);
            EXPECT_LE(result.busiestCount, target);
        }
    }
}
