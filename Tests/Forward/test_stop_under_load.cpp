#include "forwarder_fixture.h"

#include <algorithm>
#include <array>

namespace quetzalcleat::forward::test {

namespace {

/// Below the queue length of the listeners.
constexpr int callers = 12;

} // namespace

class stop_under_load_test : public forwarder_test
{
protected:
    scripted_socket m_lastCaller;

    /// Time from the notice to the end of a stop.
    static constexpr std::chrono::milliseconds restOfStop{5000};

    /// Begins a stop of which callers have had their notice.
    void beginStopAfterNotice()
    {
        const auto now = std::chrono::steady_clock::now();
        m_forwarder->beginStop({now, now + restOfStop});
    }

    void awaitHeldRequests(std::size_t number)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        std::size_t held = 0;
        while (held != number && std::chrono::steady_clock::now() < end)
            inLoop([&] { held = m_forwarder->waitingRequests(); });
        EXPECT_EQ(held, number);
    }

    /// Answers a request of each of the callers at the endpoint.
    void expectAllServed(std::vector<scripted_socket> &callersToServe)
    {
        std::vector<scripted_socket> endpoints;
        endpoints.reserve(callersToServe.size());
        for (std::size_t index = 0; index < callersToServe.size(); ++index) {
            auto endpoint = acceptAny();
            ASSERT_TRUE(endpoint.isOpen()) << index;
            endpoint.readMessage();
            endpoint.send(signedResponse("whole"));
            endpoints.push_back(std::move(endpoint));
        }
        for (auto &caller : callersToServe)
            EXPECT_TRUE(caller.readMessage().ends_with("whole"));
    }
};

/// Guards against requests that arrived just before the listener closes, on connections that the
/// host has not accepted yet, and are reset without an answer.
TEST_F(stop_under_load_test, StopServesConnectionsThatWaitToBeAccepted)
{
    setEndpoints({"one"});
    std::vector<scripted_socket> waiting;
    inLoop([&] {
        beginStop();
        // The loop is busy, so these wait in the queue of the listener.
        for (int index = 0; index < callers; ++index)
            waiting.push_back(call("GET", "/read/a", "X-Time-Left-Ms: 15000\r\n"));
        m_forwarder->closeIdle();
    });
    expectAllServed(waiting);
}

/// Guards against a request on an open connection that the host has received but not read yet when
/// it closes idle connections.
TEST_F(stop_under_load_test, StopServesRequestsThatWaitToBeRead)
{
    setEndpoints({"one"});
    std::vector<scripted_socket> open;
    for (int index = 0; index < callers; ++index) {
        open.push_back(call("GET", "/read/a"));
        auto endpoint = m_endpoints[0].accept();
        endpoint.readMessage();
        endpoint.send(signedResponse("first"));
        endpoint.close();
        open.back().readMessage();
    }
    inLoop([&] {
        beginStop();
        for (auto &caller : open)
            caller.send(request("GET", "/read/b", "X-Time-Left-Ms: 15000\r\n"));
        m_forwarder->closeIdle();
    });
    expectAllServed(open);
}

/// Guards against requests that are cut without an answer at the end of the grace time: what was
/// not sent is refused as not run, what was sent gets an answer that promises nothing.
TEST_F(stop_under_load_test, EndOfTheGraceTimeAnswersEveryRequest)
{
    m_confirmationAge = 1'000'000;
    auto waiting
        = call("GET", "/keyed/a", "X-Time-Left-Ms: 15000\r\nAuthorization: Bearer secret\r\n");
    auto sent = call("POST", "/book/a", "X-Time-Left-Ms: 15000\r\n", "order");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    inLoop([this] { beginStop(); });
    inLoop([this] { m_forwarder->endRequests(); });
    EXPECT_TRUE(waiting.readMessage().starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(sent.readMessage().starts_with("HTTP/1.1 502"));
    EXPECT_TRUE(endpoint.waitForClose());
}

/// Guards against a request that is taken long after the start of a planned stop, on a connection
/// whose stream was in progress then, and is cut at the end of the grace time.
TEST_F(stop_under_load_test, StreamThatEndsDuringAStopIsTheLastOfItsConnection)
{
    setEndpoints({"one"});
    auto caller = call("GET", "/stream/a", "X-Time-Left-Ms: 15000\r\n");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(streamHead() + chunk(event(1)));
    caller.readUntil(event(1) + "\r\n");
    inLoop([this] {
        beginStopAfterNotice();
        m_forwarder->closeIdle();
    });
    endpoint.send(chunk(event(2)) + "0\r\n\r\n");
    endpoint.close();
    EXPECT_TRUE(caller.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    caller.send(request("GET", "/stream/b", "X-Time-Left-Ms: 15000\r\n"));
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(500)));
    // The request may cross the close.
    EXPECT_TRUE(caller.hasBytes(std::chrono::seconds(2))) << "the connection stays open";
    const auto answer = caller.readAll();
    EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 503")) << answer;
}

/// Guards against a connection that stays open after its last response during a stop.
TEST_F(stop_under_load_test, ConnectionClosesWithTheStreamThatEndsDuringAStop)
{
    setEndpoints({"one"});
    auto caller = call("GET", "/stream/a", "X-Time-Left-Ms: 15000\r\n");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(streamHead() + chunk(event(1)));
    caller.readUntil(event(1) + "\r\n");
    inLoop([this] { beginStopAfterNotice(); });
    endpoint.send(chunk(event(2)) + "0\r\n\r\n");
    EXPECT_TRUE(caller.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    // Well before the idle time of the connection.
    EXPECT_TRUE(caller.hasBytes(std::chrono::seconds(2)));
    EXPECT_TRUE(caller.waitForClose());
}

/// Guards against a request that is taken when the end of the stop is nearer than its deadline, and
/// is cut then. Another host can serve it.
TEST_F(stop_under_load_test, RequestThatWouldOutlastTheStopIsRefusedAsNotRun)
{
    auto fresh = scripted_socket::connectTo(m_port);
    auto slow = scripted_socket::connectTo(m_port);
    const auto order = request("POST", "/book/a", "X-Time-Left-Ms: 15000\r\n", "order");
    slow.send(order.substr(0, order.size() - 1));
    // Both are accepted, and the head of the order is read.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    inLoop([this] {
        beginStopAfterNotice();
        m_forwarder->closeIdle();
    });
    fresh.send(request("GET", "/stream/a", "X-Time-Left-Ms: 15000\r\n"));
    slow.send(order.substr(order.size() - 1));
    for (auto *caller : {&fresh, &slow}) {
        const auto answer = caller->readMessage();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    }
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(200)));
}

/// Guards against refusing what a stopping host can still serve.
TEST_F(stop_under_load_test, RequestThatEndsBeforeTheStopIsServed)
{
    setEndpoints({"one"});
    auto fresh = scripted_socket::connectTo(m_port);
    inLoop([this] {
        beginStopAfterNotice();
        m_forwarder->closeIdle();
    });
    fresh.send(request("GET", "/read/a", "X-Time-Left-Ms: 4000\r\n"));
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(signedResponse("whole"));
    EXPECT_TRUE(fresh.readMessage().ends_with("whole"));
}

/// Guards against a request that waits in the host for an endpoint when a stop begins, is sent
/// after the notice and is cut at the end of the stop. One that ends before the stop is still sent.
TEST_F(stop_under_load_test, RequestHeldUntilAfterTheNoticeIsAskedForItsDeadlineAgain)
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\n"
                                "Retry-After: 2\r\nContent-Length: 0\r\n\r\n";
    setEndpoints({"one"});
    auto lasting = call("POST", "/book/a", "X-Time-Left-Ms: 15000\r\n", "order");
    auto endpoint = acceptAny();
    endpoint.readMessage();
    endpoint.send(refusal);
    awaitHeldRequests(1);
    auto ending = call("GET", "/read/a", "X-Time-Left-Ms: 4000\r\n");
    awaitHeldRequests(2);
    inLoop([this] { beginStopAfterNotice(); });
    const auto refused = lasting.readMessage();
    EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
    EXPECT_NE(refused.find("Retry-After: 0.02"), std::string::npos) << refused;
    EXPECT_TRUE(endpoint.readMessage().starts_with("GET /read/a"));
    endpoint.send(signedResponse("whole"));
    EXPECT_TRUE(ending.readMessage().ends_with("whole"));
}

/// As above, for a request that waits for a configuration.
TEST_F(stop_under_load_test, RequestThatWaitsForAConfigurationIsAskedForItsDeadlineAgain)
{
    m_confirmationAge = 1'000'000;
    auto caller
        = call("GET", "/keyed/a", "X-Time-Left-Ms: 15000\r\nAuthorization: Bearer secret\r\n");
    awaitHeldRequests(1);
    inLoop([this] {
        beginStopAfterNotice();
        m_confirmationAge = 0;
    });
    const auto answer = caller.readMessage();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("Retry-After: 0.02"), std::string::npos) << answer;
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(200)));
}

/// Guards against a request that is sent although the response before it on its connection said
/// that it is the last.
TEST_F(stop_under_load_test, RequestBehindTheLastResponseIsNotSent)
{
    setEndpoints({"one"});
    auto caller = scripted_socket::connectTo(m_port);
    caller.send(request("GET", "/read/a") + request("POST", "/book/b", {}, "order"));
    auto endpoint = acceptAny();
    endpoint.readMessage();
    inLoop([this] { beginStop(); });
    endpoint.send(signedResponse("whole"));
    const auto answers = caller.readAll();
    EXPECT_TRUE(answers.ends_with("whole")) << answers;
    EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
    EXPECT_FALSE(endpoint.hasBytes(std::chrono::milliseconds(200)));
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(0)));
}

/// Guards against a body that is sent to a host which refuses the request once it has arrived.
TEST_F(stop_under_load_test, BodyIsNotAskedForAfterTheNotice)
{
    inLoop([this] { beginStopAfterNotice(); });
    auto caller = call("POST", "/book/a",
                       "X-Time-Left-Ms: 15000\r\nExpect: 100-continue\r\n"
                       "Content-Length: 5\r\n");
    EXPECT_TRUE(caller.readMessage().starts_with("HTTP/1.1 503"));
}

/// Guards against a request that is taken when all requests have been ended already, in a grace
/// time that is shorter than the notice.
TEST_F(stop_under_load_test, NoRequestIsTakenAfterTheEnd)
{
    inLoop([this] {
        const auto now = std::chrono::steady_clock::now();
        m_forwarder->beginStop({now + std::chrono::minutes(1), now});
        // Waits in the queue of the listener.
        m_lastCaller = call("GET", "/stream/a", "X-Time-Left-Ms: 15000\r\n");
        m_forwarder->endRequests();
    });
    EXPECT_TRUE(m_lastCaller.readMessage().starts_with("HTTP/1.1 503"));
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(200)));
}

/// Guards against a whole answer that is cut at the end of the grace time because its caller reads
/// slowly. Its end waits in the host only if its size is just above what the sockets hold, which
/// depends on the machine, so many sizes are tried.
TEST_F(stop_under_load_test, EndOfTheGraceTimeCutsNoAnswerToASlowCaller)
{
    constexpr std::size_t step = std::size_t{96} * 1024;
    constexpr std::size_t maximumSizes = 100;
    constexpr std::chrono::milliseconds timeToEnd{300};
    setEndpoints({"one"});
    std::vector<scripted_socket> slow;
    std::vector<scripted_socket> endpoints;
    std::vector<std::thread> senders;
    bool isHeld = true;
    for (std::size_t index = 1; isHeld && index <= maximumSizes; ++index) {
        slow.push_back(call("GET", "/read/a"));
        auto endpoint = m_endpoints[0].accept();
        endpoint.readMessage();
        auto response = signedResponse(std::string(index * step, 'b'));
        response.insert(response.find("Content-Length"), "Connection: close\r\n");
        senders.emplace_back([endpoint = std::move(endpoint), response = std::move(response)] {
            endpoint.send(response);
        });
        const auto end = std::chrono::steady_clock::now() + timeToEnd;
        do {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            inLoop([&] { isHeld = m_forwarder->requestsInProgress() == 0; });
        } while (!isHeld && std::chrono::steady_clock::now() < end);
    }
    inLoop([this] {
        beginStopAfterNotice();
        m_forwarder->endRequests();
    });
    // The host does not have all of the last answer.
    for (std::size_t index = 1; index < slow.size(); ++index)
        EXPECT_GT(slow[index - 1].readAll().size(), index * step) << index;
    EXPECT_FALSE(isHeld);
    for (auto &sender : senders)
        sender.join();
}

/// Guards against requests, among them orders, that arrive late in a planned stop and are passed
/// on, and whose connections are closed without an answer at its end. No endpoint answers here.
TEST_F(stop_under_load_test, LateRequestsAreRefusedOrAnswered)
{
    constexpr std::chrono::milliseconds notice{200};
    constexpr std::chrono::milliseconds grace{1200};
    constexpr std::chrono::milliseconds interval{50};
    struct late_request
    {
        scripted_socket caller;
        std::string path;
        bool mayOutlastTheStop = false;
    };
    // Kept connections, opened before the stop.
    std::vector<scripted_socket> kept;
    for (auto left = grace; left.count() > 0; left -= interval)
        kept.push_back(scripted_socket::connectTo(m_port));
    const auto start = std::chrono::steady_clock::now();
    inLoop([&] { m_forwarder->beginStop({start + notice, start + grace}); });
    std::vector<late_request> requests;
    const std::array<const char *, 3> paths{"/book/a", "/stream/a", "/read/a"};
    for (auto &caller : kept) {
        const bool isShort = requests.size() % 2 == 0;
        const std::string path = paths.at(requests.size() % paths.size());
        caller.send(request("POST", path,
                            isShort ? "X-Time-Left-Ms: 100\r\n" : "X-Time-Left-Ms: 15000\r\n",
                            "order"));
        const auto sent = std::chrono::steady_clock::now();
        requests.push_back({std::move(caller), path, !isShort && sent > start + notice});
        std::this_thread::sleep_for(interval);
    }
    inLoop([this] { m_forwarder->endRequests(); });
    for (auto &late : requests) {
        const auto answer = late.caller.readMessage();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 5")) << late.path << answer;
        EXPECT_NE(answer.find("\r\n\r\n"), std::string::npos) << late.path << answer;
        const bool isRefused = answer.starts_with("HTTP/1.1 503");
        EXPECT_TRUE(isRefused || !late.mayOutlastTheStop) << late.path << answer;
    }
    // What was passed on after the notice had a deadline before the end.
    std::size_t passedOn = 0;
    for (auto &endpoint : m_endpoints) {
        while (endpoint.hasConnection(std::chrono::milliseconds(50))) {
            endpoint.accept();
            ++passedOn;
        }
    }
    const auto refused = static_cast<std::size_t>(std::count_if(
        requests.begin(), requests.end(), [](const auto &late) { return late.mayOutlastTheStop; }));
    EXPECT_GT(refused, 0U);
    EXPECT_LE(passedOn, 2 * (requests.size() - refused));
}

} // namespace quetzalcleat::forward::test
