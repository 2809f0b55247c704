#include "LibForward/arriving_body.h"
#include "LibForward/http_server.h"
#include "LibForward/part_history.h"
#include "forwarder_fixture.h"

#include <string>
#include <vector>

namespace quetzalcleat::forward::test {

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

std::string head(const std::string &target, std::size_t length, const std::string &headers = {})
{
    return "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n" + headers
        + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

/// A forwarder whose budget holds two bodies of the largest size.
class caller_limits_test : public forwarder_test
{
protected:
    void SetUp() override
    {
        m_memory = std::make_shared<policy::memory_budget>(2 * bodyBytes + bodyBytes / 2);
        auto content = defaultConfiguration();
        content.limits.bodyBytes = bodyBytes;
        start(std::move(content));
    }

    std::uint64_t held(policy::memory_kind kind)
    {
        std::uint64_t bytes = 0;
        inLoop([&] { bytes = m_memory->used(kind); });
        return bytes;
    }

    std::uint64_t peak()
    {
        std::uint64_t bytes = 0;
        inLoop([&] { bytes = m_memory->peak(); });
        return bytes;
    }

    /// Whether one request with a body of the largest size is served.
    void expectServed()
    {
        const std::string body(bodyBytes, 'b');
        auto caller = scripted_socket::connectTo(m_port);
        std::thread sender([&] { caller.send(head("/read/a", body.size()) + body); });
        auto endpoint = acceptAny();
        EXPECT_TRUE(endpoint.readMessage().ends_with(body));
        endpoint.send(signedResponse("done"));
        const auto answer = caller.readMessage();
        EXPECT_TRUE(answer.ends_with("done")) << answer;
        sender.join();
    }

    static constexpr std::size_t bodyBytes = mebibyte;
};

/// Load: a crowd of callers whose bodies stop one byte short of the end. Guards against a process
/// that ends at its memory limit, and against refusing everybody else.
TEST_F(caller_limits_test, UnfinishedBodiesMakeRoomForAnOrdinaryRequest)
{
    constexpr std::size_t callers = 5;
    const std::string part(bodyBytes - 1, 'b');
    std::vector<scripted_socket> crowd;
    for (std::size_t index = 0; index < callers; ++index) {
        crowd.push_back(scripted_socket::connectTo(m_port));
        crowd.back().send(head("/read/a", bodyBytes) + part);
    }
    // Until all of them are slow or refused. Before, they are older than the ordinary request.
    std::this_thread::sleep_for(std::chrono::milliseconds(3500));
    expectServed();
    EXPECT_LE(peak(), m_memory->bound() + bodyBytes / 4);
    crowd.clear();
    for (int tries = 0; tries < 100 && held(policy::memory_kind::Body) > 0; ++tries)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_EQ(held(policy::memory_kind::Body), 0U);
}

/// Guards against the buffer of a refused body that stays while its connection closes: the memory
/// counts as free and is given to others.
TEST_F(caller_limits_test, BodyThatIsResetHoldsNoMemory)
{
    http_head begun;
    begun.method = "POST";
    begun.target = "/read/a";
    begun.headers = {{"Host", "a.example"}, {"Content-Length", std::to_string(bodyBytes)}};
    std::size_t reserved = 0;
    std::size_t kept = 0;
    inLoop([&] {
        arriving_body body(*m_forwarder);
        EXPECT_EQ(body.begin(begun, std::chrono::steady_clock::now()),
                  arriving_body::check_result::Continue);
        body.charge(body.wantedBytes(0));
        reserved = body.bytes().capacity();
        body.reset();
        kept = body.bytes().capacity();
    });
    EXPECT_GE(reserved, bodyBytes);
    EXPECT_EQ(kept, std::string().capacity());
    EXPECT_EQ(held(policy::memory_kind::Body), 0U);
}

/// Guards against bodies in memory that no endpoint will get: without a route, or with a wrong key.
TEST_F(caller_limits_test, BodiesWithoutRouteOrKeyAreNotStored)
{
    const std::string part(bodyBytes - 1, 'b');
    for (const auto &[target, status] :
         {std::pair("/none/a", "HTTP/1.1 404"), std::pair("/keyed/a", "HTTP/1.1 401")}) {
        auto large = scripted_socket::connectTo(m_port);
        large.send(head(target, bodyBytes));
        EXPECT_TRUE(large.readMessage().starts_with(status));
        auto asking = scripted_socket::connectTo(m_port);
        asking.send(head(target, 10, "Expect: 100-continue\r\n"));
        EXPECT_TRUE(asking.readMessage().starts_with(status));
        // Its connection can be used again.
        auto small = call("POST", target, {}, std::string(20'000, 'b'));
        EXPECT_TRUE(small.readMessage().starts_with(status));
        small.send(request("POST", target, {}, std::string(20'000, 'b')));
        EXPECT_TRUE(small.readMessage().starts_with(status));
    }
    EXPECT_LT(peak(), bodyBytes / 4);
    EXPECT_FALSE(anyConnection(std::chrono::milliseconds(0)));
}

/// Guards against a 404 or 401 by a host whose configuration may be outdated, and against keeping
/// large bodies meanwhile.
TEST_F(caller_limits_test, UnconfirmedHostDoesNotStoreLargeBodies)
{
    m_confirmationAge = 60'000;
    for (const auto *target : {"/none/a", "/keyed/a"}) {
        auto caller = scripted_socket::connectTo(m_port);
        caller.send(head(target, bodyBytes, "Authorization: Bearer secret\r\n"));
        EXPECT_TRUE(caller.readMessage().starts_with("HTTP/1.1 503"));
    }
    // Public routes need no confirmation.
    expectServed();
}

/// Guards against heads of very many short fields, each of which takes far more than its text.
TEST_F(caller_limits_test, RefusesHeadsOfVeryManyFields)
{
    std::string fields;
    for (int index = 0; index < 400; ++index)
        fields += "a:b\r\n";
    EXPECT_TRUE(call("GET", "/read/a", fields).readMessage().starts_with("HTTP/1.1 431"));
}

/// A host that has descriptors for three callers.
class full_host_test : public forwarder_test
{
protected:
    void SetUp() override
    {
        m_maximumSessions = 3;
        start(defaultConfiguration());
    }
};

/// Guards against new callers that are refused while idle connections of others are kept.
TEST_F(full_host_test, OldestIdleConnectionMakesRoomForANewOne)
{
    std::vector<scripted_socket> idle;
    for (std::size_t index = 0; index < m_maximumSessions; ++index) {
        idle.push_back(call("GET", "/none/a"));
        EXPECT_TRUE(idle.back().readMessage().starts_with("HTTP/1.1 404"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    EXPECT_TRUE(call("GET", "/none/a").readMessage().starts_with("HTTP/1.1 404"));
    EXPECT_TRUE(idle.front().waitForClose());
    idle.back().send(request("GET", "/none/a"));
    EXPECT_TRUE(idle.back().readMessage().starts_with("HTTP/1.1 404"));
}

/// A small server with the limits of the control address, lowered.
class small_server_test : public forwarder_test
{
protected:
    void SetUp() override
    {
        start(defaultConfiguration());
        http_server_options options;
        options.bodyBytes = 100'000;
        options.heldBytes = 250'000;
        options.sessions = 8;
        m_server = std::make_shared<http_server>(
            m_context,
            [](const http_head &, std::string body, const http_server::responder &respond) {
                respond({200, "text/plain", {}, std::move(body)});
            },
            options);
        inLoop([&] { EXPECT_TRUE(m_server->start({"127.0.0.1", 0})); });
    }

    void TearDown() override
    {
        inLoop([&] { m_server->stop(); });
        forwarder_test::TearDown();
    }

    std::shared_ptr<http_server> m_server;
};

/// Load: more connections with unfinished bodies than the server has. Guards against a server that
/// stops answering, and against bodies over the limit that are read.
TEST_F(small_server_test, UnfinishedBodiesMakeRoom)
{
    EXPECT_TRUE([&] {
        auto large = scripted_socket::connectTo(m_server->port());
        large.send(head("/", 100'001));
        return large.readMessage();
    }()
                    .starts_with("HTTP/1.1 413"));
    const std::string body(100'000, 'b');
    std::vector<scripted_socket> crowd;
    for (int index = 0; index < 12; ++index) {
        crowd.push_back(scripted_socket::connectTo(m_server->port()));
        crowd.back().send(head("/", body.size()) + body.substr(1));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    auto caller = scripted_socket::connectTo(m_server->port());
    caller.send(head("/", body.size()) + body);
    EXPECT_TRUE(caller.readMessage().ends_with(body));
}

/// Load: for hours, requests that each name parts of their own, and one that names very many.
/// Guards against a table of parts that grows without end, and that forgets the newest ones.
TEST(part_history, KeepsOnlyWhatCachesHold)
{
    part_history history;
    core::instant now{std::chrono::hours(1)};
    std::uint64_t part = 0;
    for (; part < 10 * part_history::maximumParts; ++part) {
        history.record(part, now);
        now += std::chrono::milliseconds(1);
    }
    EXPECT_LE(history.size(), part_history::maximumParts);
    EXPECT_GE(history.size(), part_history::maximumParts / 2);
    EXPECT_NE(history.find(part - part_history::maximumParts / 2), history.end());
    for (std::uint64_t own = 0; own < 2 * part_history::maximumParts; ++own)
        history.record(part + own, now);
    EXPECT_LE(history.size(), part_history::maximumParts);
    history.record(1, now + 2 * part_history::retention);
    EXPECT_EQ(history.size(), 1U);
}

} // namespace quetzalcleat::forward::test
