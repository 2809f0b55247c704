#include "LibCore/hash.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/control_client.h"
#include "LibPeer/peer_error.h"
#include "LibPeer/peer_network.h"
#include "event_loop.h"
#include "quetzalcleat-relay/tcp_relay.h"

#include <gtest/gtest.h>

#include <asio/ip/address.hpp>
#include <asio/write.hpp>

namespace core = quetzalcleat::core;
namespace peer = quetzalcleat::peer;
namespace relay = quetzalcleat::relay;
using peer::test::runFor;
using peer::test::runUntil;
using std::chrono::milliseconds;

namespace {

const std::vector<std::string> oneKey{"key number one, 16+ bytes"};

asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// Host `a` reaches host `b` through a relay; `b` does not know the address of `a`.
class two_hosts : public testing::Test
{
protected:
    std::shared_ptr<peer::peer_network> makeHost(const std::string &name,
                                                 std::vector<std::string> keys,
                                                 std::vector<core::peer_settings> peers = {})
    {
        peer::peer_network_options options;
        options.identity = {"cluster", name, 1, std::move(keys)};
        options.address = {"127.0.0.1", 0};
        options.peers = std::move(peers);
        options.connection = connectionOptions;
        options.idleTime = idleTime;
        auto network = peer::peer_network::create(context, counters, options);
        EXPECT_TRUE(network);
        network.value()->addReceiver(
            [this, name](const std::string &from, const peer::message &content) {
                received[name].emplace_back(from, content);
            });
        network.value()->start();
        return network.value();
    }

    void start(std::vector<std::string> keysOfA, std::vector<std::string> keysOfB)
    {
        b = makeHost("b", std::move(keysOfB));
        link = relay::tcp_relay::create(context, 0, loopback(b->port()));
        ASSERT_TRUE(link);
        a = makeHost("a", std::move(keysOfA), {{"b", "dc", {"127.0.0.1", link->port()}, false}});
    }

    void TearDown() override
    {
        for (const auto &network : {a, b}) {
            if (network)
                network->stop();
        }
        if (link)
            link->stop();
        runFor(context, milliseconds(50));
    }

    std::uint64_t opened() { return counters.counter("peer_connections_opened_total"); }
    bool connected() { return a->isConnected("b") && b->isConnected("a"); }

    std::string closeReasonLabel(peer::peer_error error)
    {
        return "reason=\"" + make_error_code(error).message() + '"';
    }

    asio::io_context context;
    core::counter_registry counters;
    peer::connection_options connectionOptions;
    milliseconds idleTime{60'000};
    std::shared_ptr<peer::peer_network> a, b;
    std::shared_ptr<relay::tcp_relay> link;
    std::map<std::string, std::vector<std::pair<std::string, peer::message>>> received;
};

} // namespace

// Guards against messages that are lost, reordered or attributed to another host, and against a
// host that cannot answer a peer whose address it does not know.
TEST_F(two_hosts, ExchangeMessagesInOrder)
{
    start(oneKey, oneKey);
    for (std::uint64_t revision = 1; revision <= 50; ++revision)
        ASSERT_TRUE(a->send("b", peer::subscribe{revision, true}));
    ASSERT_TRUE(runUntil(context, [&] { return received["b"].size() == 50; }));
    for (std::uint64_t revision = 1; revision <= 50; ++revision) {
        EXPECT_EQ(received["b"][revision - 1].first, "a");
        EXPECT_EQ(received["b"][revision - 1].second,
                  peer::message(peer::subscribe{revision, true}));
    }
    ASSERT_TRUE(b->send("a", peer::join{7, {}}));
    EXPECT_TRUE(runUntil(context, [&] { return received["a"].size() == 1; }));
}

// Guards against a later process of a host that registers while an earlier one is suspended and may
// still act on a permission: the earlier one holds the address, whether it runs or not.
TEST_F(two_hosts, LaterProcessCannotStartBesideAnEarlierOne)
{
    start(oneKey, oneKey);
    peer::peer_network_options options;
    options.identity = {"cluster", "b", 2, oneKey};
    options.address = {"127.0.0.1", b->port()};
    const auto later = peer::peer_network::create(context, counters, options);
    ASSERT_FALSE(later);
    EXPECT_EQ(later.error(), peer::peer_error::ListenFailed);
}

// Guards against a document above the size of a frame that cannot be sent, or arrives damaged.
TEST_F(two_hosts, LargeMessagesTravelInFragments)
{
    start(oneKey, oneKey);
    peer::configuration_update update;
    update.configuration.document.assign(3'000'000, 'x');
    update.configuration.document[1'234'567] = 'y';
    ASSERT_TRUE(a->send("b", update));
    ASSERT_TRUE(a->send("b", peer::join{1, {}}));
    ASSERT_TRUE(runUntil(context, [&] { return received["b"].size() == 2; }));
    EXPECT_TRUE(received["b"][0].second == peer::message(update));

    update.configuration.document.assign(17 * 1024 * 1024, 'x');
    EXPECT_EQ(a->send("b", update).error(), peer::peer_error::MessageTooLarge);
}

// Guards against a queue that grows without bound towards a peer that does not read.
TEST_F(two_hosts, SendQueueIsBounded)
{
    start(oneKey, oneKey);
    ASSERT_TRUE(a->send("b", peer::join{1, {}}));
    ASSERT_TRUE(runUntil(context, [&] { return connected(); }));
    link->setCut(relay::direction::Forward, true);
    const peer::propose large{1, false, std::string(200'000, 'x')};
    std::error_code error;
    for (int count = 0; count < 1000 && !error; ++count)
        error = a->send("b", large).error();
    EXPECT_EQ(error, peer::peer_error::SendQueueFull);
}

class cut_link : public two_hosts, public testing::WithParamInterface<relay::direction>
{
};

// Guards against a one-way cut that one of the sides does not notice, so that it keeps using a
// connection on which nothing arrives; and against a link that is not restored after the cut.
TEST_P(cut_link, IsNoticedOnBothSidesAndReplaced)
{
    start(oneKey, oneKey);
    a->keepConnected("b", true);
    ASSERT_TRUE(runUntil(context, [&] { return connected(); }));
    runFor(context, milliseconds(1200));
    ASSERT_TRUE(connected());
    link->setCut(GetParam(), true);
    EXPECT_TRUE(runUntil(context, [&] { return !a->isConnected("b") && !b->isConnected("a"); }));
    EXPECT_GE(counters.counter("peer_connections_closed_total",
                               closeReasonLabel(peer::peer_error::HeartbeatTimeout)),
              1U);
    link->setCut(GetParam(), false);
    EXPECT_TRUE(runUntil(context, [&] { return connected(); }));
}

INSTANTIATE_TEST_SUITE_P(Directions, cut_link,
                         testing::Values(relay::direction::Forward, relay::direction::Backward));

// Guards against an open connection that goes silent for ever and is never replaced although new
// ones work.
TEST_F(two_hosts, SilentConnectionIsReplaced)
{
    start(oneKey, oneKey);
    a->keepConnected("b", true);
    ASSERT_TRUE(runUntil(context, [&] { return connected(); }));
    const auto before = opened();
    link->silenceOpenConnections();
    ASSERT_TRUE(runUntil(context, [&] { return opened() >= before + 2 && connected(); }));
    ASSERT_TRUE(a->send("b", peer::join{5, {}}));
    EXPECT_TRUE(runUntil(context, [&] { return !received["b"].empty(); }));
}

// Guards against a delay below the silence timeout that closes the connection.
TEST_F(two_hosts, DelayedConnectionStaysOpen)
{
    start(oneKey, oneKey);
    link->setDelay(milliseconds(100));
    a->keepConnected("b", true);
    ASSERT_TRUE(runUntil(context, [&] { return connected(); }));
    const auto before = opened();
    runFor(context, milliseconds(3000));
    EXPECT_EQ(opened(), before);
    EXPECT_TRUE(connected());
}

// Guards against a host without a valid key that is accepted, or that keeps others out.
TEST_F(two_hosts, HostWithoutValidKeyIsRefused)
{
    start({"another key of 16+ bytes"}, oneKey);
    a->keepConnected("b", true);
    ASSERT_TRUE(runUntil(context, [&] {
        return counters.counter("peer_connections_closed_total",
                                closeReasonLabel(peer::peer_error::AuthenticationFailed))
            >= 2;
    }));
    EXPECT_EQ(opened(), 0U);
    EXPECT_TRUE(received["b"].empty());
}

// Guards against hosts that cannot connect while a second key is introduced on one of them first.
TEST_F(two_hosts, HostsWithDifferentFirstKeysConnect)
{
    start({"key number two, 16+ bytes", oneKey[0]}, {oneKey[0], "key number two, 16+ bytes"});
    ASSERT_TRUE(a->send("b", peer::join{1, {}}));
    EXPECT_TRUE(runUntil(context, [&] { return !received["b"].empty(); }));
}

// Guards against an unused connection that is kept for ever; 410 hosts must not stay fully meshed.
TEST_F(two_hosts, UnusedConnectionIsClosedAndReopened)
{
    idleTime = milliseconds(100);
    start(oneKey, oneKey);
    ASSERT_TRUE(a->send("b", peer::join{1, {}}));
    ASSERT_TRUE(runUntil(context, [&] { return !received["b"].empty(); }));
    ASSERT_TRUE(runUntil(context, [&] { return !connected(); }));
    ASSERT_TRUE(a->send("b", peer::join{2, {}}));
    EXPECT_TRUE(runUntil(context, [&] { return received["b"].size() == 2; }));
}

// Guards against an unauthenticated client whose bytes crash the process, hold a connection open
// without a handshake, or disturb the others.
TEST_F(two_hosts, HostileBytesOnlyCloseTheirConnection)
{
    connectionOptions.handshakeTimeout = milliseconds(300);
    start(oneKey, oneKey);
    std::vector<asio::ip::tcp::socket> sockets;
    const std::vector<std::string> inputs{
        std::string("\x7f\xff\xff\xff", 4), std::string("\x00\x00\x00\x03\x01\xc1\xc1", 7),
        std::string("\x00\x00\x00\x05\x02\x00\x00\x00\x00", 9), "GET / HTTP/1.1\r\n\r\n", ""};
    for (const auto &input : inputs) {
        sockets.emplace_back(context);
        sockets.back().connect(loopback(b->port()));
        asio::write(sockets.back(), asio::buffer(input));
    }
    std::size_t closed = 0;
    std::array<char, 1> byte{};
    for (auto &socket : sockets) {
        socket.async_read_some(asio::buffer(byte), [&](std::error_code error, std::size_t /*n*/) {
            closed += error ? 1 : 0;
        });
    }
    EXPECT_TRUE(runUntil(context, [&] { return closed == inputs.size(); }));
    ASSERT_TRUE(a->send("b", peer::join{1, {}}));
    EXPECT_TRUE(runUntil(context, [&] { return !received["b"].empty(); }));
}

// Guards against a verdict for an earlier process of a host that arrives late and is taken by the
// next one: the booking of one caller would be sent under the claim of another.
TEST_F(two_hosts, LateVerdictForAnEarlierProcessIsNotTaken)
{
    std::vector<peer::propose> proposals;
    const auto takeProposals = [&] {
        for (auto &[from, content] : received["b"]) {
            if (const auto *proposal = std::get_if<peer::propose>(&content))
                proposals.push_back(*proposal);
        }
        received["b"].clear();
    };
    std::vector<std::uint64_t> idsOfFirst;
    for (const int process : {1, 2}) {
        b = makeHost("b", oneKey);
        link = relay::tcp_relay::create(context, 0, loopback(b->port()));
        a = makeHost("a", oneKey, {{"b", "dc", {"127.0.0.1", link->port()}, true}});
        const auto client
            = peer::control_client::create(a, std::make_shared<peer::configuration_feed>());
        client->start();
        std::optional<core::result<quetzalcleat::state::claim_verdict>> verdict;
        client->claim({{{"caller", "key"}, "attempt", "a", 1}, "hash"}, milliseconds(5000),
                      [&](auto result) { verdict = result; });
        proposals.clear();
        ASSERT_TRUE(runUntil(context, [&] {
            takeProposals();
            return proposals.size() >= 2;
        }));
        if (process == 1) {
            for (const auto &proposal : proposals)
                idsOfFirst.push_back(proposal.proposalId);
        } else {
            for (const auto id : idsOfFirst) {
                quetzalcleat::state::command_result granted;
                granted.verdict = quetzalcleat::state::claim_verdict{
                    quetzalcleat::state::claim_verdict_kind::Granted, {}};
                ASSERT_TRUE(b->send("a", peer::makeProposeResult(id, granted)));
            }
            runFor(context, milliseconds(300));
            EXPECT_FALSE(verdict.has_value());
        }
        client->stop();
        TearDown();
        a.reset();
        b.reset();
        link.reset();
    }
}
