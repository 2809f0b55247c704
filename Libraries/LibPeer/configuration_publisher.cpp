#include "LibPeer/configuration_publisher.h"

#include <algorithm>

namespace quetzalcleat::peer {

namespace {

/// A subscriber that has not renewed its subscription for this long gets no more pushes.
constexpr std::chrono::milliseconds subscriptionLifetime{5000};

/// Reports of hosts are dropped after this time.
constexpr std::chrono::milliseconds reportLifetime{60'000};

constexpr std::chrono::milliseconds reportInterval{500};

/// An unchanged report is repeated this often; with 60 subscribers it has about 2.5 KB.
constexpr std::chrono::milliseconds repeatInterval{5000};

constexpr std::size_t maximumSubscribers = 4096;

/// Hosts in a report; below maximumListLength of the decoder.
constexpr std::size_t maximumReportedHosts = 4000;

core::instant currentTime()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t millisecondsSince(core::instant time)
{
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - time).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
}

} // namespace

configuration_publisher::configuration_publisher(std::shared_ptr<peer_network> network,
                                                 std::shared_ptr<configuration_feed> feed)
    : m_network(std::move(network)), m_feed(std::move(feed)), m_timer(m_network->context())
{
}

std::shared_ptr<configuration_publisher>
configuration_publisher::create(std::shared_ptr<peer_network> network,
                                std::shared_ptr<configuration_feed> feed)
{
    std::shared_ptr<configuration_publisher> self(
        new configuration_publisher(std::move(network), std::move(feed)));
    const std::weak_ptr<configuration_publisher> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const message &content) {
        if (const auto publisher = weak.lock())
            publisher->receive(host, content);
    });
    self->m_feed->onPublished([weak](const state::configuration & /*configuration*/) {
        if (const auto publisher = weak.lock())
            publisher->push();
    });
    return self;
}

void configuration_publisher::start()
{
    if (m_network->options().control)
        startTimer();
}

void configuration_publisher::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_confirmationStatus = {};
}

void configuration_publisher::receive(const std::string &host, const message &content)
{
    if (m_stopped)
        return;
    if (const auto *request = std::get_if<subscribe>(&content))
        handleSubscribe(host, *request);
    else if (const auto *report = std::get_if<status_report>(&content))
        handleReport(*report);
    else if (std::holds_alternative<status_request>(content) && m_network->options().control)
        (void)m_network->send(host, knownHosts());
}

void configuration_publisher::handleSubscribe(const std::string &host, const subscribe &request)
{
    if (m_subscribers.size() >= maximumSubscribers && !m_subscribers.contains(host))
        return;
    m_subscribers[host] = {request.revision, request.push, currentTime()};
    sendUpdate(host, m_feed->revision() > request.revision);
}

void configuration_publisher::push()
{
    if (m_stopped)
        return;
    const auto now = currentTime();
    std::erase_if(m_subscribers,
                  [&](const auto &entry) { return now - entry.second.lastSeen > reportLifetime; });
    for (const auto &[host, subscriber] : m_subscribers) {
        if (subscriber.push && now - subscriber.lastSeen <= subscriptionLifetime
            && host != m_network->host())
            sendUpdate(host, m_feed->revision() > subscriber.revision);
    }
}

void configuration_publisher::sendUpdate(const std::string &host, bool withDocument)
{
    configuration_update update;
    if (withDocument)
        update.configuration = m_feed->current();
    update.configuration.revision = m_feed->revision();
    update.hasDocument = withDocument;
    if (m_confirmationStatus) {
        const auto status = m_confirmationStatus();
        update.confirmed = status.confirmed;
        update.leader = status.leader;
    }
    (void)m_network->send(host, update);
}

void configuration_publisher::startTimer()
{
    m_timer.expires_after(reportInterval);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->reportToControlHosts();
        self->startTimer();
    });
}

void configuration_publisher::reportToControlHosts()
{
    auto report = ownSubscribers();
    auto withoutAges = report.hosts;
    for (auto &host : withoutAges)
        host.ageMilliseconds = 0;
    const auto now = currentTime();
    if (withoutAges == m_lastReport && now - m_lastReportAt < repeatInterval)
        return;
    m_lastReport = std::move(withoutAges);
    m_lastReportAt = now;
    for (const auto &peer : m_network->options().peers) {
        if (peer.control && m_network->isConnected(peer.name))
            (void)m_network->send(peer.name, report);
    }
}

void configuration_publisher::handleReport(const status_report &report)
{
    if (!m_network->options().control)
        return;
    const auto now = currentTime();
    for (const auto &host : report.hosts) {
        if (m_reported.size() >= maximumSubscribers && !m_reported.contains(host.host))
            continue;
        m_reported[host.host] = {host, now};
    }
    std::erase_if(m_reported, [&](const auto &entry) {
        return now - entry.second.receivedAt > reportLifetime;
    });
}

status_report configuration_publisher::ownSubscribers() const
{
    status_report report;
    report.hosts.push_back({m_network->host(), m_network->incarnation(), m_feed->revision(), 0});
    for (const auto &[host, subscriber] : m_subscribers) {
        if (host != m_network->host() && report.hosts.size() < maximumReportedHosts)
            report.hosts.push_back(
                {host, 0, subscriber.revision, millisecondsSince(subscriber.lastSeen)});
    }
    return report;
}

status_report configuration_publisher::knownHosts() const
{
    auto report = ownSubscribers();
    for (const auto &entry : m_reported) {
        const auto &reported = entry.second;
        const bool isSubscriber
            = std::any_of(report.hosts.begin(), report.hosts.end(),
                          [&](const auto &known) { return known.host == reported.report.host; });
        if (isSubscriber || report.hosts.size() >= maximumReportedHosts)
            continue;
        report.hosts.push_back(reported.report);
        report.hosts.back().ageMilliseconds += millisecondsSince(reported.receivedAt);
    }
    return report;
}

} // namespace quetzalcleat::peer
