#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/unexpected_error.h"
#include "LibFleet/control_node.h"
#include "LibFleet/entry_node.h"

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <malloc.h>

namespace quetzalcleat::fleet {

struct process_options
{
    std::filesystem::path settingsFile;
    std::uint16_t metricsPort = 0; ///< 0 for none.
};

/// Runs the roles that the settings name, from the start of the process to its exit.
template <deployment_dialect Dialect>
class node_process
{
public:
    explicit node_process(process_options options)
        : m_options(std::move(options)), m_context(1),
          m_signals(m_context, SIGTERM, SIGINT, SIGHUP), m_timer(m_context)
    {
    }

    /// Returns the exit code: 0 after a planned stop, 1 if the process cannot start.
    int run()
    {
        std::signal(SIGPIPE, SIG_IGN);
        // Large blocks are returned to the system when they are freed. By default, the allocator
        // keeps blocks of up to 32 MB after the first one of their size was freed.
        constexpr int largeBlockBytes = 128 * 1024;
        ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
        const auto text = readFile();
        auto settings = Dialect::readSettings(text);
        if (!settings) {
            forward::event_log log("-");
            log.write(
                "settings_refused",
                {{"file", m_options.settingsFile.string()}, {"error", settings.error().message()}});
            log.flush();
            return 1;
        }
        m_settings = std::move(settings).value();
        m_settingsText = text;
        m_memory = std::make_shared<policy::memory_budget>(
            policy::memory_budget::boundFor(m_settings.memoryLimit));
        m_log.emplace(m_settings.hostName);
        if (const auto started = start(); !started) {
            m_log->write("start_failed", {{"error", started.error().message()}});
            m_log->flush();
            return 1;
        }
        m_log->write("started",
                     {{"entry", m_entry ? "yes" : "no"},
                      {"control", m_control ? "yes" : "no"},
                      {"data_centre", m_settings.dataCentre},
                      {"first_start", m_settings.bootstrapsCluster ? "yes" : "no"},
                      {"seeds", std::to_string(m_settings.seeds.size())}});
        waitForSignal();
        startTimer();
        // The state of the process is not known after an error that no connection has contained,
        // so it ends and starts again from its disk.
        if (const auto failure = core::runContained([this] { m_context.run(); })) {
            m_log->write("unexpected_error", {{"cause", failure.message()}});
            m_log->flush();
            return 1;
        }
        m_log->write("stopped", {});
        m_log->flush();
        return 0;
    }

private:
    /// Time to accept connections after readiness is withdrawn: two failed checks of a load
    /// balancer that checks once a second, and its own delay.
    static constexpr std::chrono::milliseconds balancerNotice{2600};
    /// Time to read the requests that wait on connections when the listener closes.
    static constexpr std::chrono::milliseconds arrivalTime{300};
    /// Part of the grace time that is reserved for closing.
    static constexpr std::chrono::milliseconds stopMargin{400};
    /// Part of it in which slow callers still get the ends of their answers.
    static constexpr std::chrono::milliseconds lastWriteTime{200};
    static constexpr std::chrono::milliseconds tick{100};
    static constexpr std::chrono::milliseconds settingsInterval{1000};
    /// Time allowed for a control host to transfer its leadership.
    static constexpr std::chrono::milliseconds leadershipTransferTime{600};
    /// Time allowed for a control host to leave the membership. Its successor needs time to start
    /// and to catch up; without a leader or a majority, nobody answers.
    static constexpr std::chrono::milliseconds longestLeave{4000};

    std::string readFile() const
    {
        std::ifstream file(m_options.settingsFile, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    core::result<void> start()
    {
        peer::peer_network_options options;
        const auto incarnation
            = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count());
        // FIXME: The settings contain no secret key; peers only prove that they run this program.
        options.identity
            = {"fleet", m_settings.ip, incarnation, {"quetzalcleat-fleet-without-a-secret-key"}};
        options.dataCentre = m_settings.dataCentre;
        options.control = m_settings.controlAddress.has_value();
        options.address = {m_settings.ip, m_settings.peerPort};
        options.commonPort = m_settings.peerPort;
        options.peers = seedPeers();
        auto network = peer::peer_network::create(m_context, m_counters, std::move(options));
        if (!network)
            return network.error();
        m_network = std::move(network).value();
        if (m_settings.controlAddress) {
            auto control = control_node<Dialect>::create(m_context, m_network, m_counters, *m_log,
                                                         m_settings, m_memory);
            if (!control)
                return control.error();
            m_control = std::move(control).value();
            if (const auto started = m_control->start(); !started)
                return started;
        }
        if (m_settings.callerAddress) {
            m_entry = std::make_shared<entry_node<Dialect>>(m_context, m_network, m_counters,
                                                            *m_log, m_settings, m_memory);
            if (const auto started = m_entry->start(); !started)
                return started;
        }
        m_network->start();
        return startMetrics();
    }

    std::vector<core::peer_settings> seedPeers() const
    {
        std::vector<core::peer_settings> peers;
        for (const auto &seed : m_settings.seeds) {
            if (seed != m_settings.ip)
                peers.push_back({seed, {}, {seed, m_settings.peerPort}, true});
        }
        return peers;
    }

    core::result<void> startMetrics()
    {
        if (m_options.metricsPort == 0)
            return {};
        forward::http_server_options options;
        options.sessions = m_settings.serverSessions();
        options.memory = m_memory;
        options.log = std::make_shared<forward::limit_log>("metrics", m_counters, *m_log);
        m_metricsServer = std::make_shared<forward::http_server>(
            m_context,
            [this](const forward::http_head &head, const std::string &,
                   const forward::http_server::responder &respond) {
                if (head.path() == "/metrics")
                    respond({200, "text/plain; version=0.0.4", {}, m_counters.text()});
                else if (head.path() == "/dump")
                    respond({200, "text/plain", {}, dump()});
                else
                    respond({404, "text/plain", {}, "no such page\n"});
            },
            std::move(options));
        return m_metricsServer->start({m_settings.ip, m_options.metricsPort});
    }

    /// The state of the process in the format of the log, one line per component.
    std::string dump() const
    {
        std::string text = "host=" + m_settings.hostName + " data_centre=" + m_settings.dataCentre
            + " stopping=" + (m_stopSince ? "yes" : "no") + '\n';
        if (m_control)
            text += m_control->dump();
        if (m_entry)
            text += m_entry->dump();
        return text;
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](std::error_code error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reloadSettings("signal");
            else
                beginStop();
            waitForSignal();
        });
    }

    void reloadSettings(const char *cause)
    {
        auto text = readFile();
        if (text == m_settingsText)
            return;
        auto settings = Dialect::readSettings(text);
        if (!settings) {
            m_log->write("reload_refused",
                         {{"cause", cause}, {"error", settings.error().message()}});
            return;
        }
        m_settingsText = std::move(text);
        // Only the seeds may change while the process runs.
        m_settings.seeds = std::move(settings).value().seeds;
        for (auto &peer : seedPeers())
            m_network->addPeer(std::move(peer));
        if (m_entry)
            m_entry->setSeeds(m_settings.seeds);
        m_log->write("reloaded",
                     {{"cause", cause}, {"seeds", std::to_string(m_settings.seeds.size())}});
    }

    void beginStop()
    {
        if (m_stopSince)
            return;
        m_stopSince = std::chrono::steady_clock::now();
        m_log->write("stopping", {});
        if (m_entry)
            m_entry->beginStop({*m_stopSince + balancerNotice + arrivalTime, stopEnd()});
        if (m_control)
            m_control->beginStop(longestLeave);
    }

    void startTimer()
    {
        m_timer.expires_after(tick);
        m_timer.async_wait([this](std::error_code error) {
            if (error)
                return;
            const auto now = std::chrono::steady_clock::now();
            if (now - m_settingsRead >= settingsInterval) {
                m_settingsRead = now;
                reloadSettings("file");
            }
            m_log->flush();
            if (m_stopSince && mayExit(now))
                stop();
            else
                startTimer();
        });
    }

    /// When the requests in progress are ended.
    core::instant stopEnd() const { return *m_stopSince + m_settings.graceTime - stopMargin; }

    bool mayExit(core::instant now)
    {
        const auto since = now - *m_stopSince;
        if (now >= stopEnd()) {
            if (m_entry && !std::exchange(m_requestsEnded, true)) {
                m_entry->endRequests();
                return false;
            }
            return !m_entry || m_entry->drained() || now >= stopEnd() + lastWriteTime;
        }
        // Asked first, as it closes the listener, whatever the control role waits for.
        const bool entryIsDone = !m_entry || (since >= balancerNotice && m_entry->drained());
        const bool controlIsDone = !m_control
            || (since >= leadershipTransferTime && !m_control->hasPendingCalls()
                && (m_control->hasLeft() || since >= longestLeave));
        return entryIsDone && controlIsDone;
    }

    void stop()
    {
        m_signals.cancel();
        if (m_entry)
            m_entry->stop();
        if (m_control)
            m_control->stop();
        if (m_metricsServer)
            m_metricsServer->stop();
        m_network->stop();
        m_log->flush();
        m_context.stop();
    }

    process_options m_options;
    asio::io_context m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    core::counter_registry m_counters;
    std::optional<forward::event_log> m_log;
    node_settings m_settings;
    std::string m_settingsText;
    std::shared_ptr<policy::memory_budget> m_memory;
    core::instant m_settingsRead;
    std::shared_ptr<peer::peer_network> m_network;
    std::shared_ptr<control_node<Dialect>> m_control;
    std::shared_ptr<entry_node<Dialect>> m_entry;
    std::shared_ptr<forward::http_server> m_metricsServer;
    std::optional<core::instant> m_stopSince;
    bool m_requestsEnded = false;
};

} // namespace quetzalcleat::fleet
