#pragma once

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibPeer/frame.h"
#include "LibPeer/handshake.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

struct connection_options
{
    std::chrono::milliseconds heartbeatInterval{500};
    /// The connection is closed if for this long no frame arrives, or no echo of a heartbeat.
    std::chrono::milliseconds silenceTimeout{2000};
    std::chrono::milliseconds handshakeTimeout{2000};
    /// Bound of the send queue. A single larger message is accepted when the queue is empty.
    std::size_t maximumQueuedBytes = 4 * 1024 * 1024;
};

/// An authenticated connection to another process. The object owns itself while the socket is open.
///
/// Both sides send heartbeats that echo the last one received, so that a link that has become
/// silent in either direction is closed by both.
class connection : public std::enable_shared_from_this<connection>
{
public:
    using pointer = std::shared_ptr<connection>;

    struct handlers
    {
        std::function<void(const pointer &)> opened; ///< The handshake is over.
        std::function<void(const pointer &, const message &)> received;
        /// Called exactly once, and last, also if the connection never opened.
        std::function<void(const pointer &, std::error_code)> closed;
    };

    static pointer accept(asio::ip::tcp::socket socket, handshake_identity identity,
                          connection_options options, handlers handlers);

    static pointer connect(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                           handshake_identity identity, std::string expectedHost,
                           connection_options options, handlers handlers);

    /// Queues a message. Errors: NotConnected, SendQueueFull, MessageTooLarge.
    core::result<void> send(const message &content);

    /// Closes the socket; the closed handler is called from the event loop.
    void close(std::error_code reason);

    bool isOpen() const { return m_state == connection_state::Open; }
    const std::string &host() const { return m_host; } ///< Authenticated once open.
    std::uint64_t incarnation() const { return m_incarnation; }
    bool isOutbound() const { return std::holds_alternative<client_handshake>(m_handshake); }

    /// When a message other than a heartbeat was last sent or received.
    core::instant lastUsed() const { return m_lastUsed; }

private:
    enum class connection_state { Handshake, Open, Closed };

    struct queue_entry
    {
        std::string bytes; ///< A body, or a complete frame.
        bool sealed; ///< Whether it is a complete frame.
    };

    struct sent_heartbeat
    {
        std::uint64_t sequence;
        core::instant at;
    };

    connection(asio::ip::tcp::socket socket, std::variant<client_handshake, server_handshake> side,
               std::string host, connection_options options, handlers handlers);

    void startReading();
    void readLength();
    void readFrame(std::size_t bytes);
    std::error_code handleFrame();
    std::error_code handleMessage(const message &content);
    std::error_code handleFragment(const fragment &part);
    std::error_code handleHeartbeat(const heartbeat &beat);
    std::error_code handleHandshake(const message &content);
    void becomeOpen(std::string sendKey, std::string receiveKey);

    void queueHandshake(const message &content);
    void queueBody(std::string body);
    void queueHeartbeat(std::string body);
    void writeQueued();
    void startTimer();
    void checkHeartbeats(core::instant now);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::variant<client_handshake, server_handshake> m_handshake;
    connection_options m_options;
    handlers m_handlers;
    connection_state m_state = connection_state::Handshake;

    std::string m_host;
    std::uint64_t m_incarnation = 0;

    frame_authenticator m_sendAuthenticator;
    frame_authenticator m_receiveAuthenticator;
    std::array<char, frameLengthBytes> m_lengthBuffer{};
    std::string m_frameBuffer;
    std::string m_reassembled; ///< Fragments of a message received so far.
    std::uint64_t m_reassemblyBytes = 0; ///< Announced size; 0 if no message is being reassembled.

    std::deque<queue_entry> m_queue;
    std::size_t m_queuedBytes = 0;
    std::string m_writeBuffer;
    bool m_writing = false;

    core::instant m_lastReceived;
    core::instant m_lastUsed;
    core::instant m_lastTick;
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_heartbeatReceived = 0;
    std::deque<sent_heartbeat> m_unanswered;
};

} // namespace quetzalcleat::peer
