#include "LibFakes/engine_model.h"
#include "LibFakes/fakes_error.h"
#include "LibFakes/generated_text.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace core = quetzalcleat::core;
namespace fakes = quetzalcleat::fakes;
using namespace std::chrono_literals;

namespace {

constexpr core::instant start{};

fakes::engine_options smallEngine()
{
    fakes::engine_options options;
    options.models = {"m"};
    options.capacity = 4;
    options.totalBlocks = 64;
    return options;
}

fakes::generation_request request(std::uint64_t id, std::uint32_t blocks, std::uint32_t output)
{
    fakes::generation_request generation;
    generation.id = id;
    generation.model = "m";
    generation.promptTokens = blocks * fakes::tokensPerBlock;
    generation.prefixBlocks.resize(blocks);
    std::iota(generation.prefixBlocks.begin(), generation.prefixBlocks.end(), 1000 * id);
    generation.outputTokens = output;
    return generation;
}

std::vector<std::uint32_t> tokensOf(const std::vector<fakes::engine_event> &events,
                                    std::uint64_t id)
{
    std::vector<std::uint32_t> indices;
    for (const auto &event : events) {
        if (event.request == id && event.kind == fakes::engine_event_kind::Token)
            indices.push_back(event.index);
    }
    return indices;
}

} // namespace

// Guards against answers with missing, repeated or reordered tokens when memory runs out and
// sequences are preempted.
TEST(EngineModel, DeliversEveryTokenOnceInOrderUnderMemoryPressure)
{
    fakes::engine_model engine(smallEngine(), start);
    for (std::uint64_t id = 1; id <= 8; ++id)
        ASSERT_TRUE(engine.submit(request(id, 10, 200), start));
    const auto events = engine.advance(start + 1h);
    std::vector<std::uint32_t> expected(200);
    std::iota(expected.begin(), expected.end(), 0U);
    for (std::uint64_t id = 1; id <= 8; ++id)
        EXPECT_EQ(tokensOf(events, id), expected);
    EXPECT_GT(engine.totals().repeatedPrefillTokens, 0U);
    EXPECT_EQ(engine.totals().generatedTokens, 1600U);
}

// Guards against a prefix cache that saves no work: tests would not notice a router that ignores
// cached prefixes.
TEST(EngineModel, SecondRequestWithTheSamePrefixSkipsPrefill)
{
    fakes::engine_model engine(smallEngine(), start);
    ASSERT_TRUE(engine.submit(request(1, 20, 1), start));
    (void)engine.advance(start + 1min);
    auto again = request(1, 20, 1);
    again.id = 2;
    ASSERT_TRUE(engine.submit(again, start + 1min));
    (void)engine.advance(start + 2min);
    EXPECT_EQ(engine.totals().prefilledTokens, 320U);
    EXPECT_EQ(engine.totals().cachedPromptTokens, 320U);
}

// Guards against a count of repeated prefill that includes cached blocks, or that leaves out the
// prefill of a repeated request at another engine.
TEST(EngineModel, RepeatedPrefillIsWhatIsComputedAgain)
{
    fakes::engine_model engine(smallEngine(), start);
    ASSERT_TRUE(engine.submit(request(1, 16, 4), start));
    engine.advance(start + 1min);
    EXPECT_EQ(engine.totals().repeatedPrefillTokens, 0U);
    const auto computed = engine.totals().prefilledTokens;

    auto again = request(1, 16, 4);
    again.id = 2;
    again.isRepeated = true;
    ASSERT_TRUE(engine.submit(again, start + 1min));
    engine.advance(start + 2min);
    EXPECT_EQ(engine.totals().repeatedPrefillTokens, engine.totals().prefilledTokens - computed);
    EXPECT_LT(engine.totals().repeatedPrefillTokens, again.promptTokens / 4);

    fakes::engine_model other(smallEngine(), start);
    ASSERT_TRUE(other.submit(again, start));
    other.advance(start + 1min);
    EXPECT_EQ(other.totals().repeatedPrefillTokens, again.promptTokens);
}

// Guards against urgent work that waits behind less urgent work which arrived earlier.
TEST(EngineModel, MoreUrgentRequestsStartFirst)
{
    fakes::engine_model engine(smallEngine(), start);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        auto generation = request(id, 1, 50);
        generation.priority = id == 6 ? 0 : 5;
        ASSERT_TRUE(engine.submit(generation, start));
    }
    const auto events = engine.advance(start + 1h);
    const auto firstToken = [&](std::uint64_t id) {
        return std::ranges::find_if(events, [&](const auto &event) { return event.request == id; })
            ->at;
    };
    EXPECT_LT(firstToken(6), firstToken(5));
}

// Guards against a resumed generation that repeats tokens which the caller already has.
TEST(EngineModel, ResumeContinuesAfterTheDeliveredTokens)
{
    fakes::engine_model engine(smallEngine(), start);
    auto generation = request(1, 2, 10);
    generation.resumeFrom = 7;
    ASSERT_TRUE(engine.submit(generation, start));
    EXPECT_EQ(tokensOf(engine.advance(start + 1min), 1), (std::vector<std::uint32_t>{7, 8, 9}));
}

// Guards against a fake engine that accepts an order of a former leader.
TEST(EngineModel, RefusesOldFencingNumbersOnlyIfItChecksThem)
{
    auto options = smallEngine();
    fakes::engine_model checking(options, start);
    options.checksFencing = false;
    fakes::engine_model ignoring(options, start);
    const fakes::engine_order newer{7, "b", fakes::engine_order_kind::LoadModel, "n", "1"};
    const fakes::engine_order older{6, "a", fakes::engine_order_kind::UnloadModel, "m", "1"};
    ASSERT_TRUE(checking.order(newer, start));
    ASSERT_TRUE(ignoring.order(newer, start));
    EXPECT_EQ(checking.order(older, start).error(), fakes::fakes_error::StaleFencing);
    EXPECT_TRUE(ignoring.order(older, start));
}

// Guards against load reports that are newer than the configured lag.
TEST(EngineModel, LoadReportsLag)
{
    auto options = smallEngine();
    options.loadReportLag = 5s;
    fakes::engine_model engine(options, start);
    ASSERT_TRUE(engine.submit(request(1, 1, 2000), start + 10s));
    (void)engine.advance(start + 12s);
    EXPECT_EQ(engine.load(start + 12s).running, 0U);
    EXPECT_EQ(engine.currentLoad(start + 12s).running, 1U);
    (void)engine.advance(start + 18s);
    EXPECT_EQ(engine.load(start + 18s).running, 1U);
}

// Guards against a crash that does not abort every sequence, and against cache events that are
// never lost.
TEST(EngineModel, CrashAbortsEverySequenceAndChangesTheIncarnation)
{
    auto options = smallEngine();
    options.cacheEventLoss = 0.5;
    fakes::engine_model engine(options, start);
    for (std::uint64_t id = 1; id <= 6; ++id)
        ASSERT_TRUE(engine.submit(request(id, 5, 500), start));
    (void)engine.advance(start + 2s);
    const auto events = engine.crash(start + 2s);
    EXPECT_EQ(events.size(), 6U);
    EXPECT_EQ(engine.incarnation(), 2U);
    EXPECT_FALSE(engine.nextStepEnd());
    const auto published = engine.cacheEventsAfter(0, start + 1h);
    EXPECT_GT(published.size(), 0U);
    EXPECT_LT(published.size(), engine.cache().lastSequence());
}
