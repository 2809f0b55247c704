#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibPeer/connection.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

struct peer_network_options
{
    handshake_identity identity;
    std::string dataCentre;
    bool control = false; ///< Whether this process holds the replicated log.
    core::socket_address address;
    std::vector<core::peer_settings> peers; ///< Without this process.
    /// Set where hosts are named by their IP address and all listen on this port. Then every host
    /// with such a name can be reached without being in `peers`.
    std::uint16_t commonPort = 0;
    connection_options connection;
    std::chrono::milliseconds reconnectMinimum{50};
    /// Well below the 3 s within which a configuration must be in force after a partition ends.
    std::chrono::milliseconds reconnectMaximum{1000};
    /// An unused connection is closed after this time, unless keepConnected() was called for it.
    std::chrono::milliseconds idleTime{10'000};
};

/// The connections of a process to its peers. A connection that fails is replaced with exponential
/// back-off and jitter.
///
/// Belongs to the thread of the event loop.
class peer_network : public std::enable_shared_from_this<peer_network>
{
public:
    using receiver = std::function<void(const std::string &host, const message &content)>;

    /// Listens on the peer address. Errors: InvalidAddress, ListenFailed.
    static core::result<std::shared_ptr<peer_network>> create(asio::io_context &context,
                                                              core::counter_registry &counters,
                                                              peer_network_options options);

    void start();
    void stop();

    /// Every receiver gets every message. Receivers must be added before start().
    void addReceiver(receiver receiver);

    /// Sends to a peer, or to this process itself. Without a connection one is opened and the
    /// message waits for it. An accepted message may still be lost; no message is sent twice.
    /// Errors: NotConnected (unknown address, or the last attempts failed), SendQueueFull,
    /// MessageTooLarge, Stopped.
    core::result<void> send(const std::string &host, const message &content);

    /// Keeps a connection to the host open, or lets it be closed when unused.
    void keepConnected(const std::string &host, bool keepOpen);

    bool isConnected(const std::string &host) const;

    const peer_network_options &options() const { return m_options; }
    const std::string &host() const { return m_options.identity.host; }
    std::uint64_t incarnation() const { return m_options.identity.incarnation; }
    asio::io_context &context() { return m_context; }
    core::counter_registry &counters() { return m_counters; }

    /// Settings of a peer, or a null pointer.
    const core::peer_settings *findPeer(const std::string &host) const;
    /// Adds a peer that was discovered after the start.
    void addPeer(core::peer_settings peer);
    std::uint16_t port() const; ///< Port that the network listens on.

private:
    struct link
    {
        std::vector<connection::pointer> open; ///< The most recent one last.
        connection::pointer connecting;
        std::vector<message> waiting; ///< Sent once the connection opens.
        std::unique_ptr<asio::steady_timer> retryTimer; ///< Set while waiting to reconnect.
        std::uint32_t failures = 0;
        bool keepOpen = false;
    };

    peer_network(asio::io_context &context, core::counter_registry &counters,
                 peer_network_options options);

    core::result<void> listen();
    void acceptNext();
    void startIdleTimer();
    void closeIdleConnections(core::instant now);
    connection::handlers makeHandlers();
    void connectTo(const std::string &host);
    void retryLater(const std::string &host);
    void handleOpened(const connection::pointer &opened);
    void handleClosed(const connection::pointer &closed, std::error_code reason);
    void deliver(const std::string &host, const message &content);

    asio::io_context &m_context;
    core::counter_registry &m_counters;
    peer_network_options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_idleTimer;
    std::vector<receiver> m_receivers;
    std::map<std::string, link> m_links;
    /// Hosts named by their IP address that findPeer() was asked for.
    mutable std::map<std::string, core::peer_settings> m_peersByAddress;
    std::vector<connection::pointer> m_unauthenticated;
    std::minstd_rand m_random;
    bool m_stopped = false;
};

} // namespace quetzalcleat::peer
