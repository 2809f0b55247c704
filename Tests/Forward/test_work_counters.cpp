#include "forwarder_fixture.h"

#include <map>
#include <string>
#include <utility>

namespace quetzalcleat::forward::test {

/// A forwarder whose counters are enabled.
class work_counters_test : public forwarder_test
{
protected:
    void SetUp() override
    {
        auto content = defaultConfiguration();
        content.routes[2].isPublic = false;
        start(std::move(content));
        inLoop([this] {
            m_forwarder->work().enable([this](const std::string &account) { m_ran[account]++; });
        });
    }

    int ran(const std::string &account)
    {
        int count = 0;
        inLoop([&] { count = m_ran[account]; });
        return count;
    }

    static constexpr auto key = "Authorization: Bearer secret\r\n";
    std::map<std::string, int> m_ran; ///< Used on the thread of the forwarder.
};

/// Guards against requests that are billed although no endpoint has run them, or billed twice if
/// another endpoint runs them.
TEST_F(work_counters_test, RefusedRequestCountsOnceWhenItRuns)
{
    auto caller = call("GET", "/keyed/a", key);
    auto first = acceptAny();
    first.readMessage();
    first.send(
        "HTTP/1.1 503 Full\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    auto second = acceptAny();
    second.readMessage();
    EXPECT_EQ(ran("acme"), 0);
    second.send(signedResponse("answer"));
    EXPECT_NE(caller.readMessage().find("answer"), std::string::npos);
    EXPECT_EQ(ran("acme"), 1);
}

/// Guards against a stream that counts before its first event, or once for each event.
TEST_F(work_counters_test, StreamCountsAtItsFirstEvent)
{
    auto caller = call("POST", "/stream/a", key, "prompt");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(streamHead() + chunk(": comment\n\n"));
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(50)));
    EXPECT_EQ(ran("acme"), 0);
    endpoint.send(chunk(event(1)));
    caller.readUntil(event(1));
    EXPECT_EQ(ran("acme"), 1);
    endpoint.send(chunk(event(2)) + "0\r\n\r\n");
    caller.readUntil("0\r\n\r\n");
    EXPECT_EQ(ran("acme"), 1);
}

} // namespace quetzalcleat::forward::test
