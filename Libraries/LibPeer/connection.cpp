#include "LibPeer/connection.h"

#include "LibCore/logger.h"
#include "LibPeer/message_codec.h"
#include "LibPeer/peer_error.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace quetzalcleat::peer {

namespace {

/// Body bytes of a fragment. Small enough that heartbeats between fragments are not late.
constexpr std::size_t fragmentBytes = 256 * 1024;

/// Queued frames are joined up to this size, so that many small messages need few system calls.
constexpr std::size_t writeBatchBytes = 64 * 1024;

/// Memory of a queue entry besides its text.
constexpr std::size_t queueEntryBytes = 64;

const core::logger &log()
{
    static const core::logger logger("peer");
    return logger;
}

core::instant currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

connection::connection(asio::ip::tcp::socket socket,
                       std::variant<client_handshake, server_handshake> side, std::string host,
                       connection_options options, handlers handlers)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_handshake(std::move(side)),
      m_options(options), m_handlers(std::move(handlers)), m_host(std::move(host)),
      m_lastReceived(currentTime()), m_lastUsed(m_lastReceived), m_lastTick(m_lastReceived)
{
}

connection::pointer connection::accept(asio::ip::tcp::socket socket, handshake_identity identity,
                                       connection_options options, handlers handlers)
{
    pointer self(new connection(std::move(socket), server_handshake(std::move(identity)), {},
                                options, std::move(handlers)));
    self->startTimer();
    self->startReading();
    return self;
}

connection::pointer connection::connect(asio::io_context &context,
                                        const asio::ip::tcp::endpoint &endpoint,
                                        handshake_identity identity, std::string expectedHost,
                                        connection_options options, handlers handlers)
{
    client_handshake handshake(std::move(identity), expectedHost);
    pointer self(new connection(asio::ip::tcp::socket(context), std::move(handshake),
                                std::move(expectedHost), options, std::move(handlers)));
    self->startTimer();
    self->m_socket.async_connect(endpoint, [self](std::error_code error) {
        if (self->m_state == connection_state::Closed)
            return;
        if (error) {
            self->close(error);
            return;
        }
        self->queueHandshake(std::get<client_handshake>(self->m_handshake).start());
        self->startReading();
    });
    return self;
}

core::result<void> connection::send(const message &content)
{
    if (m_state != connection_state::Open)
        return peer_error::NotConnected;
    auto encoded = encodeForPeer(content);
    if (!encoded) {
        log().error("cannot send a message of type " + std::to_string(content.index()) + " to "
                    + host() + ": " + encoded.error().message());
        return encoded.error();
    }
    auto &body = encoded.value();
    if (!m_queue.empty() && m_queuedBytes + body.size() > m_options.maximumQueuedBytes)
        return peer_error::SendQueueFull;
    m_lastUsed = currentTime();
    if (body.size() <= fragmentBytes) {
        queueBody(std::move(body));
        return {};
    }
    for (std::size_t offset = 0; offset < body.size(); offset += fragmentBytes)
        queueBody(encodeMessage(fragment{body.size(), body.substr(offset, fragmentBytes)}));
    return {};
}

void connection::close(std::error_code reason)
{
    if (m_state == connection_state::Closed)
        return;
    m_state = connection_state::Closed;
    std::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] {
        const auto closed = std::move(self->m_handlers.closed);
        self->m_handlers = {};
        if (closed)
            closed(self, reason);
    });
}

void connection::startReading()
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    readLength();
}

void connection::readLength()
{
    asio::async_read(m_socket, asio::buffer(m_lengthBuffer),
                     [self = shared_from_this()](std::error_code error, std::size_t /*bytes*/) {
                         if (error) {
                             self->close(peer_error::ConnectionClosed);
                             return;
                         }
                         const auto limit
                             = self->isOpen() ? maximumFrameBytes : maximumHandshakeFrameBytes;
                         const auto length = decodeFrameLength(self->m_lengthBuffer, limit);
                         if (!length)
                             self->close(length.error());
                         else
                             self->readFrame(length.value());
                     });
}

void connection::readFrame(std::size_t bytes)
{
    m_frameBuffer.resize(bytes);
    asio::async_read(m_socket, asio::buffer(m_frameBuffer),
                     [self = shared_from_this()](std::error_code error, std::size_t /*bytes*/) {
                         if (error) {
                             self->close(peer_error::ConnectionClosed);
                             return;
                         }
                         if (const auto failure = self->handleFrame())
                             self->close(failure);
                         else if (self->m_state != connection_state::Closed)
                             self->readLength();
                     });
}

std::error_code connection::handleFrame()
{
    if (m_state == connection_state::Closed)
        return {};
    const auto body = m_receiveAuthenticator.open(m_frameBuffer);
    if (!body)
        return body.error();
    const auto content = decodeMessage(body.value());
    if (!content)
        return content.error();
    m_lastReceived = currentTime();
    // Frees the buffer of a large frame, so that an idle connection does not hold the memory.
    if (m_frameBuffer.capacity() > 2 * fragmentBytes)
        std::exchange(m_frameBuffer, {});
    if (m_state == connection_state::Handshake)
        return handleHandshake(content.value());
    return handleMessage(content.value());
}

std::error_code connection::handleMessage(const message &content)
{
    if (const auto *beat = std::get_if<heartbeat>(&content))
        return handleHeartbeat(*beat);
    if (const auto *part = std::get_if<fragment>(&content))
        return handleFragment(*part);
    if (std::holds_alternative<hello>(content) || std::holds_alternative<challenge>(content)
        || std::holds_alternative<challenge_response>(content))
        return peer_error::UnexpectedMessage;
    m_lastUsed = m_lastReceived;
    if (m_handlers.received) {
        // The handler may close the connection, which clears the handlers later but not now.
        m_handlers.received(shared_from_this(), content);
    }
    return {};
}

std::error_code connection::handleFragment(const fragment &part)
{
    if (part.totalBytes > maximumMessageBytes)
        return peer_error::MessageTooLarge;
    if (part.bytes.empty() || (m_reassemblyBytes != 0 && part.totalBytes != m_reassemblyBytes)
        || m_reassembled.size() + part.bytes.size() > part.totalBytes)
        return peer_error::MalformedBody;
    m_reassemblyBytes = part.totalBytes;
    m_reassembled.append(part.bytes);
    if (m_reassembled.size() < m_reassemblyBytes)
        return {};
    const auto complete = std::exchange(m_reassembled, {});
    m_reassemblyBytes = 0;
    const auto content = decodeMessage(complete);
    if (!content)
        return content.error();
    if (std::holds_alternative<fragment>(content.value()))
        return peer_error::UnexpectedMessage;
    return handleMessage(content.value());
}

std::error_code connection::handleHeartbeat(const heartbeat &beat)
{
    if (beat.echo > m_heartbeatSequence || beat.sequence < m_heartbeatReceived)
        return peer_error::UnexpectedMessage;
    m_heartbeatReceived = beat.sequence;
    while (!m_unanswered.empty() && m_unanswered.front().sequence <= beat.echo)
        m_unanswered.pop_front();
    return {};
}

std::error_code connection::handleHandshake(const message &content)
{
    if (auto *client = std::get_if<client_handshake>(&m_handshake)) {
        const auto *received = std::get_if<challenge>(&content);
        if (received == nullptr)
            return peer_error::UnexpectedMessage;
        const auto response = client->receive(*received);
        if (!response)
            return response.error();
        m_incarnation = received->incarnation;
        queueHandshake(response.value());
        becomeOpen(client->keys().fromClient, client->keys().fromServer);
        return {};
    }
    auto &server = std::get<server_handshake>(m_handshake);
    if (const auto *received = std::get_if<hello>(&content)) {
        // A second hello would replace the challenge that the first one has to answer.
        if (!server.client().host.empty())
            return peer_error::UnexpectedMessage;
        const auto answer = server.receive(*received);
        if (!answer)
            return answer.error();
        queueHandshake(answer.value());
        return {};
    }
    const auto *response = std::get_if<challenge_response>(&content);
    if (response == nullptr || server.client().host.empty())
        return peer_error::UnexpectedMessage;
    if (const auto accepted = server.receive(*response); !accepted)
        return accepted.error();
    m_host = server.client().host;
    m_incarnation = server.client().incarnation;
    becomeOpen(server.keys().fromServer, server.keys().fromClient);
    return {};
}

void connection::becomeOpen(std::string sendKey, std::string receiveKey)
{
    m_sendAuthenticator = frame_authenticator(std::move(sendKey));
    m_receiveAuthenticator = frame_authenticator(std::move(receiveKey));
    m_state = connection_state::Open;
    checkHeartbeats(currentTime());
    if (m_handlers.opened)
        m_handlers.opened(shared_from_this());
}

void connection::queueHandshake(const message &content)
{
    // Sealed now, without a tag, since the session keys may be set before it is written.
    queue_entry entry{m_sendAuthenticator.seal(encodeMessage(content)), true};
    m_queuedBytes += entry.bytes.size() + queueEntryBytes;
    m_queue.push_back(std::move(entry));
    writeQueued();
}

void connection::queueBody(std::string body)
{
    m_queuedBytes += body.size() + queueEntryBytes;
    m_queue.push_back({std::move(body), false});
    writeQueued();
}

void connection::queueHeartbeat(std::string body)
{
    // Ahead of queued data, but after the handshake messages.
    m_queuedBytes += body.size() + queueEntryBytes;
    const auto position = std::find_if(m_queue.begin(), m_queue.end(),
                                       [](const auto &entry) { return !entry.sealed; });
    m_queue.insert(position, {std::move(body), false});
    writeQueued();
}

void connection::writeQueued()
{
    if (m_writing || m_queue.empty() || m_state == connection_state::Closed)
        return;
    m_writing = true;
    m_writeBuffer.clear();
    while (!m_queue.empty() && m_writeBuffer.size() < writeBatchBytes) {
        const auto &entry = m_queue.front();
        m_writeBuffer.append(entry.sealed ? entry.bytes : m_sendAuthenticator.seal(entry.bytes));
        m_queuedBytes -= entry.bytes.size() + queueEntryBytes;
        m_queue.pop_front();
    }
    asio::async_write(m_socket, asio::buffer(m_writeBuffer),
                      [self = shared_from_this()](std::error_code error, std::size_t /*bytes*/) {
                          self->m_writing = false;
                          if (error)
                              self->close(peer_error::ConnectionClosed);
                          else
                              self->writeQueued();
                      });
}

void connection::startTimer()
{
    m_timer.expires_after(m_state == connection_state::Handshake ? m_options.handshakeTimeout
                                                                 : m_options.heartbeatInterval);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_state == connection_state::Closed)
            return;
        if (self->m_state == connection_state::Handshake) {
            self->close(peer_error::HandshakeTimeout);
            return;
        }
        self->checkHeartbeats(currentTime());
    });
}

void connection::checkHeartbeats(core::instant now)
{
    // After a pause of this process, answers may still be unread in the socket: the peer is not
    // necessarily silent.
    const bool paused = now - m_lastTick > 2 * m_options.heartbeatInterval;
    m_lastTick = now;
    if (paused) {
        m_lastReceived = now;
        for (auto &beat : m_unanswered)
            beat.at = now;
    }
    const bool echoOverdue
        = !m_unanswered.empty() && now - m_unanswered.front().at > m_options.silenceTimeout;
    if (echoOverdue || now - m_lastReceived > m_options.silenceTimeout) {
        close(peer_error::HeartbeatTimeout);
        return;
    }
    ++m_heartbeatSequence;
    m_unanswered.push_back({m_heartbeatSequence, now});
    queueHeartbeat(encodeMessage(heartbeat{m_heartbeatSequence, m_heartbeatReceived}));
    startTimer();
}

} // namespace quetzalcleat::peer
