#include "LibPeer/peer_network.h"

#include "LibCore/logger.h"
#include "LibPeer/peer_error.h"

#include <algorithm>

#include <asio/ip/address.hpp>
#include <asio/post.hpp>

namespace quetzalcleat::peer {

namespace {

/// Inbound connections in their handshake; more are closed at once.
constexpr std::size_t maximumUnauthenticated = 256;

/// Bound of the links, as hosts that are not in the settings may connect, such as replacements.
constexpr std::size_t maximumLinks = 4096;

/// Messages that wait for a connection to open.
constexpr std::size_t maximumWaiting = 64;

/// Open connections with one host. Two arise when both sides connect at once; a further one
/// replaces the oldest, which the other side may have given up.
constexpr std::size_t maximumConnectionsPerHost = 2;

constexpr std::chrono::milliseconds idleCheckInterval{1000};

/// Pause after a failed accept, for example when there are no file descriptors left.
constexpr std::chrono::milliseconds acceptRetryDelay{100};

const core::logger &log()
{
    static const core::logger logger("peer");
    return logger;
}

core::result<asio::ip::tcp::endpoint> parseEndpoint(const core::socket_address &address)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        return peer_error::InvalidAddress;
    return asio::ip::tcp::endpoint(ip, address.port);
}

} // namespace

peer_network::peer_network(asio::io_context &context, core::counter_registry &counters,
                           peer_network_options options)
    : m_context(context), m_counters(counters), m_options(std::move(options)), m_acceptor(context),
      m_acceptTimer(context), m_idleTimer(context), m_random(std::random_device{}())
{
}

core::result<std::shared_ptr<peer_network>> peer_network::create(asio::io_context &context,
                                                                 core::counter_registry &counters,
                                                                 peer_network_options options)
{
    std::shared_ptr<peer_network> self(new peer_network(context, counters, std::move(options)));
    if (const auto listening = self->listen(); !listening)
        return listening.error();
    return self;
}

core::result<void> peer_network::listen()
{
    const auto endpoint = parseEndpoint(m_options.address);
    if (!endpoint)
        return endpoint.error();
    std::error_code error;
    m_acceptor.open(endpoint.value().protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint.value(), error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        log().error("cannot listen on " + m_options.address.text() + ": " + error.message());
        return peer_error::ListenFailed;
    }
    return {};
}

std::uint16_t peer_network::port() const
{
    std::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void peer_network::start()
{
    acceptNext();
    startIdleTimer();
}

void peer_network::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    std::error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    m_idleTimer.cancel();
    auto connections = std::move(m_unauthenticated);
    for (auto &[host, link] : m_links) {
        connections.insert(connections.end(), link.open.begin(), link.open.end());
        if (link.connecting)
            connections.push_back(link.connecting);
    }
    m_links.clear();
    for (const auto &connection : connections)
        connection->close(peer_error::Stopped);
    // The receivers may own this object.
    asio::post(m_context, [self = shared_from_this()] { self->m_receivers.clear(); });
}

void peer_network::addReceiver(receiver receiver)
{
    m_receivers.push_back(std::move(receiver));
}

const core::peer_settings *peer_network::findPeer(const std::string &host) const
{
    const auto found = std::find_if(m_options.peers.begin(), m_options.peers.end(),
                                    [&](const auto &peer) { return peer.name == host; });
    if (found != m_options.peers.end())
        return &*found;
    if (m_options.commonPort == 0)
        return nullptr;
    const auto known = m_peersByAddress.find(host);
    if (known != m_peersByAddress.end())
        return &known->second;
    std::error_code invalid;
    asio::ip::make_address(host, invalid);
    if (invalid || m_peersByAddress.size() >= maximumLinks)
        return nullptr;
    return &m_peersByAddress
                .emplace(host, core::peer_settings{host, {}, {host, m_options.commonPort}, false})
                .first->second;
}

void peer_network::addPeer(core::peer_settings peer)
{
    const bool known = std::any_of(m_options.peers.begin(), m_options.peers.end(),
                                   [&](const auto &entry) { return entry.name == peer.name; });
    if (!known && peer.name != m_options.identity.host)
        m_options.peers.push_back(std::move(peer));
}

core::result<void> peer_network::send(const std::string &host, const message &content)
{
    if (m_stopped)
        return peer_error::Stopped;
    if (host == m_options.identity.host) {
        asio::post(m_context,
                   [self = shared_from_this(), host, content] { self->deliver(host, content); });
        return {};
    }
    const auto found = m_links.find(host);
    if (found != m_links.end() && !found->second.open.empty())
        return found->second.open.back()->send(content);
    if (findPeer(host) == nullptr)
        return peer_error::NotConnected;
    auto &link = m_links[host];
    if (link.retryTimer)
        return peer_error::NotConnected;
    if (link.waiting.size() >= maximumWaiting)
        return peer_error::SendQueueFull;
    link.waiting.push_back(content);
    if (!link.connecting)
        connectTo(host);
    return {};
}

void peer_network::keepConnected(const std::string &host, bool keepOpen)
{
    if (m_stopped || host == m_options.identity.host)
        return;
    if (!keepOpen && !m_links.contains(host))
        return;
    auto &link = m_links[host];
    link.keepOpen = keepOpen;
    if (keepOpen && link.open.empty() && !link.connecting && !link.retryTimer)
        connectTo(host);
}

bool peer_network::isConnected(const std::string &host) const
{
    const auto found = m_links.find(host);
    return host == m_options.identity.host
        || (found != m_links.end() && !found->second.open.empty());
}

void peer_network::acceptNext()
{
    m_acceptor.async_accept(
        [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
            if (self->m_stopped)
                return;
            if (error) {
                self->m_acceptTimer.expires_after(acceptRetryDelay);
                self->m_acceptTimer.async_wait([self](std::error_code cancelled) {
                    if (!cancelled && !self->m_stopped)
                        self->acceptNext();
                });
                return;
            }
            if (self->m_unauthenticated.size() < maximumUnauthenticated)
                self->m_unauthenticated.push_back(
                    connection::accept(std::move(socket), self->m_options.identity,
                                       self->m_options.connection, self->makeHandlers()));
            self->acceptNext();
        });
}

connection::handlers peer_network::makeHandlers()
{
    const std::weak_ptr<peer_network> weak = weak_from_this();
    return {[weak](const connection::pointer &opened) {
                if (const auto self = weak.lock())
                    self->handleOpened(opened);
            },
            [weak](const connection::pointer &source, const message &content) {
                if (const auto self = weak.lock())
                    self->deliver(source->host(), content);
            },
            [weak](const connection::pointer &closed, std::error_code reason) {
                if (const auto self = weak.lock())
                    self->handleClosed(closed, reason);
            }};
}

void peer_network::connectTo(const std::string &host)
{
    const auto *peer = findPeer(host);
    if (peer == nullptr)
        return;
    const auto endpoint = parseEndpoint(peer->address);
    if (!endpoint)
        return;
    m_links[host].connecting = connection::connect(m_context, endpoint.value(), m_options.identity,
                                                   host, m_options.connection, makeHandlers());
}

void peer_network::retryLater(const std::string &host)
{
    auto &link = m_links[host];
    const auto doublings = std::min<std::uint32_t>(link.failures, 16);
    const auto delay
        = std::min(m_options.reconnectMaximum, m_options.reconnectMinimum * (1U << doublings));
    ++link.failures;
    // Between half and all of the delay, so that many hosts do not reconnect in step.
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    link.retryTimer = std::make_unique<asio::steady_timer>(
        m_context, std::chrono::milliseconds(jitter(m_random)));
    link.retryTimer->async_wait([self = shared_from_this(), host](std::error_code error) {
        if (error || self->m_stopped)
            return;
        auto &waiting = self->m_links[host];
        waiting.retryTimer.reset();
        if (waiting.keepOpen && waiting.open.empty() && !waiting.connecting)
            self->connectTo(host);
    });
}

void peer_network::handleOpened(const connection::pointer &opened)
{
    std::erase(m_unauthenticated, opened);
    const auto &host = opened->host();
    if (m_stopped || (m_links.size() >= maximumLinks && !m_links.contains(host))) {
        opened->close(peer_error::Stopped);
        return;
    }
    auto &link = m_links[host];
    if (link.connecting == opened)
        link.connecting.reset();
    link.open.push_back(opened);
    if (link.open.size() > maximumConnectionsPerHost)
        link.open.front()->close(peer_error::ConnectionClosed);
    ++m_counters.counter("peer_connections_opened_total");
    log().debug("connection with " + host + " is open");
    const auto waiting = std::exchange(link.waiting, {});
    for (const auto &content : waiting)
        (void)opened->send(content);
}

void peer_network::handleClosed(const connection::pointer &closed, std::error_code reason)
{
    std::erase(m_unauthenticated, closed);
    ++m_counters.counter("peer_connections_closed_total", "reason=\"" + reason.message() + '"');
    const auto found = m_links.find(closed->host());
    if (m_stopped || found == m_links.end())
        return;
    auto &link = found->second;
    const bool wasOpen = std::erase(link.open, closed) != 0;
    const bool wasConnecting = link.connecting == closed;
    if (wasConnecting) {
        link.connecting.reset();
        link.waiting.clear();
    }
    if (wasOpen) {
        log().debug("connection with " + closed->host() + " closed: " + reason.message());
        // A connection that opened but went silent keeps its back-off; any other close resets it.
        link.failures = reason == peer_error::HeartbeatTimeout ? link.failures : 0;
    }
    if (!link.open.empty() || link.connecting || link.retryTimer)
        return;
    if (link.keepOpen || wasConnecting)
        retryLater(closed->host());
    else if (findPeer(closed->host()) == nullptr)
        m_links.erase(found);
}

void peer_network::startIdleTimer()
{
    m_idleTimer.expires_after(idleCheckInterval);
    m_idleTimer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->closeIdleConnections(std::chrono::steady_clock::now());
        self->startIdleTimer();
    });
}

void peer_network::closeIdleConnections(core::instant now)
{
    for (auto &[host, link] : m_links) {
        if (link.keepOpen)
            continue;
        const auto connections = link.open;
        for (const auto &connection : connections) {
            if (connection->isOutbound() && now - connection->lastUsed() > m_options.idleTime)
                connection->close(peer_error::ConnectionClosed);
        }
    }
}

void peer_network::deliver(const std::string &host, const message &content)
{
    if (m_stopped)
        return;
    for (const auto &receiver : m_receivers)
        receiver(host, content);
}

} // namespace quetzalcleat::peer
