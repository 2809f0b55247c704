#include "LibForward/upstream.h"

#include "LibCore/unexpected_error.h"
#include "LibForward/upstream_socket.h"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace quetzalcleat::forward {

namespace {

constexpr std::size_t readBytes = std::size_t{16} * 1024;
/// An endpoint may send interim responses and late responses to earlier requests up to this size
/// before its response; beyond it, its bytes are taken to have no end.
constexpr std::size_t maximumUnrelatedBytes = std::size_t{256} * 1024;

/// What has arrived and was not read yet, up to readBytes.
std::string arrivedBytes(asio::ip::tcp::socket &socket)
{
    std::string bytes(readBytes, '\0');
    const auto count = ::recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    // Nothing has arrived, or the connection is broken; it is closed in any case.
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

/// Idle time announced by the peer, less a margin for its clock and the network delay.
std::chrono::milliseconds announcedIdleTime(const http_head &head, const upstream_options &options)
{
    constexpr std::chrono::milliseconds margin{700};
    const auto value = head.value("Keep-Alive");
    const auto position = value.find("timeout=");
    if (position == std::string_view::npos)
        return options.idleTime;
    const auto text = value.substr(position + 8);
    const auto seconds = parseNumber(text.substr(0, text.find_first_not_of("0123456789")));
    if (!seconds)
        return options.idleTime;
    const auto longest = std::chrono::ceil<std::chrono::seconds>(options.maximumIdleTime).count();
    const std::chrono::seconds announced(
        std::min<std::uint64_t>(*seconds, static_cast<std::uint64_t>(longest)));
    return std::min<std::chrono::milliseconds>(options.maximumIdleTime, announced) - margin;
}

} // namespace

connection_pool::connection_pointer connection_pool::acquire(const std::string &key)
{
    const auto found = m_idle.find(key);
    if (found == m_idle.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (!connection->socket.is_open() || now - connection->idleSince > connection->idleTime)
            continue;
        connection->isIdle = false;
        std::error_code ignored;
        connection->socket.cancel(ignored);
        return connection;
    }
    return nullptr;
}

bool connection_pool::hasIdle(const std::string &key, core::instant now) const
{
    const auto found = m_idle.find(key);
    return found != m_idle.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &connection) {
               return connection->socket.is_open()
                   && now - connection->idleSince <= connection->idleTime;
           });
}

void connection_pool::release(const connection_pointer &connection,
                              std::chrono::milliseconds idleTime)
{
    auto &idle = m_idle[connection->key];
    if (idle.size() >= m_options.idlePerEndpoint || idleCount() >= m_options.idleConnections
        || idleTime.count() <= 0) {
        std::error_code ignored;
        connection->socket.close(ignored);
        return;
    }
    connection->idleSince = std::chrono::steady_clock::now();
    connection->idleTime = idleTime;
    connection->isIdle = true;
    connection->wasUsedBefore = true;
    idle.push_back(connection);
    watch(connection);
}

std::size_t connection_pool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[key, idle] : m_idle)
        count += idle.size();
    return count;
}

void connection_pool::watch(const connection_pointer &connection)
{
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [connection](std::error_code error) {
                                      if (!error && connection->isIdle) {
                                          std::error_code ignored;
                                          connection->socket.close(ignored);
                                      }
                                  });
}

void connection_pool::open(const core::socket_address &address, const std::string &key,
                           std::function<void(std::error_code)> handler)
{
    connect(address, key,
            [self = shared_from_this(), address, key, handler = std::move(handler)](
                const connection_pointer &connection, std::error_code error) {
                if (!error) {
                    self->release(connection, self->m_options.idleTime);
                    self->confirmThatItLasts(connection, address, handler);
                } else if (error == asio::error::connection_reset) {
                    self->openAgain(address, key, handler);
                } else {
                    handler(error);
                }
            });
}

/// An endpoint that runs may close a connection, too, but accepts the next one.
void connection_pool::openAgain(const core::socket_address &address, const std::string &key,
                                std::function<void(std::error_code)> handler)
{
    connect(address, key,
            [handler = std::move(handler)](const connection_pointer &, std::error_code error) {
                handler(error);
            });
}

void connection_pool::confirmThatItLasts(const connection_pointer &connection,
                                         const core::socket_address &address,
                                         std::function<void(std::error_code)> handler)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.checkTime);
    timer->async_wait([self = shared_from_this(), connection, address, timer,
                       handler = std::move(handler)](std::error_code) {
        if (isClosed(connection->socket))
            self->openAgain(address, connection->key, handler);
        else
            handler({});
    });
}

void connection_pool::connect(
    const core::socket_address &address, const std::string &key,
    std::function<void(const connection_pointer &, std::error_code)> handler)
{
    const auto connection = std::make_shared<upstream_connection>(m_context);
    connection->key = key;
    std::error_code error;
    const asio::ip::tcp::endpoint remoteEndpoint(asio::ip::make_address(address.ip, error),
                                                 address.port);
    if (!error)
        error = openSocket(connection->socket, remoteEndpoint, m_options);
    if (error) {
        asio::post(m_context, [connection, handler = std::move(handler), error] {
            handler(connection, error);
        });
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.connectTimeout);
    timer->async_wait([connection](std::error_code cancelled) {
        std::error_code ignored;
        if (!cancelled)
            connection->socket.close(ignored);
    });
    connection->socket.async_connect(
        remoteEndpoint, [connection, timer, handler = std::move(handler)](std::error_code failed) {
            timer->cancel();
            handler(connection, failed);
        });
}

void connection_pool::closeIdle(core::instant now)
{
    for (auto &[key, idle] : m_idle) {
        std::erase_if(idle, [&](const connection_pointer &connection) {
            if (connection->socket.is_open() && now - connection->idleSince <= connection->idleTime)
                return false;
            std::error_code ignored;
            connection->socket.close(ignored);
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void connection_pool::closeAll()
{
    for (auto &[key, idle] : m_idle) {
        for (auto &connection : idle) {
            std::error_code ignored;
            connection->socket.close(ignored);
        }
    }
    m_idle.clear();
}

void connection_pool::recordBrokenAnswer(std::string_view reason)
{
    if (m_counters != nullptr)
        ++m_counters->counter("answers_broken_total", "reason=\"" + std::string(reason) + '"');
}

attempt::attempt(std::shared_ptr<connection_pool> pool, request content, handlers handlers)
    : m_pool(std::move(pool)), m_request(std::move(content)), m_handlers(std::move(handlers)),
      m_timer(m_pool->context())
{
    m_reader.restart(m_request.isHeadRequest);
}

std::shared_ptr<attempt> attempt::start(std::shared_ptr<connection_pool> pool, request content,
                                        handlers handlers)
{
    std::shared_ptr<attempt> self(
        new attempt(std::move(pool), std::move(content), std::move(handlers)));
    if (!self->m_request.needsNewConnection)
        self->m_connection = self->m_pool->acquire(self->m_request.key);
    if (self->m_connection)
        self->send();
    else
        self->connect();
    return self;
}

void attempt::connect()
{
    m_connection = std::make_shared<upstream_connection>(m_pool->context());
    m_connection->key = m_request.key;
    std::error_code error;
    const auto address = asio::ip::make_address(m_request.address.ip, error);
    const asio::ip::tcp::endpoint remoteEndpoint(address, m_request.address.port);
    if (!error)
        error = openSocket(m_connection->socket, remoteEndpoint, m_pool->options());
    if (error) {
        asio::post(m_pool->context(), [self = shared_from_this(), error] { self->finish(error); });
        return;
    }
    m_timer.expires_after(m_pool->options().connectTimeout);
    m_timer.async_wait([self = shared_from_this()](std::error_code cancelled) {
        if (!cancelled && !self->m_sent)
            self->finish(forward_error::ConnectTimeout);
    });
    m_connection->socket.async_connect(remoteEndpoint,
                                       [self = shared_from_this()](std::error_code failed) {
                                           if (self->m_done)
                                               return;
                                           self->m_timer.cancel();
                                           if (failed)
                                               self->finish(failed);
                                           else
                                               self->send();
                                       });
}

void attempt::send()
{
    if (m_handlers.mayWrite && !m_handlers.mayWrite()) {
        withdraw();
        return;
    }
    m_sent = true;
    if (m_handlers.sent)
        m_handlers.sent();
    if (m_done)
        return;
    const auto connection = m_connection;
    std::array<asio::const_buffer, 2> buffers{asio::buffer(m_request.text), {}};
    if (m_request.body)
        buffers[1] = asio::buffer(*m_request.body);
    asio::async_write(connection->socket, buffers,
                      [self = shared_from_this(), connection](std::error_code error, std::size_t) {
                          self->handleWritten(error);
                      });
    read();
}

/// An error does not end the attempt here: the read does, after any response that the endpoint sent
/// early.
void attempt::handleWritten(std::error_code error)
{
    m_writeDone = !error;
    m_writeError = error;
    if (m_closedInWrite && !m_done)
        handleClosed(asio::error::eof);
}

/// Ends the attempt later, because the caller of start() has no pointer to it yet.
void attempt::withdraw()
{
    asio::post(m_pool->context(), [self = shared_from_this()] {
        if (self->m_done)
            return;
        self->m_done = true;
        self->m_timer.cancel();
        std::error_code ignored;
        self->m_connection->socket.close(ignored);
        auto handlers = std::exchange(self->m_handlers, {});
        ending result;
        result.wasWithdrawn = true;
        handlers.ended(result);
    });
}

void attempt::resume()
{
    if (!m_paused)
        return;
    m_paused = false;
    if (!m_done && m_sent && !m_reading)
        read();
}

void attempt::read()
{
    m_reading = true;
    const auto connection = m_connection;
    // Bytes are read in the handler, so that an attempt that waits needs no buffer.
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [self = shared_from_this(), connection](std::error_code error) {
                                      self->m_reading = false;
                                      if (self->m_done)
                                          self->readDiscarded();
                                      else
                                          self->handleReadable(*connection, error);
                                  });
}

void attempt::handleReadable(upstream_connection &connection, std::error_code error)
{
    // More than one read for each wait, as large answers arrive faster than they are waited for.
    constexpr int maximumReads = 8;
    auto &buffer = m_pool->readBuffer();
    for (int reads = 0; reads < maximumReads && !m_done && !m_paused; ++reads) {
        std::size_t bytes = 0;
        if (!error)
            bytes = connection.socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block)
            break;
        if (error) {
            handleClosed(error);
            return;
        }
        handleBytes({buffer.data(), bytes});
        if (bytes < buffer.size())
            break;
    }
    if (!m_done && !m_paused)
        read();
}

void attempt::handleBytes(std::string_view bytes)
{
    m_receivedBytes = true;
    if (const auto failure = core::runContained([&] { parse(bytes); }); failure && !m_done)
        finish(failure);
}

void attempt::parse(std::string_view bytes)
{
    while (!m_done) {
        m_body.clear();
        const auto used = m_reader.read(bytes, m_body);
        if (!used) {
            finish(used.error());
            return;
        }
        bytes.remove_prefix(used.value());
        if (!m_headHandled || m_isUnrelatedResponse)
            m_unrelatedBytes += used.value();
        if (m_unrelatedBytes > maximumUnrelatedBytes) {
            finish(forward_error::TooManyExtraBytes);
            return;
        }
        if (m_reader.headComplete() && !m_headHandled) {
            const int status = m_reader.head().status;
            if (status / 100 == 1) {
                if (m_reader.complete() && m_handlers.notices)
                    m_handlers.notices(m_reader.head());
            } else {
                // Before the call of the handler, which may move the headers away.
                m_idleTime = announcedIdleTime(m_reader.head(), m_pool->options());
                const auto identifier = m_reader.head().value(m_request.identifierHeader);
                m_isUnrelatedResponse = !identifier.empty() && identifier != m_request.identifier;
                m_headHandled = true;
                if (!m_isUnrelatedResponse && m_handlers.notices)
                    m_handlers.notices(m_reader.head());
                if (!m_isUnrelatedResponse && !m_done)
                    m_handlers.head(m_reader.head());
            }
        }
        if (m_done)
            return;
        if (m_headHandled && !m_isUnrelatedResponse && !m_body.empty())
            m_handlers.body(m_body);
        if (m_done)
            return;
        if (!m_reader.complete())
            return;
        if (m_headHandled && !m_isUnrelatedResponse) {
            // Bytes after the response belong to no request.
            m_sawUnrelatedBytes = m_sawUnrelatedBytes || !bytes.empty();
            finish({});
            return;
        }
        m_sawUnrelatedBytes = m_sawUnrelatedBytes || m_isUnrelatedResponse;
        m_headHandled = false;
        m_isUnrelatedResponse = false;
        m_reader.restart(m_request.isHeadRequest);
        if (bytes.empty())
            return;
    }
}

void attempt::handleClosed(std::error_code error)
{
    if (m_confirmsEnd)
        return;
    const bool closed = error == asio::error::eof;
    if (closed && m_headHandled && !m_isUnrelatedResponse && m_reader.endsWithConnection()) {
        if (awaitsWriteResult()) {
            m_closedInWrite = true;
            return;
        }
        // The kernel reports a lost connection once. If the write has got the error, the next read
        // sees an orderly end. A broken pipe is the reset of a connection that the endpoint had
        // closed before in order.
        if (m_writeError && m_writeError != asio::error::broken_pipe)
            error = m_writeError;
        else if (m_reader.finish()) {
            confirmEnd();
            return;
        }
    }
    finish(error == asio::error::eof ? make_error_code(forward_error::ConnectionClosed) : error);
}

/// The kernel closes the connections of a process that is killed in order, like those of one that
/// has sent all. Only a refused connection shows the difference; others may fail on the way.
void attempt::confirmEnd()
{
    if (m_handlers.mustConfirmEnd && !m_handlers.mustConfirmEnd()) {
        finish({});
        return;
    }
    m_confirmsEnd = true;
    m_pool->open(
        m_request.address, m_request.key, [self = shared_from_this()](std::error_code error) {
            const bool isGone = error == asio::error::connection_refused
                || error == asio::error::connection_reset;
            self->finish(isGone ? make_error_code(forward_error::EndpointGone) : std::error_code());
        });
}

/// Whether the connection is lost and the write, which is about to end, has not told why.
bool attempt::awaitsWriteResult() const
{
    if (m_writeDone || m_writeError)
        return false;
    tcp_info info{};
    socklen_t size = sizeof(info);
    return ::getsockopt(m_connection->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size)
        == 0
        && info.tcpi_state == TCP_CLOSE;
}

void attempt::finish(std::error_code error)
{
    if (m_done)
        return;
    m_done = true;
    m_timer.cancel();
    const bool reusable = !error && m_writeDone && !m_sawUnrelatedBytes
        && m_reader.keepsConnection() && !m_reader.endsWithConnection();
    if (error && m_receivedBytes)
        m_pool->recordBrokenAnswer(brokenAnswerReason(error));
    const bool wasReused = m_connection && m_connection->wasUsedBefore;
    ending result{error, m_sent, error && m_sent && !m_receivedBytes && wasReused};
    if (m_connection) {
        if (reusable) {
            m_pool->release(m_connection, m_idleTime);
        } else {
            std::error_code ignored;
            m_connection->socket.close(ignored);
        }
    }
    auto handlers = std::move(m_handlers);
    m_handlers = {};
    handlers.ended(result);
}

void attempt::cancel()
{
    if (m_done)
        return;
    m_done = true;
    m_timer.cancel();
    auto former = std::exchange(m_handlers, {});
    const bool awaitsHead = m_sent && (!m_headHandled || m_isUnrelatedResponse);
    if (awaitsHead && former.notices) {
        m_handlers.notices = std::move(former.notices);
        m_discarded = arrivedBytes(m_connection->socket);
    }
    if (m_connection) {
        std::error_code ignored;
        m_connection->socket.close(ignored);
    }
    // A wait in progress ends with the close and goes on with them.
    if (!m_reading)
        readDiscarded();
}

/// What the endpoint says of itself counts even if nobody waits for the answer anymore.
void attempt::readDiscarded()
{
    const auto notices = std::exchange(m_handlers, {}).notices;
    if (!notices)
        return;
    const auto arrived = std::exchange(m_discarded, {});
    // An error has been logged, and the connection is closed already.
    (void)core::runContained([&] { parseDiscarded(arrived, notices); });
}

void attempt::parseDiscarded(std::string_view bytes,
                             const std::function<void(const http_head &)> &notices)
{
    while (!bytes.empty()) {
        m_body.clear();
        const auto used = m_reader.read(bytes, m_body);
        if (!used || !m_reader.headComplete())
            return;
        bytes.remove_prefix(used.value());
        const auto &head = m_reader.head();
        notices(head);
        const bool isOwn = head.status / 100 != 1
            && head.value(m_request.identifierHeader) == m_request.identifier;
        if (isOwn || !m_reader.complete())
            return;
        m_reader.restart(m_request.isHeadRequest);
    }
}

bool attempt::mayArriveLater() const
{
    if (m_done || !m_sent || m_receivedBytes)
        return false;
    int unacknowledged = 0;
    return !m_writeDone
        || (::ioctl(m_connection->socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0
            && unacknowledged > 0);
}

void attempt::recall()
{
    if (m_connection) {
        // Closing sends a reset instead of the rest.
        std::error_code ignored;
        m_connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    cancel();
}

} // namespace quetzalcleat::forward
