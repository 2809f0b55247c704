#include "control_node_fixture.h"

namespace quetzalcleat::fleet::test {

/// Guards against operators that are turned away during an election: with their growing pauses, the
/// next acknowledgement comes seconds after the new leader.
TEST_F(control_node_test, CallsDuringAnElectionWaitForItsEnd)
{
    for (const auto &seed : seeds)
        start(seed);
    write("4");
    kill(leader());
    const auto host = m_hosts.begin()->first;
    runUntil([&] { return !knowsLeader(host) || !leader().empty(); });
    ASSERT_TRUE(leader().empty());
    const auto start = std::chrono::steady_clock::now();
    const auto written = send(host, "PUT", "5");
    const auto read = send(host, "GET", "");
    const int statusOfWrite = statusOf(written, "PUT", "5");
    const int statusOfRead = statusOf(read, "GET", "");
    // On a slow machine the election may take longer than a call waits.
    if (std::chrono::steady_clock::now() - start < held_call_limits().longestWait) {
        EXPECT_EQ(statusOfWrite, 200);
        EXPECT_EQ(statusOfRead, 200);
    }
}

/// Guards against operators that wait at each call to a host that is cut off.
TEST_F(control_node_test, HostWithoutAMajorityAnswersAtOnce)
{
    for (const auto &seed : seeds)
        start(seed);
    write("4");
    kill("127.0.3.2");
    kill("127.0.3.3");
    runUntil([&] { return !knowsLeader("127.0.3.1"); });
    runFor(3s);
    const auto refused = send("127.0.3.1", "PUT", "5");
    bool waits = false;
    runUntil([&] {
        waits = waits || m_hosts.at("127.0.3.1").node->hasPendingCalls();
        return refused->status > 0;
    });
    EXPECT_EQ(refused->status, 503);
    EXPECT_FALSE(waits);
}

/// As above, for operators whose calls overlap.
TEST_F(control_node_test, OverlappingCallsToAHostWithoutAMajorityDoNotWait)
{
    constexpr int callsInTurn = 40;
    start("127.0.3.1");
    std::vector<std::shared_ptr<call>> overlapping;
    for (int count = 0; count < callsInTurn; ++count) {
        overlapping.push_back(send("127.0.3.1", "GET", ""));
        runFor(100ms);
    }
    EXPECT_FALSE(m_hosts.at("127.0.3.1").node->hasPendingCalls());
    runUntil([&] { return overlapping.back()->status > 0; });
    EXPECT_EQ(overlapping.back()->status, 503);
}

/// Guards against a planned stop that leaves a waiting operator without an answer.
TEST_F(control_node_test, StopAnswersWaitingCalls)
{
    start("127.0.3.1");
    const auto waiting = send("127.0.3.1", "PUT", "5");
    runUntil([&] { return m_hosts.at("127.0.3.1").node->hasPendingCalls(); });
    m_hosts.at("127.0.3.1").node->stop();
    EXPECT_EQ(statusOf(waiting, "PUT", "5"), 503);
}

} // namespace quetzalcleat::fleet::test
