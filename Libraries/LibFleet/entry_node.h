#pragma once

#include "LibFleet/control_duties.h"
#include "LibFleet/deployment_dialect.h"
#include "LibFleet/duty_reporter.h"
#include "LibForward/forwarder.h"
#include "LibForward/http_server.h"
#include "LibPeer/configuration_lease.h"
#include "LibPeer/crash_reporter.h"
#include "LibPeer/peer_network.h"
#include "LibPolicy/newest_list.h"
#include "LibPolicy/part_id.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::fleet {

/// The entry role: accepts callers and forwards their requests.
template <deployment_dialect Dialect>
class entry_node : public std::enable_shared_from_this<entry_node<Dialect>>
{
public:
    entry_node(asio::io_context &context, std::shared_ptr<peer::peer_network> network,
               core::counter_registry &counters, forward::event_log &log,
               const node_settings &settings,
               std::shared_ptr<policy::memory_budget> memory = nullptr)
        : m_context(context), m_network(std::move(network)), m_counters(counters), m_log(log),
          m_settings(settings), m_memory(std::move(memory))
    {
    }

    core::result<void> start()
    {
        const std::weak_ptr<entry_node> weak = this->weak_from_this();
        m_forwarder = std::make_shared<forward::forwarder>(
            m_context, m_counters, m_log, forwarderOptions(), [weak] {
                const auto self = weak.lock();
                return self ? self->m_lease->age() : std::chrono::milliseconds::max();
            });
        m_crashReporter.emplace(m_forwarder->crashWitness());
        startLease(weak);
        startDutyReports(weak);
        forward::endpoint_list_reader_options list;
        list.address = m_settings.endpointListAddress;
        m_listReader = std::make_shared<forward::endpoint_list_reader<Dialect>>(
            m_forwarder->pool(), m_log, list,
            [weak](const std::vector<forward::listed_endpoint> &endpoints, core::instant readAt) {
                if (const auto self = weak.lock())
                    self->useOwnList(endpoints, readAt);
            });
        m_listReader->setReadCondition([weak] {
            const auto self = weak.lock();
            return self && self->shouldReadList();
        });
        m_readinessServer = std::make_shared<forward::http_server>(
            m_context,
            [weak](const forward::http_head &head, const std::string &,
                   const forward::http_server::responder &respond) {
                if (const auto self = weak.lock())
                    self->respondToReadiness(head, respond);
            },
            readinessOptions());
        m_lease->start();
        m_listReader->start();
        if (const auto listening = m_readinessServer->start(*m_settings.readinessAddress);
            !listening)
            return listening;
        return m_forwarder->start();
    }

    void setSeeds(std::vector<std::string> seeds) { m_lease->setSeeds(std::move(seeds)); }

    void beginStop(forward::stop_times times) { m_forwarder->beginStop(times); }

    /// Closes idle connections. Returns whether none is open: on one without a request in progress,
    /// a request may be arriving or a response may be on its way to a slow caller.
    bool drained()
    {
        m_forwarder->closeIdle();
        return m_forwarder->sessions() == 0;
    }

    void endRequests() { m_forwarder->endRequests(); }

    void stop()
    {
        m_readinessServer->stop();
        m_listReader->stop();
        if (m_dutyReporter)
            m_dutyReporter->stop();
        m_lease->stop();
        m_forwarder->stop();
    }

    bool isReady() const
    {
        return !m_forwarder->isStopping() && m_forwarder->routes() && m_newestList.hasList()
            && m_forwarder->hasConfirmedConfiguration();
    }

    /// Endpoints that leave at a known time, as the leader says.
    void applyLeaves(const std::vector<peer::endpoint_leave> &leaves)
    {
        constexpr std::uint64_t longestLeave = 3'600'000; // An hour, in ms.
        for (const auto &entry : leaves)
            m_forwarder->recordLeave(
                entry.incarnation,
                std::chrono::milliseconds(std::min(entry.remainingMilliseconds, longestLeave)));
    }

    /// One line for the host and one for each endpoint.
    std::string dump() const
    {
        const auto now = m_forwarder->now();
        const auto &notices = m_forwarder->endpoints().notices();
        const auto version = m_forwarder->routes() ? m_forwarder->routes()->content().version : 0;
        std::string text = "entry version=" + std::to_string(version)
            + " revision=" + std::to_string(m_lease->revision()) + " leader=" + m_lease->leader()
            + " lease_age_ms="
            + std::to_string(std::min<std::int64_t>(m_lease->age().count(), 999'999))
            + " requests=" + std::to_string(m_forwarder->requestsInProgress())
            + " callers=" + std::to_string(m_forwarder->sessions())
            + " waiting=" + std::to_string(m_forwarder->waitingRequests())
            + " leaving=" + std::to_string(notices.leavingCount())
            + " held_off=" + std::to_string(notices.heldOffCount(now)) + '\n';
        for (const auto &[incarnation, target] : m_forwarder->endpoints().all())
            text += "endpoint incarnation=" + incarnation + " service=" + target->listed.service
                + " address=" + target->listed.address.text() + noticeText(incarnation, now)
                + " running=" + std::to_string(target->running)
                + " running_elsewhere=" + std::to_string(target->runningByOtherHosts)
                + " failure_percent=" + std::to_string(static_cast<int>(target->failureShare * 100))
                + " ejected=" + (target->ejectedUntil > now ? "yes" : "no") + '\n';
        return text + (m_dutyReporter ? m_dutyReporter->dump() : std::string());
    }

private:
    std::string noticeText(const std::string &incarnation, core::instant now) const
    {
        const auto age = [now](core::instant since) {
            return std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
        };
        const auto &notices = m_forwarder->endpoints().notices();
        std::string text = " leaving=no";
        if (const auto leaving = notices.leaving(incarnation))
            text = " leaving=yes leaving_source=" + std::string(policy::toString(leaving->source))
                + " leaving_ms=" + age(leaving->since);
        if (const auto wait = notices.wait(incarnation, now))
            text += " held_off_ms="
                + std::to_string(
                        std::chrono::ceil<std::chrono::milliseconds>(wait->until - now).count());
        return text;
    }

    forward::http_server_options readinessOptions() const
    {
        forward::http_server_options options;
        options.sessions = m_settings.serverSessions();
        options.memory = m_memory;
        options.log = std::make_shared<forward::limit_log>("readiness", m_counters, m_log);
        return options;
    }

    forward::forwarder_options forwarderOptions() const
    {
        // Share of the revocation time for which a confirmation is valid; the rest covers requests
        // in flight and late timers on a busy host.
        constexpr double confirmationLifetimeShare = 0.8;
        // For files, peers and the endpoint list reader.
        constexpr std::uint64_t reservedDescriptors = 400;
        forward::forwarder_options options;
        options.callerAddress = *m_settings.callerAddress;
        options.memory = m_memory;
        options.names = Dialect::wireNames();
        options.placement.dataCentre = m_settings.dataCentre;
        options.placement.region = m_settings.region;
        options.placement.regions = m_settings.regions;
        options.retries.ratio = m_settings.retryRatio;
        options.retries.window = m_settings.retryWindow;
        options.retries.additionalRetries = m_settings.additionalRetries;
        options.retries.additionalRetriesShare = 0.02;
        options.notices.drainTime = m_settings.drainTime;
        options.notices.listAge
            = m_settings.endpointListLag + forward::endpoint_table::maximumListDelay;
        options.confirmationLifetime = std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(m_settings.revocationTime.count()) * confirmationLifetimeShare));
        // Two descriptors per session: the caller and the endpoint of its request.
        const auto reserved = std::min(reservedDescriptors, m_settings.descriptorLimit / 2);
        options.maximumSessions = (m_settings.descriptorLimit - reserved) / 2;
        options.upstream.idleConnections = options.maximumSessions / 2;
        return options;
    }

    void startLease(const std::weak_ptr<entry_node> &weak)
    {
        peer::configuration_lease::handlers handlers;
        handlers.changed = [weak](const state::configuration &newest) {
            if (const auto self = weak.lock())
                self->applyConfiguration(newest);
        };
        handlers.ownLoads = [weak] {
            const auto self = weak.lock();
            return self ? self->ownLoads() : std::vector<peer::endpoint_load>();
        };
        handlers.loads
            = [weak](const std::vector<peer::endpoint_load> &loads, std::uint32_t hosts) {
                  if (const auto self = weak.lock())
                      self->applyLoads(loads, hosts);
              };
        handlers.addCrashes = [weak](peer::configuration_lease_request &request) {
            if (const auto self = weak.lock())
                self->m_crashReporter->addTo(request, self->m_forwarder->now());
        };
        handlers.quarantine = [weak](const peer::configuration_lease_answer &answer) {
            if (const auto self = weak.lock())
                self->applyQuarantine(answer);
        };
        handlers.confirmationChanged = [weak](bool isConfirmed) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!isConfirmed)
                self->m_forwarder->endpoints().forgetLoads();
            self->m_log.write(isConfirmed ? "configuration_confirmed" : "configuration_unconfirmed",
                              {{"leader", self->m_lease->leader()},
                               {"revision", std::to_string(self->m_lease->revision())}});
        };
        m_lease = peer::configuration_lease::create(m_network, m_settings.seeds, {},
                                                    std::move(handlers));
    }

    void startDutyReports(const std::weak_ptr<entry_node> &weak)
    {
        if (!m_settings.duties.any())
            return;
        duty_reporter::handlers handlers;
        handlers.leader = [weak] {
            const auto self = weak.lock();
            return self ? self->m_lease->leader() : std::string();
        };
        // Every second request of a lease, 0.5 s in fleets of up to 100 hosts.
        handlers.interval = [weak] {
            const auto self = weak.lock();
            return 2 * peer::configuration_lease_options().intervalFor(self ? self->m_hosts : 0);
        };
        handlers.leaving = [weak](const std::vector<peer::endpoint_leave> &leaves) {
            if (const auto self = weak.lock())
                self->applyLeaves(leaves);
        };
        m_dutyReporter
            = duty_reporter::create(m_network, m_forwarder->work(), m_counters,
                                    usageOptions(m_settings.duties), std::move(handlers));
        m_dutyReporter->start();
    }

    void useOwnList(const std::vector<forward::listed_endpoint> &endpoints, core::instant readAt)
    {
        if (!m_newestList.offer(policy::newest_list::ownReads, readAt))
            return;
        m_forwarder->setEndpoints(endpoints);
        confirmIfRecent();
    }

    /// To be called after each answer of a control host, which also tells the age of its list.
    void useControlList()
    {
        const auto &list = m_lease->endpoints();
        if (!list.readAt())
            return;
        const bool wasInForce = m_newestList.isFrom(list.epoch());
        if (!m_newestList.offer(list.epoch(), *list.readAt()))
            return;
        if (std::exchange(m_controlListVersion, list.version()) != list.version() || !wasInForce)
            applyEntries(list.entries());
        confirmIfRecent();
    }

    void confirmIfRecent()
    {
        if (m_newestList.age(m_forwarder->now()) <= forward::endpoint_table::maximumListDelay)
            m_forwarder->confirmEndpoints();
    }

    void applyEntries(const std::map<std::string, peer::listed_endpoint> &entries)
    {
        std::vector<forward::listed_endpoint> endpoints;
        endpoints.reserve(entries.size());
        for (const auto &[incarnation, entry] : entries)
            endpoints.push_back({incarnation,
                                 entry.service,
                                 {entry.ip, entry.port},
                                 entry.dataCentre,
                                 entry.slots,
                                 entry.isLeaving});
        m_forwarder->setEndpoints(endpoints);
    }

    /// Whether this host reads the platform's list itself: only while no control host sends it. The
    /// interval keeps the calls of all hosts within half of the platform's limit.
    bool shouldReadList()
    {
        constexpr std::chrono::milliseconds minimumInterval{1000};
        constexpr double share = 0.5;
        if (m_settings.endpointListRequestRate > 0)
            m_listReader->setInterval(
                std::max(minimumInterval,
                         std::chrono::milliseconds(static_cast<std::int64_t>(
                             1000.0 * std::max(m_hosts, 1U)
                             / (share * m_settings.endpointListRequestRate)))));
        // A starting host does not wait: after all hosts have failed there may be no leader yet.
        const bool reads = !m_newestList.hasList()
            || m_lease->listAge() > forward::endpoint_table::maximumListDelay;
        if (std::exchange(m_readsList, reads) != reads)
            m_log.write(
                "list_source",
                {{"source", reads ? "platform" : "control"}, {"hosts", std::to_string(m_hosts)}});
        return reads;
    }

    void applyConfiguration(const state::configuration &newest)
    {
        auto content = Dialect::readConfiguration(newest.document);
        auto routes = content
            ? forward::route_table::create(std::move(content).value())
            : core::result<std::shared_ptr<const forward::route_table>>(content.error());
        if (!routes) {
            // It was validated before it was accepted, so this host runs another program version.
            m_log.write("configuration_unreadable",
                        {{"revision", std::to_string(newest.revision)},
                         {"error", routes.error().message()}});
            return;
        }
        m_log.write("configuration_in_force",
                    {{"revision", std::to_string(newest.revision)},
                     {"version", std::to_string(routes.value()->content().version)},
                     {"routes", std::to_string(routes.value()->content().routes.size())}});
        m_forwarder->setRoutes(std::move(routes).value());
    }

    std::vector<peer::endpoint_load> ownLoads() const
    {
        std::vector<peer::endpoint_load> loads;
        const auto now = m_forwarder->now();
        for (const auto &[incarnation, target] : m_forwarder->endpoints().all()) {
            const bool lost = forward::endpoint_table::shouldReportLoss(*target, now);
            if (target->running > 0 || lost)
                loads.push_back(
                    {incarnation, target->running, lost ? 1U : 0U, target->waitingTokens});
        }
        return loads;
    }

    void applyLoads(const std::vector<peer::endpoint_load> &loads, std::uint32_t hosts)
    {
        std::map<std::string, std::uint32_t> lost;
        std::map<std::string, forward::reported_load> sums;
        for (const auto &load : loads) {
            sums[load.incarnation] = {load.running, load.waitingTokens};
            if (load.lossReports > 0)
                lost[load.incarnation] = load.lossReports;
        }
        m_forwarder->endpoints().applyLoads(sums, m_forwarder->now());
        m_forwarder->endpoints().applyLossReports(lost, m_forwarder->now());
        // The largest number seen, so that hosts the leader cannot reach keep their share.
        m_hosts = std::max(m_hosts, hosts);
        m_forwarder->retryBudget().setAdditionalRetriesShare(
            1.0 / static_cast<double>(std::max(m_hosts, 1U)));
        useControlList();
    }

    void applyQuarantine(const peer::configuration_lease_answer &answer)
    {
        auto &witness = m_forwarder->crashWitness();
        const auto now = m_forwarder->now();
        const auto before = witness.quarantined(now);
        const bool added = m_crashReporter->read(m_lease->leader(), answer, now);
        const auto after = witness.quarantined(now);
        logQuarantine("part_quarantined", after, before);
        logQuarantine("part_released", before, after);
        if (added)
            m_forwarder->endQuarantined();
        for (const auto &incarnation : answer.enginesToCheck)
            m_forwarder->checkIsRunning(incarnation);
    }

    /// Logs the parts that are in the first list only.
    void logQuarantine(const char *event, const std::vector<policy::quarantined_part> &parts,
                       const std::vector<policy::quarantined_part> &others)
    {
        for (const auto &entry : parts) {
            const bool isInBoth = std::any_of(others.begin(), others.end(), [&](const auto &other) {
                return other.part == entry.part;
            });
            if (isInBoth)
                continue;
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.until - m_forwarder->now());
            m_log.write(event,
                        {{"part", policy::toText(entry.part)},
                         {"left_ms", std::to_string(left.count())},
                         {"releases", std::to_string(entry.releases)},
                         {"leader", m_lease->leader()}});
        }
    }

    void respondToReadiness(const forward::http_head &head,
                            const forward::http_server::responder &respond)
    {
        if (Dialect::httpOperation(head) != http_operation::Readiness) {
            respond({404, "text/plain", {}, "no such call\n"});
            return;
        }
        const bool ready = isReady();
        if (ready != m_wasReady) {
            m_wasReady = ready;
            m_log.write(
                "readiness_changed",
                {{"ready", ready ? "yes" : "no"},
                 {"stopping", m_forwarder->isStopping() ? "yes" : "no"},
                 {"configuration", m_forwarder->routes() ? "yes" : "no"},
                 {"list", m_newestList.hasList() ? "yes" : "no"},
                 {"lease_age_ms",
                  std::to_string(std::min<std::int64_t>(m_lease->age().count(), 999'999))}});
        }
        respond({ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n"});
    }

    asio::io_context &m_context;
    std::shared_ptr<peer::peer_network> m_network;
    core::counter_registry &m_counters;
    forward::event_log &m_log;
    node_settings m_settings;
    std::shared_ptr<policy::memory_budget> m_memory; ///< Null for one of this role alone.
    std::shared_ptr<forward::forwarder> m_forwarder;
    std::shared_ptr<peer::configuration_lease> m_lease;
    std::shared_ptr<forward::endpoint_list_reader<Dialect>> m_listReader;
    std::shared_ptr<forward::http_server> m_readinessServer;
    std::shared_ptr<duty_reporter> m_dutyReporter; ///< Null without duties in the settings.
    std::optional<peer::crash_reporter> m_crashReporter; ///< Of what m_forwarder has seen.
    std::uint32_t m_hosts = 0;
    policy::newest_list m_newestList;
    std::uint64_t m_controlListVersion = 0; ///< Of the last list of a control host in force.
    bool m_readsList = false;
    bool m_wasReady = false;
};

} // namespace quetzalcleat::fleet
