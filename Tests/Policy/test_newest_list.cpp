#include "LibPolicy/newest_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace std::chrono_literals;

namespace {

constexpr core::instant start{1h};

} // namespace

/// Guards against a list that brings an endpoint back which leaves or is gone: one that a control
/// host read when it led before, or whose read by this host took longer than another one.
TEST(newest_list, OlderListReplacesNoNewerOne)
{
    constexpr std::uint64_t leader = 5;
    constexpr std::uint64_t formerLeader = 3;
    newest_list list;
    EXPECT_FALSE(list.hasList());
    EXPECT_EQ(list.age(start), std::chrono::milliseconds::max());
    EXPECT_TRUE(list.offer(leader, start));
    EXPECT_FALSE(list.offer(formerLeader, start - 20s));
    EXPECT_FALSE(list.offer(newest_list::ownReads, start - 1s));
    EXPECT_TRUE(list.isFrom(leader));
    EXPECT_EQ(list.age(start + 2s), 2s);
    EXPECT_TRUE(list.offer(newest_list::ownReads, start + 1s));
    EXPECT_FALSE(list.offer(leader, start + 500ms));
    EXPECT_TRUE(list.offer(leader, start + 2s));
    EXPECT_TRUE(list.isFrom(leader));
}

/// Guards against changes that are missed: the time of a list of a control host is an estimate and
/// may be earlier than that of the list before.
TEST(newest_list, ListsOfOneControlHostArriveInOrder)
{
    newest_list list;
    EXPECT_TRUE(list.offer(5, start));
    EXPECT_TRUE(list.offer(5, start - 100ms));
    EXPECT_EQ(list.age(start), 0ms);
}

/// Guards against an age that is less than the time since the list in force was read, in any order
/// of arrival.
RC_GTEST_PROP(newest_list, AgeIsThatOfTheNewestListOffered, ())
{
    newest_list list;
    std::optional<core::instant> newest;
    const auto offers = *rc::gen::container<std::vector<std::pair<std::uint64_t, int>>>(
        rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, 3), rc::gen::inRange(0, 100)));
    for (const auto &[source, milliseconds] : offers) {
        const auto readAt = start + std::chrono::milliseconds(milliseconds);
        const bool isFromSource = source != newest_list::ownReads && list.isFrom(source);
        RC_ASSERT(list.offer(source, readAt) == (isFromSource || !newest || readAt >= *newest));
        newest = std::max(newest.value_or(readAt), readAt);
        RC_ASSERT(list.age(*newest + 50ms) == 50ms);
    }
}
