#include "daemon_fixture.h"

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

namespace quetzalcleat::tests {

namespace {

/// A caller that controls when its connection opens and when each byte is sent. The connection
/// closes with it.
class raw_caller
{
public:
    raw_caller(asio::io_context &context, std::uint16_t port)
        : m_connection(std::make_shared<connection>(context))
    {
        m_connection->socket.connect({asio::ip::make_address("127.0.0.1"), port}, m_error);
    }
    ~raw_caller()
    {
        std::error_code ignored;
        m_connection->socket.close(ignored);
    }
    raw_caller(const raw_caller &) = delete;
    raw_caller &operator=(const raw_caller &) = delete;

    bool isConnected() const { return !m_error; }

    void send(const std::string &bytes)
    {
        asio::write(m_connection->socket, asio::buffer(bytes), m_error);
    }

    /// Reads in the event loop.
    void read() { m_connection->read(); }

    const std::string &received() const { return m_connection->received; }
    bool isClosed() const { return m_connection->closed; }

private:
    /// Outlives the caller until its last read has ended.
    struct connection : std::enable_shared_from_this<connection>
    {
        explicit connection(asio::io_context &context) : socket(context) { }

        void read()
        {
            socket.async_read_some(
                asio::buffer(buffer),
                [self = shared_from_this()](std::error_code error, std::size_t count) {
                    self->closed = static_cast<bool>(error);
                    self->received.append(self->buffer.data(), count);
                    if (!self->closed)
                        self->read();
                });
        }

        asio::ip::tcp::socket socket;
        std::array<char, 4096> buffer{};
        std::string received;
        bool closed = false;
    };

    std::shared_ptr<connection> m_connection;
    std::error_code m_error;
};

constexpr const char *serviceRequest = "GET /services/booking/state HTTP/1.1\r\nHost: h\r\n"
                                       "Authorization: Bearer token-of-caller-one\r\n\r\n";

} // namespace

class stop_test : public daemon_fixture
{
protected:
    /// Starts the daemon with a stream that has begun.
    std::shared_ptr<caller_response> startWithStream()
    {
        auto &engine = addEngine();
        engine.onCompletion = [](const engine_call &call) {
            call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
        };
        m_options.balancerNoticeTime = std::chrono::milliseconds(1);
        startDaemon();
        auto response = complete("p", true);
        await([&] { return !response->body.empty(); });
        return response;
    }

    void beginStop()
    {
        m_daemon->beginStop([this](bool complete) { m_stopped = complete; });
    }

    void beginStopAndAwaitClosedListener()
    {
        const auto port = m_daemon->callerPort();
        beginStop();
        // A listener whose queue always has a connection is kept open for longer.
        constexpr std::chrono::milliseconds interval{20};
        auto next = std::chrono::steady_clock::now();
        await([&] {
            if (std::chrono::steady_clock::now() < next)
                return false;
            const bool closed = !raw_caller(m_context, port).isConnected();
            next = std::chrono::steady_clock::now() + interval;
            return closed;
        });
    }

    std::optional<bool> m_stopped;
};

// Guards against a graceful stop that cuts off a stream, refuses callers before the balancer has
// noticed, or never ends.
TEST_F(stop_test, CompletesAHundredStreams)
{
    constexpr std::size_t streams = 100;
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(200);
    m_options.idleCloseTime = std::chrono::milliseconds(50);
    startDaemon();
    std::vector<std::shared_ptr<caller_response>> responses;
    responses.reserve(streams + 1);
    for (std::size_t number = 0; number < streams; ++number)
        responses.push_back(complete("p" + std::to_string(number), true));
    await([&] {
        return std::ranges::all_of(responses,
                                   [](auto &response) { return !response->body.empty(); });
    });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    const auto health = send("GET", "/healthz", "");
    responses.push_back(complete("late", true));
    await(*health);
    EXPECT_EQ(health->head.status, 503);
    EXPECT_EQ(health->body, R"({"status":"leaving"})");
    m_daemon->skipIdleWait();
    await([&] { return engine.calls().size() == streams + 1; });
    // The listener closes at the end of the notice time, while the streams are still open.
    await([&] { return !responses.back()->body.empty(); });
    EXPECT_FALSE(stopped);
    for (const auto &call : engine.calls())
        engine.sendRest(call, 1);
    await([&] { return stopped.has_value(); });
    EXPECT_TRUE(*stopped);
    await([&] {
        return std::ranges::all_of(responses, [](auto &response) { return response->ended; });
    });
    for (std::size_t number = 0; number <= streams; ++number) {
        const auto prompt = number < streams ? "p" + std::to_string(number) : std::string("late");
        EXPECT_FALSE(responses[number]->error);
        EXPECT_TRUE(responses[number]->endsWithDone());
        EXPECT_EQ(responses[number]->streamedText(),
                  fake_engine::expectedText(prompt, engine.tokensPerCompletion));
    }
}

// Guards against a stop that waits forever for a stream that does not end.
TEST_F(stop_test, GivesUpAfterTheGraceTime)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(1);
    m_options.stopGraceTime = std::chrono::milliseconds(50);
    startDaemon();
    const auto response = complete("p", true);
    await([&] { return !response->body.empty(); });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    await([&] { return stopped.has_value(); });
    EXPECT_FALSE(*stopped);
}

// Guards against a request that is taken long after the start of a stop and cut at its end, on a
// connection whose stream was in progress when the stop began.
TEST_F(stop_test, RefusesARequestThatWouldOutlastTheStop)
{
    const auto response = startWithStream();
    beginStopAndAwaitClosedListener();
    auto &engine = *m_engines[0];
    engine.sendRest(engine.calls()[0], 1);
    await(*response);
    const auto next = complete("q", true);
    await([&] { return next->ended || engine.calls().size() == 2; });
    EXPECT_TRUE(response->endsWithDone());
    // A closed connection is as good as a refusal.
    if (!next->error) {
        EXPECT_EQ(next->head.status, 503);
        EXPECT_EQ(next->errorField("type"), "stopping");
        EXPECT_EQ(next->errorField("outcome"), "not_run");
        EXPECT_FALSE(next->header("Retry-After").empty());
    }
    EXPECT_EQ(engine.calls().size(), 1U);
    await([&] { return m_stopped.has_value(); });
    EXPECT_TRUE(*m_stopped);
}

// Guards against a stop that takes a request whose body ends late, or the first request of a
// connection that was accepted last, and cuts it at its end.
TEST_F(stop_test, RefusesLateRequestsOfAcceptedConnections)
{
    const auto response = startWithStream();
    const std::string head = "POST /services/booking/orders HTTP/1.1\r\nHost: h\r\n"
                             "Authorization: Bearer token-of-caller-one\r\n"
                             "Content-Length: 4\r\n\r\n";
    raw_caller slowBody(m_context, m_daemon->callerPort());
    slowBody.send(head + "or");
    raw_caller acceptedLast(m_context, m_daemon->callerPort());
    slowBody.read();
    acceptedLast.read();
    beginStopAndAwaitClosedListener();
    slowBody.send("de");
    acceptedLast.send(head + "orde");
    await([&] { return slowBody.isClosed() && acceptedLast.isClosed(); });
    for (const auto *caller : {&slowBody, &acceptedLast}) {
        EXPECT_TRUE(caller->received().starts_with("HTTP/1.1 503")) << caller->received();
        EXPECT_NE(caller->received().find(R"("outcome":"not_run")"), std::string::npos);
    }
    EXPECT_TRUE(m_serviceCalls.empty());
}

// Guards against refusing what can still be served.
TEST_F(stop_test, ServesARequestThatEndsBeforeTheStop)
{
    constexpr std::chrono::seconds longerThanTheDeadline{900};
    m_options.stopGraceTime = longerThanTheDeadline;
    const auto response = startWithStream();
    raw_caller accepted(m_context, m_daemon->callerPort());
    accepted.read();
    beginStopAndAwaitClosedListener();
    accepted.send(serviceRequest);
    await([&] { return accepted.isClosed(); });
    EXPECT_TRUE(accepted.received().starts_with("HTTP/1.1 200")) << accepted.received();
}

// Guards against connections that are reset because they wait in the queue of the listener when it
// closes.
TEST_F(stop_test, ServesConnectionsThatWaitToBeAccepted)
{
    constexpr std::size_t callers = 40; // More than the daemon accepts at once.
    constexpr std::chrono::seconds longerThanTheDeadline{900};
    m_options.stopGraceTime = longerThanTheDeadline;
    const auto response = startWithStream();
    beginStop();
    std::deque<raw_caller> waiting;
    for (std::size_t count = 0; count < callers; ++count) {
        waiting.emplace_back(m_context, m_daemon->callerPort());
        waiting.back().send(serviceRequest);
        waiting.back().read();
    }
    // Past the notice: the end of it and the connections are ready in the same turn of the loop.
    std::this_thread::sleep_for(2 * m_options.balancerNoticeTime);
    await([&] {
        return std::ranges::all_of(waiting, [](auto &caller) {
            return caller.isClosed() || caller.received().ends_with("answer to ");
        });
    });
    for (const auto &caller : waiting)
        EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 200")) << caller.received();
}

// Guards against requests that are cut without an answer at the end of the grace time, and against
// an answer that promises more than is known.
TEST_F(stop_test, EndOfTheGraceTimeAnswersEveryRequest)
{
    m_options.stopGraceTime = std::chrono::milliseconds(100);
    std::size_t calls = 0;
    m_onServiceCall = [&](const auto &, const auto &) { ++calls; };
    const auto stream = startWithStream();
    const auto order
        = send("POST", "/services/booking/orders", "wire 7", {{"Idempotency-Key", "k1"}});
    await([&] { return calls == 1; });
    m_control.delaysClaims = true;
    const auto claiming
        = send("POST", "/services/booking/orders", "wire 8", {{"Idempotency-Key", "k2"}});
    await([&] { return m_control.claims.size() == 2; });
    beginStop();
    await([&] { return m_stopped.has_value(); });
    EXPECT_FALSE(*m_stopped);
    await([&] { return stream->ended && order->ended && claiming->ended; });
    EXPECT_FALSE(stream->error);
    EXPECT_FALSE(stream->endsWithDone());
    EXPECT_NE(stream->body.find(R"("outcome":"unknown")"), std::string::npos);
    EXPECT_EQ(order->errorField("type"), "stopping");
    EXPECT_EQ(order->errorField("outcome"), "unknown");
    EXPECT_EQ(order->errorField("retryable"), "false");
    EXPECT_EQ(claiming->errorField("type"), "stopping");
    EXPECT_EQ(claiming->errorField("outcome"), "undecided");
    ASSERT_EQ(m_control.finished.size(), 1U);
    EXPECT_FALSE(m_control.finished[0].outcomeKnown);
    EXPECT_EQ(m_control.abandoned.size(), 1U);
}

// Guards against a stop that calls back a caller that is gone, or uses a daemon that is gone.
TEST_F(stop_test, ShutDownEndsAStopInProgress)
{
    const auto response = startWithStream();
    beginStopAndAwaitClosedListener();
    m_daemon->shutDown();
    m_client.shutDown(); // Closes the last connection, which the stop waits for.
    pass(std::chrono::milliseconds(100));
    EXPECT_FALSE(m_stopped);
}

// Guards against a callback that is destroyed while it runs.
TEST_F(stop_test, CallbackMayShutDown)
{
    m_options.balancerNoticeTime = std::chrono::milliseconds(1);
    m_options.idleCloseTime = std::chrono::milliseconds(1);
    startDaemon();
    const auto token = std::make_shared<int>();
    long owners = 0;
    m_daemon->beginStop([this, token, &owners](bool complete) {
        m_daemon->shutDown();
        owners = token.use_count();
        m_stopped = complete;
    });
    await([&] { return m_stopped.has_value(); });
    EXPECT_TRUE(*m_stopped);
    EXPECT_EQ(owners, 2);
}

// Guards against a request on an idle connection that is taken while the process ends.
TEST_F(stop_test, RefusesARequestAfterTheStopHasEnded)
{
    m_options.balancerNoticeTime = std::chrono::milliseconds(1);
    startDaemon();
    raw_caller idle(m_context, m_daemon->callerPort());
    idle.send(serviceRequest);
    idle.read();
    await([&] { return idle.received().ends_with("answer to "); });
    const auto served = idle.received().size();
    m_daemon->skipIdleWait();
    beginStop();
    await([&] { return m_stopped.has_value(); });
    idle.send(serviceRequest);
    await([&] { return idle.isClosed(); });
    EXPECT_TRUE(idle.received().substr(served).starts_with("HTTP/1.1 503")) << idle.received();
    EXPECT_EQ(m_serviceCalls.size(), 1U);
}

} // namespace quetzalcleat::tests
