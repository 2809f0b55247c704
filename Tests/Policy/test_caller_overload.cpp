#include "LibPolicy/caller_overload.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;

namespace {

constexpr std::uint64_t mebibyte = std::uint64_t{1024} * 1024;
constexpr core::instant start{std::chrono::hours(1)};

/// Charges the budget for all loads.
memory_charge charge(const std::shared_ptr<memory_budget> &budget,
                     const std::vector<caller_load> &loads)
{
    std::uint64_t bytes = 0;
    for (const auto &load : loads)
        bytes += load.bytes;
    memory_charge result(budget, memory_kind::Body);
    result.resize(bytes);
    return result;
}

} // namespace

/// Guards against memory that is counted twice or never given back after its owner has moved.
TEST(memory_budget, GivesBackWhatIsNoLongerHeld)
{
    const auto budget = std::make_shared<memory_budget>(1000);
    {
        memory_charge body(budget, memory_kind::Body);
        EXPECT_TRUE(body.tryResize(600));
        memory_charge head(budget, memory_kind::Head);
        EXPECT_FALSE(head.tryResize(401));
        EXPECT_EQ(head.bytes(), 0U);
        head.resize(500);
        EXPECT_EQ(budget->excess(), 100U);
        memory_charge moved(std::move(body));
        head = std::move(moved);
        EXPECT_EQ(budget->used(), 600U);
        EXPECT_EQ(budget->used(memory_kind::Head), 0U);
        EXPECT_EQ(budget->used(memory_kind::Body), 600U);
    }
    EXPECT_EQ(budget->used(), 0U);
    EXPECT_EQ(budget->peak(), 1100U);
}

/// Guards against a bound above half of the memory, and one below a request of the largest size.
TEST(memory_budget, BoundLeavesRoomForTheProcess)
{
    for (const std::uint64_t megabytes : {0, 16, 88, 120, 256, 400}) {
        const auto bound = memory_budget::boundFor(megabytes * mebibyte);
        EXPECT_LE(bound, (megabytes == 0 ? 256 : megabytes) * mebibyte / 2) << megabytes;
        EXPECT_GE(bound, 2 * 4'194'304U) << megabytes;
    }
}

/// Load: on a host of 88 MB, a crowd whose bodies of 4 MiB stop one byte short. Guards against an
/// ordinary request that gets no room.
TEST(caller_overload, ClosesCallersThatStopShortOfTheEnd)
{
    const auto budget = std::make_shared<memory_budget>(memory_budget::boundFor(88 * mebibyte));
    std::vector<caller_load> loads;
    for (std::uint64_t id = 0; (id + 1) * 4'194'303 <= budget->bound(); ++id)
        loads.push_back({id, "", 4'194'303, start + std::chrono::milliseconds(id), start, false});
    // It waits for longer than the others are taken to be slow after.
    loads.push_back({99, "ordinary", 0, start + std::chrono::milliseconds(500),
                     start + std::chrono::milliseconds(500), false, true});
    const auto held = charge(budget, loads);
    const auto decision = caller_overload().decideGrowth(*budget, loads, 99, 4'194'304,
                                                         start + std::chrono::seconds(2));
    EXPECT_EQ(decision.verdict, overload_verdict::Proceed);
    ASSERT_FALSE(decision.victims.empty());
    EXPECT_LT(decision.victims.size(), 4U);
    EXPECT_EQ(decision.victims.front(), loads.size() - 2) << "the newest of the slow ones";
}

/// Load: a burst of bodies that all arrive steadily. Guards against requests that close each other
/// so that none completes, and against finished requests that are ended for new ones.
TEST(caller_overload, LetsTheOldestCompleteDuringABurst)
{
    const auto budget = std::make_shared<memory_budget>(100);
    const auto now = start + std::chrono::milliseconds(100);
    // One account, so that none is over its share.
    const std::vector<caller_load> loads{
        {1, "a", 30, start, now, true},
        {2, "a", 30, start + std::chrono::milliseconds(1), now, false},
        {3, "a", 40, start + std::chrono::milliseconds(2), now, false},
        {4, "a", 0, start + std::chrono::milliseconds(3), now, false}};
    const auto held = charge(budget, loads);
    const caller_overload overload;
    const auto oldest = overload.decideGrowth(*budget, loads, 2, 10, now);
    EXPECT_EQ(oldest.verdict, overload_verdict::Proceed);
    EXPECT_EQ(oldest.victims, std::vector<std::uint64_t>{3});
    const auto newest = overload.decideGrowth(*budget, loads, 4, 10, now);
    EXPECT_EQ(newest.verdict, overload_verdict::Wait);
    const auto later = now + overload.limits().longestWait;
    EXPECT_EQ(overload.decideGrowth(*budget, {loads[0], loads[3]}, 4, 10, later).verdict,
              overload_verdict::Refuse);
    EXPECT_EQ(overload.decideGrowth(*budget, loads, 4, 101, now).verdict, overload_verdict::Refuse);
}

/// Load: one account at several times its share, with requests older than those of the others.
/// Guards against an account that uses the memory of all others by being first.
TEST(caller_overload, ClosesTheAccountOverItsShareFirst)
{
    const auto budget = std::make_shared<memory_budget>(100);
    const auto now = start + std::chrono::milliseconds(100);
    const std::vector<caller_load> loads{
        {1, "heavy", 40, start, now, false},
        {2, "heavy", 40, start + std::chrono::milliseconds(1), now, false},
        {3, "light", 20, start + std::chrono::milliseconds(2), now, false},
        {4, "light", 10, start + std::chrono::milliseconds(3), now, false}};
    const auto held = charge(budget, loads);
    const auto victims = caller_overload().victims(*budget, loads, now);
    EXPECT_EQ(victims, std::vector<std::uint64_t>{2});
}
