#include "LibPeer/configuration_lease.h"

#include "LibCore/logger.h"
#include "LibPeer/document_patch.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::peer {

namespace {

/// Requests whose answers may still come.
constexpr std::size_t maximumAsked = 64;

const core::logger &log()
{
    static const core::logger logger("configuration-lease");
    return logger;
}

} // namespace

std::chrono::milliseconds configuration_lease_options::intervalFor(std::uint32_t hosts) const
{
    return std::clamp(interval * hosts / hostsAtInterval, interval, longestInterval);
}

configuration_lease::configuration_lease(std::shared_ptr<peer_network> network,
                                         std::vector<std::string> seeds,
                                         configuration_lease_options options, handlers handlers)
    : m_network(std::move(network)), m_seeds(std::move(seeds)), m_options(options),
      m_handlers(std::move(handlers)), m_timer(m_network->context())
{
}

std::shared_ptr<configuration_lease>
configuration_lease::create(std::shared_ptr<peer_network> network, std::vector<std::string> seeds,
                            configuration_lease_options options, handlers handlers)
{
    std::shared_ptr<configuration_lease> self(new configuration_lease(
        std::move(network), std::move(seeds), options, std::move(handlers)));
    const std::weak_ptr<configuration_lease> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const message &content) {
        const auto *answer = std::get_if<lease_answer>(&content);
        const auto lease = weak.lock();
        if (answer != nullptr && lease)
            lease->receive(host, *answer);
    });
    return self;
}

void configuration_lease::start()
{
    ask();
    startTimer();
}

void configuration_lease::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_handlers = {};
}

std::chrono::milliseconds configuration_lease::age() const
{
    if (!m_confirmedAt)
        return std::chrono::milliseconds::max();
    return std::chrono::duration_cast<std::chrono::milliseconds>(core::suspendAwareNow()
                                                                 - *m_confirmedAt);
}

std::chrono::milliseconds configuration_lease::listAge() const
{
    if (!m_listReadAt)
        return std::chrono::milliseconds::max();
    return std::chrono::duration_cast<std::chrono::milliseconds>(core::suspendAwareNow()
                                                                 - *m_listReadAt);
}

void configuration_lease::startTimer()
{
    m_timer.expires_after(interval());
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->ask();
        self->startTimer();
    });
}

/// Two answers may be lost before others are asked, whatever the interval.
std::chrono::milliseconds configuration_lease::searchAfter() const
{
    return m_options.searchAfter + 2 * (interval() - m_options.interval);
}

void configuration_lease::ask()
{
    const auto now = core::suspendAwareNow();
    const bool searching = age() > searchAfter();
    if (m_wasConfirmed && searching) {
        m_wasConfirmed = false;
        if (m_handlers.confirmed)
            m_handlers.confirmed(false);
    }
    lease_request request;
    request.sequence = ++m_sequence;
    request.revision = m_needsWhole ? 0 : m_revision;
    if (m_handlers.ownLoads)
        request.loads = m_handlers.ownLoads();
    request.listEpoch = m_endpoints.epoch();
    request.listVersion = m_endpoints.version();
    m_asked[request.sequence] = now;
    if (m_asked.size() > maximumAsked)
        m_asked.erase(m_asked.begin());
    if (!searching && !m_leader.empty()) {
        (void)m_network->send(m_leader, request);
        return;
    }
    // Send errors are met by the next request; the peer network reconnects by itself.
    std::set<std::string> hosts(m_seeds.begin(), m_seeds.end());
    hosts.insert(m_controlHosts.begin(), m_controlHosts.end());
    if (!m_leader.empty())
        hosts.insert(m_leader);
    for (const auto &host : hosts)
        (void)m_network->send(host, request);
}

void configuration_lease::receive(const std::string &host, const lease_answer &answer)
{
    if (m_stopped)
        return;
    if (answer.hasDocument && answer.configuration.revision > m_revision)
        takeConfiguration(answer);
    const bool searching = age() > searchAfter();
    if (!answer.confirmed) {
        if (searching && !answer.leader.empty())
            m_leader = answer.leader;
        return;
    }
    m_leader = host;
    m_hosts = answer.hosts;
    if (!answer.controlHosts.empty())
        m_controlHosts = {answer.controlHosts.begin(), answer.controlHosts.end()};
    const auto asked = m_asked.find(answer.sequence);
    if (asked == m_asked.end() || answer.revision > m_revision)
        return;
    if (!m_confirmedAt || asked->second > *m_confirmedAt)
        m_confirmedAt = asked->second;
    m_asked.erase(m_asked.begin(), std::next(asked));
    if (answer.endpoints.epoch != 0) {
        const bool changed = m_endpoints.apply(answer.endpoints);
        if (m_endpoints.epoch() == answer.endpoints.epoch
            && m_endpoints.version() == answer.endpoints.version)
            m_listReadAt = core::suspendAwareNow()
                - std::chrono::milliseconds(answer.endpoints.ageMilliseconds);
        if (changed && m_handlers.endpoints)
            m_handlers.endpoints(m_endpoints.entries());
    }
    if (m_handlers.loads)
        m_handlers.loads(answer.loads, answer.hosts);
    if (!std::exchange(m_wasConfirmed, true) && m_handlers.confirmed)
        m_handlers.confirmed(true);
}

void configuration_lease::takeConfiguration(const lease_answer &answer)
{
    auto newest = answer.configuration;
    if (answer.patch.baseRevision != 0) {
        // A patch for another revision was overtaken; the next request tells which one is here.
        if (answer.patch.baseRevision != m_revision)
            return;
        auto document = applyPatch(m_document, answer.patch);
        m_needsWhole = !document;
        if (!document) {
            log().warning("the patch to revision " + std::to_string(newest.revision)
                          + " does not fit revision " + std::to_string(m_revision)
                          + "; the whole document is asked for");
            return;
        }
        newest.document = std::move(*document);
    }
    m_needsWhole = false;
    m_revision = newest.revision;
    m_document = newest.document;
    if (m_handlers.changed)
        m_handlers.changed(newest);
}

} // namespace quetzalcleat::peer
