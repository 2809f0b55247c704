#include "LibPeer/configuration_lease.h"

#include "LibCore/logger.h"
#include "LibPeer/document_patch.h"
#include "LibPeer/text_compression.h"
#include "LibState/command.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::peer {

namespace {

/// Requests whose answers are still accepted.
constexpr std::size_t maximumOpenRequests = 64;

const core::logger &log()
{
    static const core::logger logger("configuration-lease");
    return logger;
}

} // namespace

std::chrono::milliseconds configuration_lease_options::intervalFor(std::uint32_t hosts) const
{
    return std::clamp(interval * hosts / fleetSizeAtBaseInterval, interval, maximumInterval);
}

configuration_lease::configuration_lease(std::shared_ptr<peer_network> network,
                                         std::vector<std::string> seeds,
                                         configuration_lease_options options, handlers handlers)
    : m_network(std::move(network)), m_seeds(std::move(seeds)), m_options(std::move(options)),
      m_handlers(std::move(handlers)), m_timer(m_network->context())
{
}

std::shared_ptr<configuration_lease>
configuration_lease::create(std::shared_ptr<peer_network> network, std::vector<std::string> seeds,
                            configuration_lease_options options, handlers handlers)
{
    std::shared_ptr<configuration_lease> self(new configuration_lease(
        std::move(network), std::move(seeds), std::move(options), std::move(handlers)));
    const std::weak_ptr<configuration_lease> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const message &content) {
        const auto *answer = std::get_if<configuration_lease_answer>(&content);
        const auto lease = weak.lock();
        if (answer != nullptr && lease)
            lease->receive(host, *answer);
    });
    return self;
}

void configuration_lease::start()
{
    sendRequest();
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
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_options.now() - *m_confirmedAt);
}

std::chrono::milliseconds configuration_lease::listAge() const
{
    const auto readAt = m_endpoints.readAt();
    if (!readAt)
        return std::chrono::milliseconds::max();
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_options.now() - *readAt);
}

void configuration_lease::startTimer()
{
    m_timer.expires_after(interval());
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->sendRequest();
        self->startTimer();
    });
}

/// Tolerates the loss of two answers at any interval.
std::chrono::milliseconds configuration_lease::leaderSearchDelay() const
{
    return m_options.leaderSearchDelay + 2 * (interval() - m_options.interval);
}

void configuration_lease::sendRequest()
{
    const auto now = m_options.now();
    const bool searching = age() > leaderSearchDelay();
    if (m_wasConfirmed && searching) {
        m_wasConfirmed = false;
        if (m_handlers.confirmationChanged)
            m_handlers.confirmationChanged(false);
    }
    configuration_lease_request request;
    request.sequence = ++m_sequence;
    request.revision = m_needsDocument ? 0 : m_revision;
    if (m_handlers.ownLoads)
        request.loads = m_handlers.ownLoads();
    if (m_handlers.addCrashes)
        m_handlers.addCrashes(request);
    request.listEpoch = m_endpoints.epoch();
    request.listVersion = m_endpoints.version();
    m_requestTimes[request.sequence] = now;
    if (m_requestTimes.size() > maximumOpenRequests)
        m_requestTimes.erase(m_requestTimes.begin());
    if (!searching && !m_leader.empty()) {
        (void)m_network->send(m_leader, request);
        return;
    }
    // Send errors are ignored: the next request follows soon, and the peer network reconnects.
    std::set<std::string> hosts(m_seeds.begin(), m_seeds.end());
    hosts.insert(m_controlHosts.begin(), m_controlHosts.end());
    if (!m_leader.empty())
        hosts.insert(m_leader);
    for (const auto &host : hosts)
        (void)m_network->send(host, request);
}

void configuration_lease::receive(const std::string &host, const configuration_lease_answer &answer)
{
    if (m_stopped)
        return;
    if (answer.hasDocument && answer.configuration.revision > m_revision)
        applyConfiguration(answer);
    const bool searching = age() > leaderSearchDelay();
    if (!answer.confirmed) {
        if (searching && !answer.leader.empty())
            m_leader = answer.leader;
        return;
    }
    m_leader = host;
    m_hostCount = answer.hosts;
    if (!answer.controlHosts.empty())
        m_controlHosts = {answer.controlHosts.begin(), answer.controlHosts.end()};
    const auto requestTime = m_requestTimes.find(answer.sequence);
    if (requestTime == m_requestTimes.end() || answer.revision > m_revision)
        return;
    const auto requestedAt = requestTime->second;
    if (!m_confirmedAt || requestedAt > *m_confirmedAt)
        m_confirmedAt = requestedAt;
    m_requestTimes.erase(m_requestTimes.begin(), std::next(requestTime));
    m_endpoints.apply(answer.endpoints, requestedAt);
    if (m_handlers.quarantine)
        m_handlers.quarantine(answer);
    if (m_handlers.loads)
        m_handlers.loads(answer.loads, answer.hosts);
    if (!std::exchange(m_wasConfirmed, true) && m_handlers.confirmationChanged)
        m_handlers.confirmationChanged(true);
}

void configuration_lease::applyConfiguration(const configuration_lease_answer &answer)
{
    auto newest = answer.configuration;
    const bool isPatch = answer.patch.baseRevision != 0;
    // The patch has another base; the next request reports the revision that this host has.
    if (isPatch && answer.patch.baseRevision != m_revision)
        return;
    auto document = isPatch
        ? applyPatch(m_document, answer.patch)
        : decompressText(answer.compressedDocument, state::maximumDocumentBytes);
    m_needsDocument = !document;
    if (!document) {
        log().warning((isPatch ? "cannot apply the patch to revision "
                               : "cannot decompress the document of revision ")
                      + std::to_string(newest.revision) + " at revision "
                      + std::to_string(m_revision) + "; requesting the complete document");
        return;
    }
    newest.document = std::move(*document);
    m_revision = newest.revision;
    m_document = newest.document;
    if (m_handlers.changed)
        m_handlers.changed(newest);
}

} // namespace quetzalcleat::peer
