#pragma once

#include "LibCore/hash.h"
#include "LibCore/time.h"
#include "LibPeer/control_runtime.h"
#include "event_loop.h"
#include "quetzalcleat-relay/tcp_relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/ip/address.hpp>

namespace quetzalcleat::peer::test {

/// Control and entry hosts in one process, on one event loop. Each host reaches each other one
/// through a relay of its own, so that every link can be cut.
class test_cluster : public testing::Test
{
public:
    struct host
    {
        core::settings settings;
        core::counter_registry counters;
        std::unique_ptr<control_runtime> runtime;
        std::vector<std::uint64_t> revisions; ///< Passed to the callback in this incarnation.
        /// The clock of the client runs on by this much, as if the machine had been suspended.
        std::chrono::milliseconds suspended{0};
    };

    ~test_cluster() override
    {
        for (auto &[name, host] : hosts)
            stopHost(name);
        for (auto &[link, relay] : m_relays)
            relay->stop();
        runFor(context, std::chrono::milliseconds(50));
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    /// Control hosts `c1` to `c3` and entry hosts `e1` to `e4`; `e3` and `e4` share a data centre
    /// without a control host.
    void startAll()
    {
        const std::vector<std::pair<std::string, std::string>> dataCentres{
            {"c1", "one"}, {"c2", "two"},  {"c3", "three"}, {"e1", "one"},
            {"e2", "two"}, {"e3", "four"}, {"e4", "four"}};
        for (const auto &[name, dataCentre] : dataCentres)
            addHost(name, dataCentre);
        for (const auto &[name, dataCentre] : dataCentres)
            startHost(name, true);
    }

    /// `incarnation` 0 takes a number above those of all earlier starts.
    void startHost(const std::string &name, bool initialise = false, std::uint64_t incarnation = 0)
    {
        auto &host = hosts[name];
        host.revisions.clear();
        control_client_options client;
        client.now = [&suspended = host.suspended] { return core::suspendAwareNow() + suspended; };
        auto runtime = control_runtime::create(context, host.settings, host.counters,
                                               {initialise, initialise ? "seed document" : "",
                                                incarnation == 0 ? ++m_incarnation : incarnation,
                                                client, snapshotEntries});
        ASSERT_TRUE(runtime) << name << ": " << runtime.error().message();
        host.runtime = std::move(runtime).value();
        for (auto &[link, relay] : m_relays) {
            if (link.second == name)
                relay->setTarget({asio::ip::address_v4::loopback(), host.runtime->peerPort()});
        }
        host.runtime->client().onConfiguration([&host](const state::configuration &configuration) {
            host.revisions.push_back(configuration.revision);
        });
        host.runtime->start();
    }

    void stopHost(const std::string &name)
    {
        if (!hosts[name].runtime)
            return;
        hosts[name].runtime->stop();
        hosts[name].runtime.reset();
        // The port is free once the sockets are closed.
        runFor(context, std::chrono::milliseconds(20));
    }

    void emptyDataFolder(const std::string &name)
    {
        std::filesystem::remove_all(hosts[name].settings.dataFolder);
        std::filesystem::create_directories(hosts[name].settings.dataFolder);
    }

    bool hasSnapshot(const std::string &name)
    {
        for (const auto &entry :
             std::filesystem::directory_iterator(hosts[name].settings.dataFolder)) {
            if (entry.path().filename().string().starts_with("snapshot-"))
                return true;
        }
        return false;
    }

    /// Cuts or restores every link between the hosts listed and the others.
    void setIsolated(const std::vector<std::string> &inside, bool isolated)
    {
        const auto contains = [&](const std::string &name) {
            return std::find(inside.begin(), inside.end(), name) != inside.end();
        };
        for (auto &[link, relay] : m_relays) {
            if (contains(link.first) == contains(link.second))
                continue;
            relay->setCut(relay::direction::Forward, isolated);
            relay->setCut(relay::direction::Backward, isolated);
        }
    }

    std::uint64_t forwardedBytes() const
    {
        std::uint64_t bytes = 0;
        for (const auto &[link, relay] : m_relays)
            bytes += relay->forwardedBytes();
        return bytes;
    }

    void setDelay(const std::string &name, std::chrono::milliseconds delay)
    {
        for (auto &[link, relay] : m_relays) {
            if (link.first == name || link.second == name)
                relay->setDelay(delay);
        }
    }

    control_client &client(const std::string &name) { return hosts[name].runtime->client(); }

    std::string leader()
    {
        for (const auto &[name, host] : hosts) {
            if (host.runtime && host.runtime->isLeader() && !client(name).status().stale)
                return name;
        }
        return {};
    }

    /// Whether the host considers itself a voter.
    bool isVoter(const std::string &name) { return hosts[name].runtime->isVoter(); }

    bool until(const std::function<bool()> &condition) { return runUntil(context, condition); }

    bool allHaveRevision(std::uint64_t revision)
    {
        for (const auto &[name, host] : hosts) {
            if (host.runtime && client(name).status().revision < revision)
                return false;
        }
        return true;
    }

    state::claim_request request(const std::string &host, const std::string &key)
    {
        return {{{"caller", key}, core::secureRandomBytes(16), host, client(host).incarnation()},
                "body hash"};
    }

    core::result<state::claim_verdict> claim(const state::claim_request &request,
                                             std::chrono::milliseconds timeout = callTimeout)
    {
        std::optional<core::result<state::claim_verdict>> answer;
        client(request.attempt.host).claim(request, timeout, [&](auto result) { answer = result; });
        EXPECT_FALSE(answer.has_value()) << "called back from within the call";
        EXPECT_TRUE(until([&] { return answer.has_value(); }));
        return *answer;
    }

    core::result<state::edit_verdict> edit(const std::string &host, const state::edit &change,
                                           std::chrono::milliseconds timeout = callTimeout)
    {
        std::optional<core::result<state::edit_verdict>> answer;
        client(host).applyEdit(change, timeout, [&](auto result) { answer = result; });
        EXPECT_TRUE(until([&] { return answer.has_value(); }));
        return *answer;
    }

    /// Long enough for elections on a slow machine; a call that succeeds does not use it up.
    static constexpr std::chrono::milliseconds callTimeout{40'000};

    asio::io_context context;
    std::uint64_t snapshotEntries = 10'000;
    std::map<std::string, host> hosts;

private:
    void addHost(const std::string &name, const std::string &dataCentre)
    {
        auto &host = hosts[name];
        auto &settings = host.settings;
        settings.clusterName = "cluster";
        settings.hostName = name;
        settings.dataCentre = dataCentre;
        settings.control = name.front() == 'c';
        settings.entry = true;
        settings.peerAddress = {"127.0.0.1", 0};
        settings.peerKeys = {"key number one, 16+ bytes"};
        settings.dataFolder = m_folder / name;
        std::filesystem::create_directories(settings.dataFolder);
        for (auto &[otherName, other] : hosts) {
            if (otherName == name)
                continue;
            connect(host, other);
            connect(other, host);
        }
    }

    void connect(host &from, const host &to)
    {
        auto relay = relay::tcp_relay::create(context, 0, {});
        ASSERT_TRUE(relay);
        from.settings.peers.push_back({to.settings.hostName,
                                       to.settings.dataCentre,
                                       {"127.0.0.1", relay->port()},
                                       to.settings.control});
        m_relays[{from.settings.hostName, to.settings.hostName}] = std::move(relay);
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("quetzalcleat-peer-" + core::sha256Hex(core::secureRandomBytes(16)).substr(0, 16));
    std::map<std::pair<std::string, std::string>, std::shared_ptr<relay::tcp_relay>> m_relays;
    std::uint64_t m_incarnation = 0;
};

} // namespace quetzalcleat::peer::test
