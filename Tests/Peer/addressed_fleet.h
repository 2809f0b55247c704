#pragma once

#include "LibCore/hash.h"
#include "LibCore/time.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/configuration_lease.h"
#include "LibPeer/configuration_publisher.h"
#include "LibPeer/configuration_writer.h"
#include "LibPeer/control_service.h"
#include "LibPeer/endpoint_catalogue.h"
#include "LibPeer/peer_network.h"
#include "event_loop.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace quetzalcleat::peer::test {

/// Hosts that are named by their loopback address, as in a fleet without a list of peers. Control
/// hosts find each other through seeds. The text of a document begins with its version.
class addressed_fleet : public testing::Test
{
public:
    struct control_host
    {
        core::counter_registry counters;
        std::shared_ptr<peer_network> network;
        std::shared_ptr<configuration_feed> feed;
        std::shared_ptr<configuration_publisher> publisher;
        std::shared_ptr<control_service> service;
        std::shared_ptr<configuration_writer> writer;
        std::shared_ptr<endpoint_catalogue> catalogue; ///< Names one endpoint.
    };

    struct entry_host
    {
        core::counter_registry counters;
        std::shared_ptr<peer_network> network;
        std::shared_ptr<configuration_lease> lease;
        std::vector<std::uint64_t> versions; ///< In the order in which they came into force.
    };

    ~addressed_fleet() override
    {
        for (auto &[ip, host] : entries) {
            host.lease->stop();
            host.network->stop();
        }
        while (!controls.empty())
            stopControl(controls.begin()->first);
        runFor(context, std::chrono::milliseconds(50));
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    void startControl(const std::string &ip, bool firstStart)
    {
        startControl(ip, firstStart, seeds);
    }

    /// A control host whose settings name other seeds than those of the fleet.
    void startControl(const std::string &ip, bool firstStart,
                      const std::vector<std::string> &ownSeeds)
    {
        auto &host = controls[ip];
        host.network = startNetwork(ip, host.counters, true, ownSeeds);
        host.feed = std::make_shared<configuration_feed>();
        host.publisher = configuration_publisher::create(host.network, host.feed);
        control_service_options options;
        options.dataFolder = m_folder / ip;
        std::filesystem::create_directories(options.dataFolder);
        options.initialiseCluster
            = firstStart && std::find(seeds.begin(), seeds.end(), ip) != seeds.end();
        options.minimumVoters = 3;
        options.rejoinWithoutLeader = true;
        options.electionTimeout = std::chrono::milliseconds(600);
        options.heartbeatInterval = std::chrono::milliseconds(120);
        options.now = clockOf(ip);
        auto service = control_service::create(host.network, host.feed, host.publisher, options);
        ASSERT_TRUE(service) << service.error().message();
        host.service = std::move(service).value();
        host.catalogue = std::make_shared<endpoint_catalogue>(host.network->incarnation());
        host.catalogue->update({{"i1", "s", "10.0.0.1", 80, "dc", 6, false}}, options.now());
        host.service->setCatalogue(host.catalogue);
        host.writer = configuration_writer::create(
            host.network, host.service, 3, [](const std::string &document) {
                return static_cast<std::uint64_t>(std::stoull(document));
            });
        host.service->start();
        host.network->start();
    }

    void stopControl(const std::string &ip)
    {
        auto &host = controls.at(ip);
        host.writer->stop();
        host.service->stop();
        host.publisher->stop();
        host.network->stop();
        runFor(context, std::chrono::milliseconds(20));
        controls.erase(ip);
    }

    std::uintmax_t dataBytes(const std::string &ip) const
    {
        std::uintmax_t bytes = 0;
        for (const auto &entry : std::filesystem::directory_iterator(m_folder / ip))
            bytes += entry.is_regular_file() ? entry.file_size() : 0;
        return bytes;
    }

    void removeData(const std::string &ip) { std::filesystem::remove_all(m_folder / ip); }

    void startEntry(const std::string &ip, configuration_lease_options options = {})
    {
        options.now = clockOf(ip);
        auto &host = entries[ip];
        host.network = startNetwork(ip, host.counters, false, seeds);
        configuration_lease::handlers handlers;
        handlers.changed = [&host](const state::configuration &newest) {
            host.versions.push_back(std::stoull(newest.document));
        };
        host.lease = configuration_lease::create(host.network, seeds, options, std::move(handlers));
        host.lease->start();
        host.network->start();
    }

    /// The host that leads with a valid lease; empty if none.
    std::string leader()
    {
        for (auto &[ip, host] : controls) {
            if (host.service->confirmedConfiguration())
                return ip;
        }
        return {};
    }

    std::string waitForLeader()
    {
        EXPECT_TRUE(until([this] { return !leader().empty(); }));
        return leader();
    }

    /// Sends a version to the leader until the outcome is known, as operators do. The document ends
    /// with this many bytes that have no meaning.
    write_outcome write(std::uint64_t version, std::size_t padding = 0)
    {
        for (;;) {
            const auto at = waitForLeader();
            if (at.empty())
                return write_outcome::Undecided;
            std::optional<write_outcome> outcome;
            controls.at(at).writer->write(std::to_string(version) + std::string(padding, ' '),
                                          version, [&](write_outcome result) { outcome = result; });
            EXPECT_TRUE(until([&] { return outcome.has_value(); }));
            if (outcome == write_outcome::Accepted || outcome == write_outcome::NotNewer)
                return *outcome;
            runFor(context, std::chrono::milliseconds(50));
        }
    }

    std::uint64_t newestVersion()
    {
        const auto at = waitForLeader();
        const auto newest = controls.at(at).service->confirmedConfiguration();
        return newest && !newest->document.empty() ? std::stoull(newest->document) : 0;
    }

    /// Whether exactly these hosts are voters in the committed membership of the leader.
    bool votersAre(std::vector<std::string> expected)
    {
        const auto at = leader();
        if (at.empty())
            return false;
        auto voters = controls.at(at).service->voterHosts();
        std::sort(voters.begin(), voters.end());
        std::sort(expected.begin(), expected.end());
        return voters == expected;
    }

    bool until(const std::function<bool()> &condition) { return runUntil(context, condition); }

    /// The clock of a host runs on by this much, as if its machine had been suspended that long.
    void suspend(const std::string &ip, std::chrono::milliseconds time) { m_suspended[ip] += time; }

    asio::io_context context;
    std::vector<std::string> seeds{"127.0.1.1", "127.0.1.2", "127.0.1.3"};
    std::map<std::string, control_host> controls;
    std::map<std::string, entry_host> entries;

private:
    core::time_source clockOf(const std::string &ip)
    {
        return [&suspended = m_suspended[ip]] { return core::suspendAwareNow() + suspended; };
    }

    std::shared_ptr<peer_network> startNetwork(const std::string &ip,
                                               core::counter_registry &counters, bool control,
                                               const std::vector<std::string> &peers)
    {
        if (m_port == 0) {
            asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.1.1"), 0});
            m_port = probe.local_endpoint().port();
        }
        peer_network_options options;
        options.identity = {"fleet", ip, ++m_incarnation, {"key number one, 16+ bytes"}};
        options.control = control;
        options.address = {ip, m_port};
        options.commonPort = m_port;
        for (const auto &seed : peers) {
            if (seed != ip)
                options.peers.push_back({seed, {}, {seed, m_port}, true});
        }
        auto network = peer_network::create(context, counters, options);
        EXPECT_TRUE(network) << network.error().message();
        return std::move(network).value();
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("quetzalcleat-fleet-" + core::sha256Hex(core::secureRandomBytes(16)).substr(0, 16));
    std::map<std::string, std::chrono::milliseconds> m_suspended; ///< By address.
    std::uint16_t m_port = 0;
    std::uint64_t m_incarnation = 0;
};

} // namespace quetzalcleat::peer::test
