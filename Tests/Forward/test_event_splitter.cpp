#include "LibForward/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace quetzalcleat::forward;

namespace {

std::string eventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

} // namespace

/// Guards against a partial event that is sent before the stream is resumed at another endpoint.
TEST(event_splitter, PassesOnlyWholeEvents)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.append("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(splitter.hasPartialEvent());
    EXPECT_EQ(splitter.lastId(), 1U);
    EXPECT_EQ(splitter.append("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(splitter.hasPartialEvent());
}

/// Guards against duplicate or missing events after a stream is resumed.
TEST(event_splitter, ContinuesAfterTheLastWholeEvent)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.append(eventText(1) + eventText(2) + "id: 3\nda"),
              eventText(1) + eventText(2));
    splitter.discardPartialEvent();
    EXPECT_EQ(splitter.append(eventText(2) + eventText(3)), eventText(3));
    EXPECT_FALSE(splitter.hasGap());
    EXPECT_EQ(splitter.append(eventText(5)), "");
    EXPECT_TRUE(splitter.hasGap());
}

/// Guards against results that depend on how the network splits the bytes, and against lost,
/// duplicate or joined events when the stream breaks at any byte.
RC_GTEST_PROP(event_splitter, GivesEachEventOnceForAnySplitAndBreak, ())
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    std::string all;
    for (std::uint64_t id = 1; id <= count; ++id)
        all += eventText(id);
    const auto broken = *rc::gen::inRange<std::size_t>(0, all.size() + 1);
    event_splitter splitter;
    std::string given;
    std::size_t position = 0;
    while (position < broken) {
        const auto size = std::min(broken - position, *rc::gen::inRange<std::size_t>(1, 20));
        given += splitter.append(std::string_view(all).substr(position, size));
        position += size;
    }
    splitter.discardPartialEvent();
    for (auto id = splitter.lastId().value_or(0) + 1; id <= count; ++id)
        given += splitter.append(eventText(id));
    RC_ASSERT(given == all);
    RC_ASSERT(!splitter.hasGap());
    RC_ASSERT(splitter.eventCount() == count);
}
