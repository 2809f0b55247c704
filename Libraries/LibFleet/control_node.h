#pragma once

#include "LibFleet/capacity_controller.h"
#include "LibFleet/capacity_sources.h"
#include "LibFleet/control_duties.h"
#include "LibFleet/deployment_dialect.h"
#include "LibFleet/held_calls.h"
#include "LibForward/event_log.h"
#include "LibForward/http_server.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/configuration_publisher.h"
#include "LibPeer/configuration_writer.h"
#include "LibPeer/control_service.h"
#include "LibPeer/endpoint_catalogue.h"
#include "LibPeer/peer_network.h"
#include "LibState/command.h"
#include "LibState/replicated_state.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <asio/io_context.hpp>

namespace quetzalcleat::fleet {

/// The control role: takes part in the replicated log and serves operators.
template <deployment_dialect Dialect>
class control_node : public std::enable_shared_from_this<control_node<Dialect>>
{
public:
    static core::result<std::shared_ptr<control_node>>
    create(asio::io_context &context, std::shared_ptr<peer::peer_network> network,
           core::counter_registry &counters, forward::event_log &log, const node_settings &settings,
           std::shared_ptr<policy::memory_budget> memory = nullptr)
    {
        std::shared_ptr<control_node> self(new control_node(context, std::move(network), counters,
                                                            log, settings, std::move(memory)));
        if (const auto opened = self->open(); !opened)
            return opened.error();
        return self;
    }

    core::result<void> start()
    {
        m_service->start();
        const std::weak_ptr<control_node> weak = this->weak_from_this();
        m_heldCalls = std::make_shared<held_calls>(m_context, [weak] {
            const auto self = weak.lock();
            return self && self->knowsLeader();
        });
        m_server = std::make_shared<forward::http_server>(
            m_context,
            [weak](const forward::http_head &head, std::string body,
                   forward::http_server::responder respond) {
                if (const auto self = weak.lock())
                    self->handle(head, std::move(body), std::move(respond));
            },
            serverOptions());
        startList(weak);
        startDuties();
        startTimer();
        return m_server->start(*m_settings.controlAddress);
    }

    /// Transfers leadership, so that a planned stop does not cost an election timeout, and leaves
    /// the membership if others take the place of this host. This is repeated until the stop:
    /// another host may be transferring its leadership to this one. The host stops after the
    /// longest time in any case.
    void beginStop(std::chrono::milliseconds longest)
    {
        m_stopAt = std::chrono::steady_clock::now() + longest;
        leave();
    }

    /// Whether the other voters do not need this host any more.
    bool hasLeft() const { return m_service->hasLeft(); }

    /// Whether operators wait for the outcome of a call.
    bool hasPendingCalls() const { return m_writer->hasPendingWrites() || !m_heldCalls->isEmpty(); }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
        // Before the server, which passes the outcomes on.
        m_heldCalls->stop();
        m_writer->stop();
        if (m_duties)
            m_duties->stop();
        m_server->stop();
        if (m_listReader)
            m_listReader->stop();
        m_pool->closeAll();
        m_service->stop();
    }

    /// One line, and one for each duty.
    std::string dump() const
    {
        std::string text = "control leader=" + m_service->leaderHost()
            + " revision=" + std::to_string(m_feed->revision())
            + " confirmed=" + (m_service->isConfirmed() ? "yes" : "no") + " voters=";
        for (const auto &host : m_service->voterHosts())
            text += host + ',';
        return text + '\n' + (m_duties ? m_duties->dump() : std::string())
            + (m_capacity ? m_capacity->dump() : std::string());
    }

private:
    using responder = forward::http_server::responder;

    control_node(asio::io_context &context, std::shared_ptr<peer::peer_network> network,
                 core::counter_registry &counters, forward::event_log &log,
                 const node_settings &settings, std::shared_ptr<policy::memory_budget> memory)
        : m_context(context), m_network(std::move(network)), m_counters(counters), m_log(log),
          m_settings(settings), m_memory(std::move(memory)), m_timer(context),
          m_pool(std::make_shared<forward::connection_pool>(context, forward::upstream_options(),
                                                            &counters))
    {
    }

    forward::http_server_options serverOptions() const
    {
        forward::http_server_options options;
        options.bodyBytes = state::maximumDocumentBytes;
        // Of five documents of the largest size.
        options.heldBytes = 5 * state::maximumDocumentBytes;
        // For the largest document at 1 Mbit/s.
        options.requestTime = std::chrono::seconds(30);
        options.sessions = m_settings.serverSessions();
        options.memory = m_memory;
        options.log = std::make_shared<forward::limit_log>("control", m_counters, m_log);
        return options;
    }

    core::result<void> open()
    {
        // Configurations are large, so frequent snapshots keep the log small on disk.
        constexpr std::uint64_t snapshotEntries = 100;
        m_feed = std::make_shared<peer::configuration_feed>();
        m_publisher = peer::configuration_publisher::create(m_network, m_feed);
        peer::control_service_options options;
        options.dataFolder = m_settings.dataFolder;
        const bool isSeed
            = std::find(m_settings.seeds.begin(), m_settings.seeds.end(), m_settings.ip)
            != m_settings.seeds.end();
        options.initialiseCluster = m_settings.bootstrapsCluster && isSeed;
        options.snapshotEntries = snapshotEntries;
        options.minimumVoters = 2 * m_settings.tolerableDiskLosses + 1;
        options.rejoinWithoutLeader = true;
        // Tolerates several lost heartbeats with 20 ms between regions. Shorter than in other
        // deployments, since all hosts may restart at the same time while callers wait.
        options.electionTimeout = std::chrono::milliseconds(600);
        options.heartbeatInterval = std::chrono::milliseconds(120);
        options.loads = m_loads;
        const auto voters = options.minimumVoters;
        auto service
            = peer::control_service::create(m_network, m_feed, m_publisher, std::move(options));
        if (!service) {
            m_log.write(
                "store_refused",
                {{"folder", m_settings.dataFolder.string()}, {"error", service.error().message()}});
            return service.error();
        }
        m_service = std::move(service).value();
        m_writer = peer::configuration_writer::create(
            m_network, m_service, voters, [](const std::string &document) {
                const auto content = Dialect::readConfiguration(document);
                return content ? content.value().version : std::uint64_t{0};
            });
        return {};
    }

    /// Starts reading the platform's list of endpoints, which the leader does for all hosts.
    void startList(const std::weak_ptr<control_node> &weak)
    {
        constexpr std::chrono::milliseconds interval{500};
        m_catalogue = std::make_shared<peer::endpoint_catalogue>(m_network->incarnation());
        m_service->setCatalogue(m_catalogue);
        if (m_settings.endpointListAddress.port == 0)
            return;
        forward::endpoint_list_reader_options list;
        list.address = m_settings.endpointListAddress;
        list.interval = interval;
        m_listReader = std::make_shared<forward::endpoint_list_reader<Dialect>>(
            m_pool, m_log, list,
            [weak](const std::vector<forward::listed_endpoint> &endpoints, core::instant readAt) {
                const auto self = weak.lock();
                if (!self)
                    return;
                std::vector<peer::listed_endpoint> entries;
                entries.reserve(endpoints.size());
                for (const auto &entry : endpoints)
                    entries.push_back({entry.incarnation, entry.service, entry.address.ip,
                                       entry.address.port, entry.dataCentre, entry.slots,
                                       entry.isLeaving});
                self->m_catalogue->update(entries, readAt);
                self->m_capacitySources.setList(endpoints, core::suspendAwareNow());
            });
        m_listReader->setReadCondition([weak] {
            const auto self = weak.lock();
            return self && self->m_service->isConfirmed();
        });
        m_listReader->start();
        // The hosts wait for the list after a failure of all of them.
        m_service->onConfirming([weak] {
            const auto self = weak.lock();
            if (self && !self->m_stopped)
                self->m_listReader->readNow();
        });
    }

    void startDuties()
    {
        if (!m_settings.duties.any() || m_settings.endpointListAddress.port == 0)
            return;
        m_duties
            = control_duties::create(m_network, m_service, m_pool, m_counters, m_log, m_settings,
                                     {&Dialect::dutyHeaders, &Dialect::usageReport});
        m_duties->reports()->setLeaving([weak = this->weak_from_this()] {
            const auto self = weak.lock();
            return self ? self->m_capacitySources.leaves(core::suspendAwareNow())
                        : std::vector<peer::endpoint_leave>();
        });
        m_duties->start();
        if (m_settings.duties.ordersEndpoints)
            startCapacity();
    }

    /// Orders endpoints while this host holds the duty.
    void startCapacity()
    {
        const std::weak_ptr<control_node> weak = this->weak_from_this();
        typename capacity_orders::handlers handlers;
        handlers.loads = [weak] {
            const auto self = weak.lock();
            // No host is excluded by an empty name.
            return self ? self->m_loads->sumsExcluding({}, core::suspendAwareNow())
                        : std::vector<peer::endpoint_load>();
        };
        handlers.agreedOrders = [weak] {
            std::vector<endpoint_order> orders;
            const auto self = weak.lock();
            if (!self)
                return orders;
            for (const auto &[subject, agreed] :
                 self->m_service->replicatedState().duties().capacityOrders())
                orders.push_back({subject.service, subject.dataCentre, subject.isSpot,
                                  static_cast<std::uint32_t>(agreed.desired)});
            return orders;
        };
        handlers.accepted = [weak](const endpoint_order &order, std::uint64_t generation) {
            const auto self = weak.lock();
            if (!self || self->m_stopped)
                return;
            // If it is not agreed, a later holder begins from the list instead.
            self->m_duties->proposer()->propose(
                state::capacity_order{
                    generation, {order.service, order.dataCentre, order.isSpot}, order.count},
                [](const core::result<void> &) {});
        };
        m_capacity = std::make_shared<capacity_orders>(*m_duties->runner(), m_capacitySources,
                                                       m_counters, m_log, std::move(handlers));
        m_feed->onPublished([weak](const state::configuration &newest) {
            if (const auto self = weak.lock())
                self->setOrderedServices(newest);
        });
        setOrderedServices(m_feed->current());
    }

    void setOrderedServices(const state::configuration &newest)
    {
        if (const auto content = Dialect::readConfiguration(newest.document))
            m_capacity->setServices(content.value().services);
    }

    void updateCapacity()
    {
        if (!m_capacity)
            return;
        for (const auto &[host, demand] : m_duties->reports()->demand())
            m_capacitySources.recordReport({host, demand.dataCentre, demand.incarnation},
                                           demand.services, demand.receivedAt);
        m_capacity->update(core::suspendAwareNow());
    }

    void startTimer()
    {
        constexpr std::chrono::milliseconds interval{200};
        m_timer.expires_after(interval);
        m_timer.async_wait([weak = this->weak_from_this()](std::error_code error) {
            const auto self = weak.lock();
            if (error || !self || self->m_stopped)
                return;
            self->logLeaderChange();
            self->updateCapacity();
            self->leave();
            self->m_log.flush();
            self->startTimer();
        });
    }

    void leave()
    {
        using std::chrono::milliseconds;
        if (!m_stopAt)
            return;
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            *m_stopAt - std::chrono::steady_clock::now());
        m_service->leave(std::max(remaining, milliseconds(0)));
    }

    void logLeaderChange()
    {
        auto leader = m_service->leaderHost();
        if (!leader.empty())
            m_leaderSeen = std::chrono::steady_clock::now();
        if (leader == m_lastLeader)
            return;
        m_log.write("leader_changed",
                    {{"from", m_lastLeader.empty() ? "-" : m_lastLeader},
                     {"to", leader.empty() ? "-" : leader},
                     {"revision", std::to_string(m_feed->revision())}});
        m_lastLeader = std::move(leader);
    }

    void handle(const forward::http_head &head, std::string body, responder respond)
    {
        const auto operation = Dialect::httpOperation(head);
        if (operation != http_operation::ReadConfiguration
            && operation != http_operation::WriteConfiguration) {
            respond({404, "text/plain", {}, "no such call\n"});
            return;
        }
        const auto bodyBytes = body.size();
        std::function<void()> proceed
            = [self = this->shared_from_this(), operation, target = head.target,
               body = std::move(body), respond = std::move(respond)]() mutable {
                  if (operation == http_operation::ReadConfiguration)
                      self->read(target, respond);
                  else
                      self->write(target, std::move(body), std::move(respond));
              };
        // With a leader, calls that wait already come first.
        const bool waits = knowsLeader() ? !m_heldCalls->isEmpty() : expectsLeader();
        if (!waits || !m_heldCalls->hold(bodyBytes, proceed)) {
            proceed();
            return;
        }
        m_log.write("configuration_call_held",
                    {{"call",
                      operation == http_operation::ReadConfiguration ? "configuration_read"
                                                                     : "configuration_write"},
                     {"cause", "no_leader"}});
        ++m_counters.counter("configuration_calls_held_total");
    }

    /// Whether an election may be in progress. A host without a leader for longer is taken to be
    /// cut off, and operators do not wait for it.
    bool expectsLeader() const
    {
        constexpr std::chrono::milliseconds longestElection{3000};
        return std::chrono::steady_clock::now() - m_leaderSeen < longestElection;
    }

    /// Whether this host can answer operators or send them to the host that can.
    bool knowsLeader() const
    {
        if (m_service->isConfirmed())
            return true;
        const auto leader = m_service->leaderHost();
        return !leader.empty() && leader != m_settings.ip;
    }

    void read(const std::string &target, const responder &respond)
    {
        const auto newest = m_service->confirmedConfiguration();
        if (newest && newest->revision != 0) {
            m_log.write("configuration_read",
                        {{"revision", std::to_string(newest->revision)}, {"outcome", "newest"}});
            respond({200, "application/json", {}, newest->document});
            return;
        }
        redirect(target, respond, "configuration_read");
    }

    void redirect(const std::string &target, const responder &respond, const char *call)
    {
        const auto leader = m_service->leaderHost();
        if (leader.empty() || leader == m_settings.ip) {
            m_log.write(call, {{"outcome", "no_leader"}});
            respond({503, "application/json", {}, "{\"error\":\"no confirmed leader\"}\n"});
            return;
        }
        m_log.write(call, {{"outcome", "redirected"}, {"leader", leader}});
        const core::socket_address address{leader, m_settings.controlAddress->port};
        respond({307, "application/json", "http://" + address.text() + target, "{}\n"});
    }

    void write(const std::string &target, std::string body, responder respond)
    {
        if (body.size() > state::maximumDocumentBytes) {
            m_log.write("configuration_write",
                        {{"outcome", "too_large"}, {"body_bytes", std::to_string(body.size())}});
            respond({413, "application/json", {}, "{\"error\":\"document is too large\"}\n"});
            return;
        }
        // Only the leader parses the document, which takes time in proportion to its size.
        if (!m_service->isConfirmed()) {
            redirect(target, respond, "configuration_write");
            return;
        }
        auto content = Dialect::readConfiguration(body);
        if (!content) {
            refuse(content.error(), respond);
            return;
        }
        const auto version = content.value().version;
        const auto checked = forward::route_table::create(std::move(content).value());
        if (!checked) {
            refuse(checked.error(), respond);
            return;
        }
        const auto self = this->shared_from_this();
        m_writer->write(std::move(body), version,
                        [self, version, target, respond](peer::write_outcome outcome) {
                            self->finishWrite(version, target, outcome, respond);
                        });
    }

    void refuse(std::error_code error, const responder &respond)
    {
        m_log.write("configuration_write", {{"outcome", "invalid"}, {"error", error.message()}});
        respond({400, "application/json", {}, "{\"error\":\"" + error.message() + "\"}\n"});
    }

    void finishWrite(std::uint64_t version, const std::string &target, peer::write_outcome outcome,
                     const responder &respond)
    {
        if (outcome == peer::write_outcome::NotLeader) {
            redirect(target, respond, "configuration_write");
            return;
        }
        const char *name = "undecided";
        if (outcome == peer::write_outcome::Accepted)
            name = "accepted";
        else if (outcome == peer::write_outcome::NotNewer)
            name = "not_newer";
        m_log.write("configuration_write",
                    {{"version", std::to_string(version)},
                     {"outcome", name},
                     {"revision", std::to_string(m_feed->revision())}});
        ++m_counters.counter("configuration_writes_total", std::string("outcome=\"") + name + '"');
        if (outcome == peer::write_outcome::Undecided)
            respond({503, "application/json", {}, "{\"error\":\"undecided\"}\n"});
        else
            respond({200, "application/json", {}, "{}\n"});
    }

    asio::io_context &m_context;
    std::shared_ptr<peer::peer_network> m_network;
    core::counter_registry &m_counters;
    forward::event_log &m_log;
    node_settings m_settings;
    std::shared_ptr<policy::memory_budget> m_memory; ///< Null for none.
    asio::steady_timer m_timer;
    std::shared_ptr<peer::configuration_feed> m_feed;
    std::shared_ptr<peer::configuration_publisher> m_publisher;
    std::shared_ptr<peer::control_service> m_service;
    std::shared_ptr<peer::configuration_writer> m_writer;
    std::shared_ptr<forward::http_server> m_server;
    std::shared_ptr<held_calls> m_heldCalls;
    std::shared_ptr<forward::connection_pool> m_pool;
    std::shared_ptr<forward::endpoint_list_reader<Dialect>> m_listReader;
    std::shared_ptr<peer::endpoint_catalogue> m_catalogue;
    std::shared_ptr<control_duties> m_duties; ///< Null without duties in the settings.
    std::shared_ptr<peer::load_aggregator> m_loads = std::make_shared<peer::load_aggregator>();
    using capacity_orders = capacity_controller<Dialect, duty_runner, state::duty::Autoscale>;
    capacity_sources m_capacitySources{m_settings.regions};
    std::shared_ptr<capacity_orders> m_capacity; ///< Null without that duty in the settings.
    std::string m_lastLeader;
    core::instant m_leaderSeen = std::chrono::steady_clock::now(); ///< At first the start.
    std::optional<core::instant> m_stopAt; ///< Set while a planned stop is in progress.
    bool m_stopped = false;
};

} // namespace quetzalcleat::fleet
