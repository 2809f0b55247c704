#include "LibFleet/held_calls.h"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace quetzalcleat::fleet::test {

class held_calls_test : public testing::Test
{
protected:
    void create(held_call_limits limits)
    {
        m_held = std::make_shared<held_calls>(
            m_context, [this] { return m_mayProceed; }, limits);
    }

    bool hold(int number, std::size_t bodyBytes = 0)
    {
        std::function<void()> proceed = [this, number] { m_continued.push_back(number); };
        const bool isHeld = m_held->hold(bodyBytes, proceed);
        EXPECT_EQ(isHeld, !proceed);
        return isHeld;
    }

    void runUntilEmpty()
    {
        while (!m_held->isEmpty())
            m_context.run_one();
    }

    asio::io_context m_context;
    std::shared_ptr<held_calls> m_held;
    std::vector<int> m_continued;
    bool m_mayProceed = false;
};

/// Guards against a later write that overtakes an earlier one while both wait.
TEST_F(held_calls_test, CallsGoOnInTheOrderOfArrival)
{
    create({});
    EXPECT_TRUE(hold(1));
    EXPECT_TRUE(hold(2));
    EXPECT_TRUE(m_continued.empty());
    m_mayProceed = true;
    runUntilEmpty();
    EXPECT_EQ(m_continued, (std::vector{1, 2}));
}

/// Guards against a call that waits longer than its operator does.
TEST_F(held_calls_test, CallGoesOnAfterTheLongestWait)
{
    held_call_limits limits;
    limits.longestWait = std::chrono::milliseconds(50);
    create(limits);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(hold(1));
    runUntilEmpty();
    EXPECT_GE(std::chrono::steady_clock::now() - start, limits.longestWait);
    EXPECT_EQ(m_continued, (std::vector{1}));
}

/// Guards against calls that fill the memory of a host without a leader.
TEST_F(held_calls_test, NumberAndBytesAreBounded)
{
    held_call_limits limits;
    limits.maximumCalls = 2;
    limits.maximumBytes = 100;
    create(limits);
    EXPECT_FALSE(hold(1, 101));
    EXPECT_TRUE(hold(2, 60));
    EXPECT_FALSE(hold(3, 41));
    EXPECT_TRUE(hold(4, 40));
    EXPECT_FALSE(hold(5));
    m_mayProceed = true;
    runUntilEmpty();
    EXPECT_EQ(m_continued, (std::vector{2, 4}));
    m_mayProceed = false;
    EXPECT_TRUE(hold(6, 100));
}

/// Guards against operators that get no answer from a host that stops while they wait.
TEST_F(held_calls_test, StopContinuesAllCalls)
{
    create({});
    EXPECT_TRUE(hold(1));
    EXPECT_TRUE(hold(2));
    m_held->stop();
    EXPECT_EQ(m_continued, (std::vector{1, 2}));
    EXPECT_FALSE(hold(3));
}

} // namespace quetzalcleat::fleet::test
