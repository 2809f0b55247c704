#pragma once

#include "LibCore/hash.h"
#include "LibFleet/control_node.h"
#include "number_dialect.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace quetzalcleat::fleet::test {

using namespace std::chrono_literals;

/// Control nodes on loopback addresses, with operators that call them over HTTP.
class control_node_test : public testing::Test
{
protected:
    struct host
    {
        core::counter_registry counters;
        std::shared_ptr<peer::peer_network> network;
        std::shared_ptr<control_node<number_dialect>> node;
    };

    /// A call in progress or with its answer.
    struct call
    {
        int status = 0; ///< 0 until the answer is whole, -1 if there is none.
        std::string location;
        std::shared_ptr<forward::attempt> attempt;
        std::shared_ptr<forward::connection_pool> pool;
    };

    ~control_node_test() override
    {
        while (!m_hosts.empty())
            kill(m_hosts.begin()->first);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    void start(const std::string &ip)
    {
        auto &started = m_hosts[ip];
        node_settings settings;
        settings.seeds = seeds;
        settings.hostName = ip;
        settings.ip = ip;
        settings.controlAddress = core::socket_address{ip, port(m_controlPort)};
        settings.peerPort = port(m_peerPort);
        settings.bootstrapsCluster = true;
        settings.duties = m_duties;
        settings.endpointListAddress = m_platform;
        settings.dataFolder = m_folder / ip;
        std::filesystem::create_directories(settings.dataFolder);
        started.network = startNetwork(ip, started.counters, true);
        auto node = control_node<number_dialect>::create(m_context, started.network,
                                                         started.counters, m_log, settings);
        ASSERT_TRUE(node) << node.error().message();
        started.node = std::move(node).value();
        ASSERT_TRUE(started.node->start());
        started.network->start();
    }

    std::shared_ptr<peer::peer_network> startNetwork(const std::string &ip,
                                                     core::counter_registry &counters, bool control)
    {
        peer::peer_network_options network;
        network.identity = {"fleet", ip, ++m_incarnation, {"key number one, 16+ bytes"}};
        network.control = control;
        network.address = {ip, port(m_peerPort)};
        network.commonPort = m_peerPort;
        for (const auto &seed : seeds) {
            if (seed != ip)
                network.peers.push_back({seed, {}, {seed, m_peerPort}, true});
        }
        auto created = peer::peer_network::create(m_context, counters, std::move(network));
        EXPECT_TRUE(created) << created.error().message();
        return std::move(created).value();
    }

    /// Ends a host without any notice to the others.
    void kill(const std::string &ip)
    {
        auto &ended = m_hosts.at(ip);
        ended.network->stop();
        ended.node->stop();
        runFor(20ms);
        m_hosts.erase(ip);
    }

    std::shared_ptr<call> send(const std::string &ip, const std::string &method,
                               const std::string &body)
    {
        auto result = std::make_shared<call>();
        // Each call on a connection of its own.
        result->pool
            = std::make_shared<forward::connection_pool>(m_context, forward::upstream_options());
        forward::attempt::request content;
        content.address = {ip, m_controlPort};
        content.key = ip;
        content.text = method + " /configuration HTTP/1.1\r\nHost: control\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        forward::attempt::handlers handlers;
        handlers.head = [result](const forward::http_head &head) {
            result->location = head.value("Location");
            result->status = -head.status;
        };
        handlers.body = [](const std::string &) {};
        handlers.ended = [result](const forward::attempt::ending &ending) {
            result->status = ending.error ? -1 : -result->status;
        };
        result->attempt
            = forward::attempt::start(result->pool, std::move(content), std::move(handlers));
        return result;
    }

    /// The status of a call, and of the one that it is redirected to.
    int statusOf(std::shared_ptr<call> pending, const std::string &method, const std::string &body)
    {
        runUntil([&] { return pending->status > 0 || pending->status == -1; });
        if (pending->status != 307)
            return pending->status;
        const auto start = std::string("http://").size();
        const auto leader
            = pending->location.substr(start, pending->location.find(':', start) - start);
        pending = send(leader, method, body);
        runUntil([&] { return pending->status > 0 || pending->status == -1; });
        return pending->status;
    }

    /// Writes until a leader has accepted it, as operators do.
    void write(const std::string &version)
    {
        int status = 0;
        while (status != 200) {
            status = statusOf(send(m_hosts.begin()->first, "PUT", version), "PUT", version);
            runFor(20ms);
        }
    }

    std::string leader()
    {
        for (const auto &[ip, host] : m_hosts) {
            if (host.node->dump().find("confirmed=yes") != std::string::npos)
                return ip;
        }
        return {};
    }

    bool knowsLeader(const std::string &ip)
    {
        return m_hosts.at(ip).node->dump().find("leader= ") == std::string::npos;
    }

    /// The limit only ends a test that hangs.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + 60s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.restart();
            m_context.run_one_for(20ms);
        }
        ASSERT_TRUE(condition());
    }

    void runFor(std::chrono::milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    inline static const std::vector<std::string> seeds{"127.0.3.1", "127.0.3.2", "127.0.3.3"};
    asio::io_context m_context;
    std::map<std::string, host> m_hosts;
    forward::event_log m_log{"test", 2};
    node_settings::duty_settings m_duties; ///< Of the hosts that start next.
    core::socket_address m_platform; ///< That they call; none by default.

private:
    std::uint16_t port(std::uint16_t &chosen)
    {
        if (chosen == 0) {
            asio::ip::tcp::acceptor probe(m_context, {asio::ip::make_address(seeds.front()), 0});
            chosen = probe.local_endpoint().port();
        }
        return chosen;
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("quetzalcleat-control-" + core::sha256Hex(core::secureRandomBytes(16)).substr(0, 16));
    std::uint16_t m_peerPort = 0;
    std::uint16_t m_controlPort = 0;
    std::uint64_t m_incarnation = 0;
};

} // namespace quetzalcleat::fleet::test
