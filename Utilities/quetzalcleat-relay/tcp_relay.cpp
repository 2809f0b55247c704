#include "tcp_relay.h"

#include <system_error>

#include <asio/write.hpp>

namespace quetzalcleat::relay {

namespace {

std::size_t indexOf(direction way)
{
    return static_cast<std::size_t>(way);
}

} // namespace

std::shared_ptr<tcp_relay> tcp_relay::create(asio::io_context &context, std::uint16_t port,
                                             const asio::ip::tcp::endpoint &target)
{
    std::shared_ptr<tcp_relay> self(new tcp_relay(context, target));
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    std::error_code error;
    self->m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        self->m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        self->m_acceptor.bind(endpoint, error);
    if (!error)
        self->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return nullptr;
    self->acceptNext();
    return self;
}

std::uint16_t tcp_relay::port() const
{
    std::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void tcp_relay::setCut(direction way, bool cut)
{
    m_cut[indexOf(way)] = cut;
    if (cut)
        return;
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        if (session->transfers[indexOf(way)].held && !session->silent)
            forward(session, way);
    }
}

void tcp_relay::silenceOpenConnections()
{
    for (const auto &session : m_sessions)
        session->silent = true;
}

void tcp_relay::closeOpenConnections()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions)
        close(session);
}

void tcp_relay::stop()
{
    m_stopped = true;
    std::error_code ignored;
    m_acceptor.close(ignored);
    closeOpenConnections();
}

void tcp_relay::acceptNext()
{
    m_acceptor.async_accept(
        [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
            if (error || self->m_stopped)
                return;
            auto created = std::make_shared<session>(self->m_context);
            created->client = std::move(socket);
            self->m_sessions.push_back(created);
            created->target.async_connect(self->m_target, [self, created](std::error_code failure) {
                if (failure) {
                    self->close(created);
                    return;
                }
                std::error_code ignored;
                created->client.set_option(asio::ip::tcp::no_delay(true), ignored);
                created->target.set_option(asio::ip::tcp::no_delay(true), ignored);
                self->read(created, direction::Forward);
                self->read(created, direction::Backward);
            });
            self->acceptNext();
        });
}

void tcp_relay::read(const session_pointer &session, direction way)
{
    auto &source = way == direction::Forward ? session->client : session->target;
    auto &transfer = session->transfers[indexOf(way)];
    source.async_read_some(
        asio::buffer(transfer.buffer),
        [self = shared_from_this(), session, way](std::error_code error, std::size_t bytes) {
            auto &transfer = session->transfers[indexOf(way)];
            transfer.bytes = bytes;
            transfer.ended = static_cast<bool>(error);
            self->forward(session, way);
        });
}

void tcp_relay::forward(const session_pointer &session, direction way)
{
    auto &transfer = session->transfers[indexOf(way)];
    transfer.held = m_cut[indexOf(way)] || session->silent;
    if (transfer.held || m_stopped)
        return;
    if (m_delay == std::chrono::milliseconds::zero()) {
        write(session, way);
        return;
    }
    transfer.timer.expires_after(m_delay);
    transfer.timer.async_wait([self = shared_from_this(), session, way](std::error_code error) {
        if (!error)
            self->write(session, way);
    });
}

void tcp_relay::write(const session_pointer &session, direction way)
{
    auto &transfer = session->transfers[indexOf(way)];
    if (transfer.ended) {
        close(session);
        return;
    }
    m_forwardedBytes += transfer.bytes;
    auto &destination = way == direction::Forward ? session->target : session->client;
    asio::async_write(
        destination, asio::buffer(transfer.buffer.data(), transfer.bytes),
        [self = shared_from_this(), session, way](std::error_code error, std::size_t /*bytes*/) {
            if (error) {
                // The source learns of the lost connection only while this direction is not cut.
                session->transfers[indexOf(way)].ended = true;
                self->forward(session, way);
                return;
            }
            self->read(session, way);
        });
}

void tcp_relay::close(const session_pointer &session)
{
    std::error_code ignored;
    session->client.close(ignored);
    session->target.close(ignored);
    for (auto &transfer : session->transfers)
        transfer.timer.cancel();
    std::erase(m_sessions, session);
}

} // namespace quetzalcleat::relay
