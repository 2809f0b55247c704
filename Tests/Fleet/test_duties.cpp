#include "control_node_fixture.h"

#include "LibFleet/duty_reporter.h"

#include <set>
#include <utility>

namespace quetzalcleat::fleet::test {

namespace {

/// A call that the platform has received.
struct received_call
{
    std::string holder;
    std::uint64_t generation = 0;
    std::string body; ///< Window and counts, as number_dialect writes them.
};

} // namespace

/// Control nodes with duties, a platform that records their calls, and entry hosts that count
/// requests.
class duties_test : public control_node_test
{
protected:
    struct entry_host
    {
        core::counter_registry counters;
        std::shared_ptr<peer::peer_network> network;
        forward::work_counters work;
        std::shared_ptr<duty_reporter> reporter;
    };

    duties_test()
    {
        m_duties.reportsUsage = true;
        m_duties.leaseTime = 500ms;
        m_duties.usageWindow = 200ms;
        m_duties.requestRate = 200;
        // No window is closed for being late on a slow machine.
        m_duties.usageDelay = 60s;
        asio::ip::tcp::acceptor probe(m_context, {asio::ip::make_address("127.0.3.8"), 0});
        m_platform = {"127.0.3.8", probe.local_endpoint().port()};
        probe.close();
        forward::http_server_options options;
        options.bodyBytes = std::size_t{64} * 1024;
        m_server = std::make_shared<forward::http_server>(
            m_context,
            [this](const forward::http_head &head, std::string body,
                   const forward::http_server::responder &respond) {
                if (head.path() != "/counts") {
                    respond({});
                    return;
                }
                m_calls.push_back({std::string(head.value("Holder")),
                                   forward::parseNumber(head.value("Generation")).value_or(0),
                                   std::move(body)});
                forward::http_response answer;
                answer.status = m_status;
                answer.contentType = m_contentType;
                respond(answer);
            },
            std::move(options));
        EXPECT_TRUE(m_server->start(m_platform));
    }

    ~duties_test() override
    {
        for (auto &[ip, entry] : m_entries) {
            entry.reporter->stop();
            entry.network->stop();
        }
        m_server->stop();
        runFor(20ms);
    }

    void startEntry(const std::string &ip)
    {
        auto &entry = m_entries[ip];
        entry.network = startNetwork(ip, entry.counters, false);
        duty_reporter::handlers handlers;
        handlers.leader = [this] { return leader(); };
        handlers.interval = [] { return 50ms; };
        entry.reporter = duty_reporter::create(entry.network, entry.work, entry.counters,
                                               usageOptions(m_duties), std::move(handlers));
        entry.reporter->start();
        entry.network->start();
    }

    void startAll()
    {
        for (const auto &seed : seeds)
            start(seed);
        startEntry("127.0.3.11");
        startEntry("127.0.3.12");
    }

    /// Counts requests over several windows.
    void run(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            for (auto &[ip, entry] : m_entries) {
                entry.work.recordRun(i % 3 == 0 ? "small" : "large");
                ++m_counted;
            }
            runFor(20ms);
        }
    }

    /// Of all reports; repeats count once.
    std::uint64_t reported() const
    {
        std::set<std::string> bodies;
        std::uint64_t sum = 0;
        for (const auto &call : m_calls) {
            if (!bodies.insert(call.body).second)
                continue;
            for (auto at = call.body.find('='); at != std::string::npos;
                 at = call.body.find('=', at + 1))
                sum += std::stoull(call.body.substr(at + 1));
        }
        return sum;
    }

    /// The rules that hold for all calls, in the order of their arrival.
    void checkCalls() const
    {
        std::map<std::string, std::string> bodies; // By window.
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t newest = 0;
        for (const auto &call : m_calls) {
            const auto window = call.body.substr(0, call.body.find(' '));
            EXPECT_EQ(bodies.emplace(window, call.body).first->second, call.body);
            EXPECT_EQ(holders.emplace(call.generation, call.holder).first->second, call.holder);
            EXPECT_GE(call.generation, newest);
            newest = call.generation;
        }
    }

    std::map<std::string, entry_host> m_entries;
    std::shared_ptr<forward::http_server> m_server;
    std::vector<received_call> m_calls;
    int m_status = 200;
    std::string m_contentType = "text/plain";
    std::uint64_t m_counted = 0;
};

/// Guards against requests that are lost or counted twice on the way to the platform.
TEST_F(duties_test, ReportsEachRequestOnce)
{
    startAll();
    runUntil([&] { return !leader().empty(); });
    run(30);
    runUntil([&] { return reported() >= m_counted; });
    runFor(300ms);
    EXPECT_EQ(reported(), m_counted);
    checkCalls();
    const auto dump = m_hosts.at(leader()).node->dump();
    EXPECT_NE(dump.find("duty name=usage holder=" + leader()), std::string::npos) << dump;
    EXPECT_NE(dump.find("standing=may_act"), std::string::npos) << dump;
}

/// Guards against counts that the next holder changes, and against numbers that are used twice or
/// decrease, if the holder is killed between agreeing on counts and sending them.
TEST_F(duties_test, NextHolderSendsTheAgreedCounts)
{
    startAll();
    runUntil([&] { return !leader().empty(); });
    m_status = 503;
    run(30);
    runUntil([&] { return m_calls.size() >= 2; });
    const auto first = m_calls.front();
    kill(leader());
    m_status = 200;
    runUntil([&] { return !leader().empty() && leader() != first.holder; });
    run(10);
    runUntil([&] { return reported() >= m_counted; });
    EXPECT_EQ(reported(), m_counted);
    checkCalls();
    EXPECT_NE(m_calls.back().holder, first.holder);
    EXPECT_GT(m_calls.back().generation, first.generation);
}

/// Guards against a report that counts as delivered although the platform's answer was broken.
TEST_F(duties_test, BrokenAnswerIsNoDelivery)
{
    startAll();
    runUntil([&] { return !leader().empty(); });
    m_contentType = "text/plain\r\nX Broken: 1";
    run(30);
    runUntil([&] { return m_calls.size() >= 3; });
    for (const auto &call : m_calls)
        EXPECT_EQ(call.body, m_calls.front().body) << "another window was sent";
    EXPECT_GE(
        m_hosts.at(leader()).counters.counter("answers_broken_total", "reason=\"field_line\""), 1U);
    m_contentType = "text/plain";
    runUntil([&] { return reported() >= m_counted; });
    EXPECT_EQ(reported(), m_counted);
    checkCalls();
}

/// Guards against traces of duties in a deployment whose settings do not name them.
TEST_F(duties_test, NothingHappensWithoutDuties)
{
    m_duties.reportsUsage = false;
    for (const auto &seed : seeds)
        start(seed);
    runUntil([&] { return !leader().empty(); });
    runFor(1s);
    EXPECT_TRUE(m_calls.empty());
    EXPECT_EQ(m_hosts.at(leader()).node->dump().find("duty"), std::string::npos);
}

} // namespace quetzalcleat::fleet::test
