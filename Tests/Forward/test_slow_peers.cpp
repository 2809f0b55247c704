#include "forwarder_fixture.h"

namespace quetzalcleat::forward::test {

namespace {

} // namespace

/// Guards against an answer that is cut because its caller reads slowly on a connection that closes
/// after it. The end of the answer waits in the host only if its size is just above what the
/// sockets hold, which depends on the machine, so many sizes are tried.
TEST_F(forwarder_test, SlowCallersGetWholeAnswers)
{
    constexpr std::size_t step = std::size_t{128} * 1024;
    constexpr std::size_t sizes = 48;
    /// Longer than a closing connection lingers for unread bytes of the caller.
    constexpr std::chrono::milliseconds pause{1600};
    setEndpoints({"one"});
    std::vector<scripted_socket> slow;
    std::vector<std::thread> senders;
    for (std::size_t index = 1; index <= sizes; ++index) {
        slow.push_back(call("GET", "/read/a", "Connection: close\r\n"));
        senders.emplace_back([endpoint = m_endpoints[0].accept(), index]() mutable {
            endpoint.readMessage();
            // Closed after it, so that the next request comes on a connection of its own.
            auto response = signedResponse(std::string(index * step, 'b'));
            endpoint.send(
                response.insert(response.find("Content-Length"), "Connection: close\r\n"));
        });
    }
    std::this_thread::sleep_for(pause);
    // All at once, as each connection is closed a second after its last byte.
    std::vector<std::future<std::size_t>> received;
    received.reserve(slow.size());
    for (auto &caller : slow)
        received.push_back(std::async(std::launch::async, [&] { return caller.readAll().size(); }));
    for (std::size_t index = 1; index <= sizes; ++index)
        EXPECT_GT(received[index - 1].get(), index * step);
    for (auto &sender : senders)
        sender.join();
}

/// Guards against a caller that sends many requests, reads no response, and so fills the memory of
/// the host with responses.
TEST_F(forwarder_test, PipelinedRequestsWaitForASlowCaller)
{
    constexpr int requests = 200;
    /// Of the sockets on both sides, and what the host may hold for one caller.
    constexpr std::size_t heldBytes = std::size_t{16} * 1024 * 1024;
    const std::string body(200'000, 'b');
    setEndpoints({"one"});
    std::string text;
    for (int index = 0; index < requests; ++index)
        text += request("GET", "/read/a", "X-Time-Left-Ms: 15000\r\n");
    auto caller = scripted_socket::connectTo(m_port);
    caller.send(text);
    auto endpoint = m_endpoints[0].accept();
    int answered = 0;
    while (answered < requests && endpoint.hasBytes(std::chrono::milliseconds(1000))) {
        ASSERT_TRUE(endpoint.readMessage().starts_with("GET /read/a"));
        endpoint.send(signedResponse(body));
        ++answered;
    }
    EXPECT_LT(answered * body.size(), heldBytes);
    // All are served once the caller reads.
    std::thread sender([&] {
        for (; answered < requests; ++answered) {
            endpoint.readMessage();
            endpoint.send(signedResponse(body));
        }
    });
    std::size_t received = 0;
    for (int index = 0; index < requests; ++index)
        received += caller.readMessage().size();
    sender.join();
    EXPECT_GT(received, requests * body.size());
}

class slow_stream_test : public forwarder_test
{
protected:
    void SetUp() override
    {
        auto content = defaultConfiguration();
        for (auto &entry : content.routes) {
            entry.latencyObjective = std::chrono::milliseconds(100);
            entry.eventGapObjective = std::chrono::milliseconds(50);
        }
        start(std::move(content));
    }

    /// Longer than the time without an event after which another endpoint is tried.
    static constexpr std::chrono::milliseconds longerThanStall{1700};
};

/// Guards against a sound stream that is cut and started elsewhere because its caller reads slowly.
TEST_F(slow_stream_test, SlowCallerDoesNotMoveTheStream)
{
    auto caller = call("POST", "/resume/a", {}, "prompt");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    const std::string data(std::size_t{60} * 1024, 'x');
    constexpr int events = 200;
    std::thread sender([&] {
        endpoint.send(streamHead());
        for (int id = 1; id <= events; ++id)
            endpoint.send(chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n"));
        endpoint.send("0\r\n\r\n");
    });
    std::this_thread::sleep_for(longerThanStall);
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(200)));
    const auto received = caller.readUntil("\r\n0\r\n\r\n");
    sender.join();
    EXPECT_GT(received.size(), events * data.size());
}

/// Guards against a stalled stream that holds its caller because a byte arrives now and then: only
/// whole events are progress.
TEST_F(slow_stream_test, BytesWithoutEventsAreNoProgress)
{
    auto caller = call("POST", "/resume/a", "X-Time-Left-Ms: 12000\r\n", "prompt");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(streamHead() + chunk(event(1)));
    caller.readUntil(event(1));
    std::atomic<bool> moved{false};
    std::thread dribble([&] {
        while (!moved && endpoint.send(chunk(":\n")))
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
    });
    auto other = acceptAny();
    moved = true;
    dribble.join();
    const auto resumed = other.readMessage();
    EXPECT_NE(resumed.find("Last-Event-Id: 1\r\n"), std::string::npos) << resumed;
    other.send(streamHead() + chunk(event(2)) + "0\r\n\r\n");
    EXPECT_TRUE(caller.readUntil("\r\n0\r\n\r\n").find(event(2)) != std::string::npos);
}

/// Guards against a slow stream whose every event is in time for its caller that is moved anyway.
TEST_F(slow_stream_test, SlowSoundStreamStays)
{
    auto caller = call("POST", "/resume/a", {}, "prompt");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(streamHead());
    constexpr int events = 5;
    for (int id = 1; id <= events; ++id) {
        std::this_thread::sleep_for(std::chrono::milliseconds(800));
        endpoint.send(chunk(event(id)));
    }
    endpoint.send("0\r\n\r\n");
    const auto received = caller.readMessage();
    EXPECT_NE(received.find(event(events)), std::string::npos);
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(0)));
}

/// Guards against a late copy of an answer that the next caller on the connection gets as its own.
TEST_F(forwarder_test, LateCopyIsNotTheNextAnswer)
{
    setEndpoints({"one"});
    for (const auto *route : {"/read/a", "/book/a", "/stream/a"}) {
        auto first = call("GET", "/read/a");
        auto endpoint = m_endpoints[0].accept();
        endpoint.readMessage();
        endpoint.send(signedResponse("first"));
        first.readMessage();
        auto second = scripted_socket::connectTo(m_port);
        auto text = request("POST", route, {}, "body");
        text.replace(text.find("r1"), 2, "r2");
        second.send(text);
        endpoint.readMessage();
        endpoint.send(signedResponse("first"));
        endpoint.send(signedResponse("second", "r2"));
        endpoint.close();
        const auto response = second.readMessage();
        EXPECT_EQ(response.find("first"), std::string::npos) << response;
    }
}

/// Guards against a success or a refusal that names no request: on a connection that was used
/// before, it may belong to an earlier one.
TEST_F(forwarder_test, AnswerWithoutIdentityIsNotTrusted)
{
    setEndpoints({"one"});
    for (const std::string answer :
         {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nold",
          "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}) {
        auto first = call("GET", "/read/a");
        auto endpoint = m_endpoints[0].accept();
        endpoint.readMessage();
        endpoint.send(signedResponse("first"));
        first.readMessage();
        first.send(request("POST", "/book/a", {}, "order"));
        endpoint.readMessage();
        endpoint.send(answer);
        // Whether the order ran is not known.
        EXPECT_TRUE(first.readMessage().starts_with("HTTP/1.1 502"));
        endpoint.close();
    }
    auto stream = call("POST", "/stream/a", {}, "prompt");
    auto endpoint = m_endpoints[0].accept();
    endpoint.readMessage();
    auto head = streamHead();
    const std::string identity = "X-Request-Id: r1\r\n";
    head.erase(head.find(identity), identity.size());
    endpoint.send(head + chunk(event(1)));
    EXPECT_TRUE(stream.readMessage().starts_with("HTTP/1.1 502"));
}

} // namespace quetzalcleat::forward::test
