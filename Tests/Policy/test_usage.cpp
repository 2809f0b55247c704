#include "LibPolicy/usage_counter.h"
#include "LibPolicy/usage_ledger.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace std::chrono_literals;

namespace {

const core::instant start{1h};
const usage_ledger_options options;
/// The beginning of window 1000.
const core::wall_time windowStart{options.window * 1000};

} // namespace

// Guards against counts that a lost, repeated or overtaken report changes, and against ones that a
// new leader does not get.
TEST(Usage, LossRepetitionAndReorderingChangeNoCount)
{
    for (std::uint64_t seed = 20261206; seed < 20261206 + 50; ++seed) {
        std::mt19937_64 random(seed);
        usage_counter counter(12);
        usage_ledger first(options);
        usage_ledger second(options);
        std::vector<std::vector<usage_entry>> reports;
        std::uint64_t counted = 0;
        for (int i = 0; i < 300; ++i) {
            if (random() % 3 != 0) {
                ASSERT_TRUE(counter.record(1000, random() % 2 == 0 ? "a" : "b"));
                ++counted;
                continue;
            }
            const auto changes = counter.changes(random() % 3);
            if (random() % 2 == 0)
                reports.push_back(changes);
            if (random() % 4 != 0)
                continue;
            first.record("host", 1, changes, start);
            counter.acknowledge(changes);
            for (const auto &late : reports)
                first.record("host", 1, late, start);
        }
        first.record("host", 1, counter.changes(100), start);
        counter.reportAgain();
        second.record("host", 1, counter.changes(100), start);
        for (const auto &ledger : {first, second}) {
            const auto window = ledger.next(999, windowStart + 12s, start + 12s);
            ASSERT_TRUE(window);
            std::uint64_t sum = 0;
            for (const auto &[account, count] : window->content)
                sum += count;
            EXPECT_EQ(sum, counted) << "seed " << seed;
        }
    }
}

// Guards against the counts of a restarted process that replace those of the one before.
TEST(Usage, ProcessesOfAHostAreAdded)
{
    usage_ledger ledger(options);
    ledger.record("host", 1, {{1000, "a", 5}}, start);
    ledger.record("host", 2, {{1000, "a", 2}}, start);
    ledger.record("other", 1, {{1000, "a", 1}}, start);
    EXPECT_EQ(ledger.next(999, windowStart + 20s, start + 20s)->content.at("a"), 8U);
}

// Guards against a window that is closed before the hosts have reported, and against one that a
// silent host delays until its report is late.
TEST(Usage, WaitsForHostsButNotTooLong)
{
    usage_ledger ledger(options);
    ledger.begin(start - 1h);
    ledger.record("silent", 1, {}, start);
    ledger.record("host", 1, {{1000, "a", 1}}, start + 5s);
    EXPECT_FALSE(ledger.next(999, windowStart + 7999ms, start + 7999ms));
    EXPECT_FALSE(ledger.next(999, windowStart + 8s, start + 8s));
    ledger.record("host", 1, {{1000, "a", 2}}, start + 8s);
    const auto late = ledger.next(999, windowStart + 12s, start + 12s);
    ASSERT_TRUE(late);
    EXPECT_TRUE(late->isComplete); // The silent host is taken to be gone by now.
    ledger.record("silent", 1, {}, start + 5s);
    ledger.record("silent", 1, {}, start + 8s);
    EXPECT_EQ(ledger.next(999, windowStart + 8s, start + 8s)->content.at("a"), 2U);
}

// Guards against a new leader that closes a window before the hosts have found it.
TEST(Usage, NewLeaderWaitsForReports)
{
    usage_ledger ledger(options);
    ledger.begin(start + 20s);
    EXPECT_FALSE(ledger.next(999, windowStart + 22s, start + 22s));
    EXPECT_EQ(ledger.next(999, windowStart + 23s, start + 23s)->window, 1000U);
}

// Guards against windows that are closed twice or never, whatever the time is when the leader
// changes; and against a backlog without bound.
TEST(Usage, WindowsAreClosedInOrder)
{
    usage_ledger ledger(options);
    EXPECT_EQ(ledger.next(999, windowStart + 30s, start)->window, 1000U);
    EXPECT_FALSE(ledger.next(1005, windowStart + 30s, start));
    EXPECT_FALSE(ledger.next(2000, windowStart + 30s, start));
    EXPECT_EQ(ledger.next(10, windowStart, start)->window, 1000U - options.keptWindows());
    ledger.record("host", 1, {{1000, "a", 3}}, start);
    EXPECT_EQ(ledger.next(std::nullopt, windowStart + 60s, start)->window, 1000U);
    ledger.closed(1000);
    EXPECT_FALSE(ledger.next(1000, windowStart + 10s, start));
    ledger.record("host", 1, {{1000, "a", 5}, {990, "a", 5}}, start);
    EXPECT_EQ(ledger.lateCount(), 2U);
    EXPECT_EQ(ledger.size(), 1U);
}

// Guards against a table of counts that a jump of the clock fills for good.
TEST(Usage, CounterForgetsOldAndImpossibleWindows)
{
    usage_counter counter(12);
    counter.record(1000, "a");
    counter.record(5000, "a");
    counter.record(100, "a");
    counter.advance(1011);
    EXPECT_EQ(counter.changes(10), (std::vector<usage_entry>{{1000, "a", 1}}));
    counter.advance(1012);
    EXPECT_EQ(counter.size(), 0U);
}
