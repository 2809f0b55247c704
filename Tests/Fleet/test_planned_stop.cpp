#include "control_node_fixture.h"

namespace quetzalcleat::fleet::test {

class planned_stop_test : public control_node_test
{
protected:
    planned_stop_test()
    {
        for (const auto &seed : seeds)
            start(seed);
        write("4");
        runUntil([this] { return !leader().empty(); });
    }

    /// A host that is not the leader, and not `other`.
    std::string follower(const std::string &other = {})
    {
        const auto leading = leader();
        for (const auto &seed : seeds) {
            if (seed != leading && seed != other)
                return seed;
        }
        return {};
    }

    static bool isAnswered(const call &pending)
    {
        return pending.status > 0 || pending.status == -1;
    }

    void beginStop(const std::string &ip)
    {
        m_hosts.at(ip).node->beginStop(std::chrono::seconds(4));
    }
};

/// Guards against an operator whose connection is closed before the outcome of the write is told.
TEST_F(planned_stop_test, StopTellsTheOutcomeOfAWriteInProgress)
{
    const auto leading = leader();
    // Without a majority the write stays in progress.
    for (const auto &seed : seeds) {
        if (seed != leading)
            m_hosts.at(seed).network->stop();
    }
    const auto written = send(leading, "PUT", "5");
    auto &node = *m_hosts.at(leading).node;
    runUntil([&] { return node.hasPendingCalls() || isAnswered(*written); });
    runFor(20ms);
    ASSERT_TRUE(node.hasPendingCalls());
    node.stop();
    runUntil([&] { return isAnswered(*written); });
    EXPECT_EQ(written->status, 503);
}

/// Guards against a write that is lost or gets no answer because the leader passes its leadership
/// on while the write is in progress.
TEST_F(planned_stop_test, WriteDuringATransferOfLeadershipIsAnswered)
{
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        runUntil([this] { return !leader().empty(); });
        const auto leading = leader();
        const auto version = std::to_string(10 + round);
        const auto written = send(leading, "PUT", version);
        runUntil(
            [&] { return m_hosts.at(leading).node->hasPendingCalls() || isAnswered(*written); });
        beginStop(leading);
        const auto begin = std::chrono::steady_clock::now();
        runUntil([&] { return isAnswered(*written); });
        EXPECT_GT(written->status, 0);
        // By then operators have gone to another host.
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 1s);
        runUntil([&] { return !leader().empty() && leader() != leading; });
        if (written->status == 200) {
            EXPECT_EQ(statusOf(send(leader(), "GET", ""), "GET", ""), 200);
        }
        kill(leading);
        start(leading);
    }
}

/// Guards against a host that becomes leader during its planned stop, because another one passes
/// its leadership on, and keeps it to its end.
TEST_F(planned_stop_test, LeadershipThatArrivesDuringAStopIsPassedOn)
{
    const auto first = leader();
    const auto second = follower();
    const auto third = follower(second);
    // Its log is behind, so the leadership does not go there at first.
    kill(third);
    write("5");
    beginStop(second);
    beginStop(first);
    runUntil([&] { return leader() == second; });
    start(third);
    runUntil([&] { return knowsLeader(third); });
    kill(first);
    runUntil([&] { return leader() == third; });
}

} // namespace quetzalcleat::fleet::test
