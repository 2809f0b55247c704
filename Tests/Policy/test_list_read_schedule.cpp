#include "LibPolicy/list_read_schedule.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace quetzalcleat::policy::test {

namespace {

using namespace std::chrono_literals;

/// A source of pages that refuses calls above its rate, and the hosts that read it.
class limited_source
{
public:
    limited_source(std::uint32_t pages, double callsPerSecond, std::uint64_t seed)
        : m_pages(pages), m_rate(callsPerSecond), m_tokens(callsPerSecond), m_random(seed)
    {
    }

    void addReader(list_read_options options, std::chrono::milliseconds start)
    {
        m_readers.push_back({list_read_schedule(options), 0, {}});
        m_events.push({start, m_readers.size() - 1, true});
    }

    /// Plays until the time. All readers go on until they have the whole list.
    void play(std::chrono::milliseconds end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto next = m_events.top();
            m_events.pop();
            readPage(m_readers[next.reader], next);
        }
    }

    std::optional<std::chrono::milliseconds> doneAt(std::size_t reader) const
    {
        return m_readers[reader].doneAt;
    }

private:
    struct reader
    {
        list_read_schedule schedule;
        std::uint32_t page = 0;
        std::optional<std::chrono::milliseconds> doneAt;
    };

    struct event
    {
        std::chrono::milliseconds at;
        std::size_t reader;
        bool fromFirstPage;

        bool operator<(const event &other) const { return at > other.at; }
    };

    void readPage(reader &target, const event &now)
    {
        constexpr auto pageTime = 5ms;
        m_tokens = std::min(
            m_rate, m_tokens + m_rate * std::chrono::duration<double>(now.at - m_refilled).count());
        m_refilled = now.at;
        const core::instant time(now.at);
        if (now.fromFirstPage) {
            target.page = 0;
            target.schedule.handleStart(time);
        }
        if (m_tokens < 1) {
            const auto next = target.schedule.handleFailure(
                list_read_schedule::page_failure::Limited, m_uniform(m_random), time);
            m_events.push({now.at + next.delay, now.reader, !next.resumes});
            return;
        }
        m_tokens -= 1;
        if (++target.page < m_pages) {
            m_events.push({now.at + pageTime, now.reader, false});
            return;
        }
        target.schedule.handleWholeList();
        target.doneAt = now.at + pageTime;
    }

    std::uint32_t m_pages;
    double m_rate;
    double m_tokens;
    std::chrono::milliseconds m_refilled{0};
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform{0, 1};
    std::vector<reader> m_readers;
    std::priority_queue<event> m_events;
};

/// The leader of the control hosts, which reads for all: it asks again soon.
list_read_options leaderOptions()
{
    list_read_options options;
    options.interval = 500ms;
    options.limitedDelay = 150ms;
    options.longestDelay = 300ms;
    return options;
}

} // namespace

/// Guards against a fleet that serves nothing for half a minute after all of its hosts were killed
/// at once: each host read the list, and none got all its pages.
TEST(list_read_schedule, LeaderGetsTheListWhileAllHostsStart)
{
    constexpr std::size_t hosts = 300;
    constexpr std::uint32_t pages = 61;
    constexpr double callsPerSecond = 150;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        limited_source source(pages, callsPerSecond, seed);
        for (std::size_t host = 0; host < hosts; ++host)
            source.addReader({}, std::chrono::milliseconds(host));
        source.addReader(leaderOptions(), 1000ms);
        source.play(10s);
        const auto done = source.doneAt(hosts);
        ASSERT_TRUE(done) << "seed " << seed;
        EXPECT_LE(*done, 3s) << "seed " << seed;
    }
}

/// Guards against readers that never finish while there is no leader: with the pages that they have
/// kept, the rate of the source suffices for one host after the other.
TEST(list_read_schedule, HostsFinishWithoutALeader)
{
    constexpr std::size_t hosts = 40;
    constexpr std::uint32_t pages = 4;
    constexpr double callsPerSecond = 20;
    limited_source source(pages, callsPerSecond, 1);
    for (std::size_t host = 0; host < hosts; ++host)
        source.addReader({}, std::chrono::milliseconds(host));
    source.play(60s);
    for (std::size_t host = 0; host < hosts; ++host)
        EXPECT_TRUE(source.doneAt(host)) << host;
}

TEST(list_read_schedule, RefusalsSpreadAndOtherFailuresDoNot)
{
    list_read_schedule schedule({});
    const core::instant now(100s);
    using failure = list_read_schedule::page_failure;
    schedule.handleStart(now);
    EXPECT_EQ(schedule.handleFailure(failure::Other, 0.9, now).delay, 1000ms);
    EXPECT_FALSE(schedule.handleFailure(failure::Other, 0.9, now).resumes);
    EXPECT_EQ(schedule.handleFailure(failure::Limited, 0, now).delay, 2500ms);
    EXPECT_EQ(schedule.handleFailure(failure::Limited, 0.5, now).delay, 10'000ms);
    schedule.handleWholeList();
    EXPECT_TRUE(schedule.handleFailure(failure::Limited, 0, now).resumes);
    EXPECT_FALSE(schedule.handleFailure(failure::Limited, 0, now + 9s).resumes);
}

} // namespace quetzalcleat::policy::test
