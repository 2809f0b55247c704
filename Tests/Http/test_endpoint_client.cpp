#include "event_loop.h"
#include "fake_server.h"

#include "LibHttp/endpoint_client.h"
#include "LibHttp/http_error.h"

#include <gtest/gtest.h>

#include <optional>

namespace quetzalcleat::tests {

using http::http_error;

class endpoint_client_test : public ::testing::Test
{
protected:
    struct outcome
    {
        http::response_head head;
        std::string body;
        std::optional<http::transfer_end> end;
        std::shared_ptr<http::endpoint_transfer> transfer;
    };

    ~endpoint_client_test() override { m_client.shutDown(); }

    std::shared_ptr<outcome> start(bool sendOnce = false, http::transfer_timeouts timeouts = never)
    {
        auto seen = std::make_shared<outcome>();
        http::endpoint_request request;
        request.method = "POST";
        request.address = m_server.address();
        request.target = "/orders";
        request.body = "order";
        request.sendOnce = sendOnce;
        request.timeouts = timeouts;
        seen->transfer = m_client.start(
            std::move(request),
            {.onHead = [seen](const http::response_head &head) { seen->head = head; },
             .onPiece = [seen](std::string_view piece) { seen->body.append(piece); },
             .onEnd = [seen](const http::transfer_end &end) { seen->end = end; }});
        return seen;
    }

    void await(const std::shared_ptr<outcome> &seen)
    {
        ASSERT_TRUE(runUntil(m_context, [&] { return seen->end.has_value(); }));
    }

    static constexpr std::chrono::milliseconds longTime{600000};
    static constexpr http::transfer_timeouts never{longTime, longTime, longTime};

    asio::io_context m_context;
    std::size_t m_requests = 0;
    fake_connection::request_handler m_answer;
    fake_server m_server{m_context, [this](const auto &connection, const auto &request) {
                             ++m_requests;
                             if (m_answer)
                                 m_answer(connection, request);
                             else
                                 connection->send(wholeAnswer(200, "done"));
                         }};
    http::endpoint_client m_client{m_context};
};

// Guards against a new connection for every request.
TEST_F(endpoint_client_test, ReusesConnections)
{
    for (int count = 0; count < 5; ++count) {
        const auto seen = start();
        await(seen);
        EXPECT_FALSE(seen->end->error);
        EXPECT_EQ(seen->body, "done");
    }
    EXPECT_EQ(m_server.acceptedConnections(), 1U);
}

// Guards against libcurl's own repetition of a request. The server takes the request on a reused
// connection and closes without an answer: libcurl sends an ordinary request again, and must not
// do so for a call that is to be sent once.
TEST_F(endpoint_client_test, SendsACallOnceThatMustNotRunTwice)
{
    await(start());
    m_answer = [this](const auto &connection, const auto &) {
        if (m_requests == 2)
            connection->close();
        else
            connection->send(wholeAnswer(200, "second transmission"));
    };
    const auto ordinary = start();
    await(ordinary);
    EXPECT_EQ(ordinary->body, "second transmission") << "libcurl no longer repeats requests";
    EXPECT_EQ(m_requests, 3U);

    m_requests = 0;
    m_answer = nullptr;
    await(start());
    const auto connections = m_server.acceptedConnections();
    m_answer = [](const auto &connection, const auto &) { connection->close(); };
    const auto once = start(true);
    await(once);
    EXPECT_EQ(once->end->error, http_error::ConnectionBroken);
    EXPECT_TRUE(once->end->maybeSent);
    EXPECT_EQ(m_requests, 2U);
    EXPECT_EQ(m_server.acceptedConnections(), connections + 1);
}

// Guards against a call that counts as sent although no connection came about.
TEST_F(endpoint_client_test, KnowsThatNothingWasSentWithoutAConnection)
{
    m_server.stopAccepting();
    const auto seen = start(true);
    await(seen);
    EXPECT_EQ(seen->end->error, http_error::ConnectFailed);
    EXPECT_FALSE(seen->end->maybeSent);
}

// Guards against requests that go on using connections to an address that has gone silent.
TEST_F(endpoint_client_test, ReplacesSilentConnections)
{
    const auto first = start();
    const auto second = start();
    await(first);
    await(second);
    const auto before = m_server.acceptedConnections();
    EXPECT_EQ(before, 2U);
    m_answer = [](const auto &, const auto &) {};
    auto timeouts = never;
    timeouts.firstByte = std::chrono::milliseconds(20);
    const auto silent = start(false, timeouts);
    await(silent);
    EXPECT_EQ(silent->end->error, http_error::FirstByteTimeout);
    EXPECT_TRUE(silent->end->maybeSent);
    m_answer = nullptr;
    const auto next = start();
    await(next);
    EXPECT_FALSE(next->end->error);
    EXPECT_EQ(m_server.acceptedConnections(), before + 1);
}

// Guards against an answer that stops in the middle and is waited for without end.
TEST_F(endpoint_client_test, NoticesThatAnAnswerStops)
{
    m_answer = [](const auto &connection, const auto &) {
        connection->send(chunkedHead(200) + chunk("part"));
    };
    auto timeouts = never;
    timeouts.progress = std::chrono::milliseconds(20);
    const auto seen = start(false, timeouts);
    await(seen);
    EXPECT_EQ(seen->end->error, http_error::ProgressTimeout);
    EXPECT_EQ(seen->body, "part");
}

// Guards against a cut answer that looks whole.
TEST_F(endpoint_client_test, ReportsCutAnswers)
{
    for (const auto &bytes :
         {chunkedHead(200) + chunk("part"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"),
          std::string("HTTP/1.1 200 OK\r\nContent-Le"), std::string("nonsense\r\n\r\n")}) {
        SCOPED_TRACE(bytes);
        m_answer = [&](const auto &connection, const auto &) {
            connection->send(bytes);
            connection->close();
        };
        const auto seen = start();
        await(seen);
        EXPECT_TRUE(seen->end->error);
    }
}

// Guards against an endpoint that is read from while the caller is slow, and against bytes that are
// lost by a pause.
TEST_F(endpoint_client_test, PausesAndResumes)
{
    constexpr std::size_t bodyBytes = 40'000'000;
    std::string body(bodyBytes, 'x');
    for (std::size_t index = 0; index < body.size(); index += 1000)
        body[index] = static_cast<char>('a' + index / 1000 % 26);
    bool sent = false;
    m_answer = [&](const auto &connection, const auto &) {
        connection->sendThen(wholeAnswer(200, body), [&] { sent = true; });
    };
    const auto seen = start();
    ASSERT_TRUE(runUntil(m_context, [&] { return !seen->body.empty(); }));
    seen->transfer->pause();
    const auto atPause = seen->body.size();
    // Other requests keep the loop busy; nothing more may arrive on the paused one meanwhile, and
    // the rest does not fit into the buffers of the operating system.
    for (int count = 0; count < 20; ++count) {
        m_answer = nullptr;
        await(start());
    }
    EXPECT_EQ(seen->body.size(), atPause);
    EXPECT_FALSE(sent);
    seen->transfer->resume();
    await(seen);
    EXPECT_FALSE(seen->end->error);
    EXPECT_EQ(seen->body, body);
}

// Guards against a pause that is forgotten because the transfer had not begun.
TEST_F(endpoint_client_test, PausesBeforeTheStart)
{
    const auto paused = start();
    paused->transfer->pause();
    ASSERT_TRUE(runUntil(m_context, [&] { return paused->head.status == 200; }));
    await(start());
    EXPECT_TRUE(paused->body.empty());
    EXPECT_FALSE(paused->end);
    paused->transfer->resume();
    await(paused);
    EXPECT_EQ(paused->body, "done");
}

// Guards against handlers that run after a cancel, and against a connection that stays open.
TEST_F(endpoint_client_test, CancelsAtOnce)
{
    m_answer = [](const auto &connection, const auto &) {
        connection->send(chunkedHead(200) + chunk("part"));
    };
    const auto seen = start();
    ASSERT_TRUE(runUntil(m_context, [&] { return !seen->body.empty(); }));
    seen->transfer->cancel();
    ASSERT_TRUE(runUntil(m_context, [&] { return m_server.connections().front()->isClosed(); }));
    EXPECT_FALSE(seen->end);
}

} // namespace quetzalcleat::tests
