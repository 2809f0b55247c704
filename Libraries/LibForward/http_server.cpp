#include "LibForward/http_server.h"

#include "LibCore/time.h"
#include "LibCore/unexpected_error.h"
#include "LibForward/listen.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace quetzalcleat::forward {

namespace {

/// Buffers in the kernel for each connection, which doubles the value. Bytes in them count toward
/// the memory of the process.
constexpr int socketBufferBytes = 64 * 1024;
/// Bodies and answers up to this size are not charged, since the number of sessions bounds them.
constexpr std::size_t unchargedBytes = std::size_t{16} * 1024;
/// A connection without progress for so long may be closed to make room for others.
constexpr std::chrono::milliseconds slowAfter{1000};
/// How long a closing connection is still read, so that a reset does not discard the answer.
constexpr std::chrono::milliseconds lingerTime{1000};
constexpr std::size_t maximumLingerBytes = std::size_t{256} * 1024;

} // namespace

class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(std::shared_ptr<http_server> owner, asio::ip::tcp::socket socket)
        : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_owner->m_context),
          m_charge(m_owner->m_options.memory, policy::memory_kind::Body)
    {
        m_reader.limitHeader(m_owner->m_options.headBytes);
        m_reader.limitFields(m_owner->m_options.headFields);
    }

    void start()
    {
        std::error_code ignored;
        m_socket.non_blocking(true, ignored);
        armTimer(m_owner->m_options.idleTime);
        read();
    }

    void close()
    {
        if (std::exchange(m_closed, true))
            return;
        charge(0);
        m_timer.cancel();
        std::error_code ignored;
        m_socket.close(ignored);
        m_owner->m_sessions.erase(shared_from_this());
    }

    /// The handler has the request.
    bool isHandling() const { return m_isHandling; }
    core::instant progressed() const { return m_progressed; }
    std::size_t held() const { return m_charge.bytes(); }

private:
    void read()
    {
        m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [self = shared_from_this()](std::error_code error) {
                                if (!self->m_closed)
                                    self->handleReadable(error);
                            });
    }

    void handleReadable(std::error_code error)
    {
        auto &buffer = m_owner->m_readBuffer;
        std::size_t bytes = 0;
        if (!error)
            bytes = m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            read();
            return;
        }
        if (error) {
            close();
            return;
        }
        m_progressed = std::chrono::steady_clock::now();
        if (m_isLingering) {
            m_lingerBytes += bytes;
            if (m_lingerBytes > maximumLingerBytes)
                close();
            else
                read();
            return;
        }
        if (!std::exchange(m_hasBegun, true))
            armTimer(m_owner->m_options.requestTime);
        m_input.append(buffer.data(), bytes);
        process();
    }

    void process()
    {
        const auto &options = m_owner->m_options;
        const auto used = m_reader.read(m_input, m_body);
        if (!used) {
            refuse(400, "the request cannot be read\n", "unreadable");
            return;
        }
        m_input.erase(0, used.value());
        if (m_reader.headComplete()
            && (m_body.size() > options.bodyBytes || statedLength() > options.bodyBytes)) {
            refuse(413, "the body is too large\n", "body");
            return;
        }
        if (!makeRoom(m_body.size())) {
            refuse(503, "too many bodies at the same time\n", "memory");
            return;
        }
        if (!m_reader.complete()) {
            read();
            return;
        }
        handle();
    }

    std::uint64_t statedLength()
    {
        return parseNumber(m_reader.head().value("Content-Length")).value_or(0);
    }

    void handle()
    {
        m_timer.cancel();
        m_isHandling = true;
        m_keepAlive = m_reader.keepsConnection();
        // An unexpected error in one request ends its connection, not the process.
        const auto failure = core::runContained([this] {
            m_owner->m_handler(m_reader.head(), std::exchange(m_body, {}),
                               [self = shared_from_this()](http_response response) {
                                   self->respond(std::move(response));
                               });
        });
        if (failure)
            close();
    }

    void refuse(int status, std::string text, const char *limit)
    {
        m_owner->record(limit);
        m_keepAlive = false;
        std::exchange(m_body, {});
        std::exchange(m_input, {});
        m_isHandling = true;
        respond({status, "text/plain", {}, std::move(text)});
    }

    void respond(http_response response)
    {
        if (m_closed || !std::exchange(m_isHandling, false))
            return;
        m_progressed = std::chrono::steady_clock::now();
        if (!makeRoom(response.body.size())) {
            m_owner->record("memory");
            response = {503, "text/plain", {}, "too many answers at the same time\n"};
            charge(0);
        }
        http_head head;
        head.status = response.status;
        head.headers.push_back({"Content-Type", response.contentType});
        head.headers.push_back({"Content-Length", std::to_string(response.body.size())});
        if (!response.location.empty())
            head.headers.push_back({"Location", response.location});
        if (!m_keepAlive)
            head.headers.push_back({"Connection", "close"});
        m_outputHead = head.responseText() + "\r\n";
        m_outputBody = std::move(response.body);
        armTimer(m_owner->m_options.answerTime);
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_outputHead),
                                                        asio::buffer(m_outputBody)};
        asio::async_write(
            m_socket, buffers,
            [self = shared_from_this()](std::error_code error, std::size_t /*bytes*/) {
                self->handleWritten(error);
            });
    }

    void handleWritten(std::error_code error)
    {
        std::exchange(m_outputBody, {});
        charge(0);
        if (m_closed)
            return;
        if (error) {
            close();
            return;
        }
        if (!m_keepAlive) {
            m_isLingering = true;
            std::error_code ignored;
            m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            armTimer(lingerTime);
            read();
            return;
        }
        m_reader.restart();
        m_hasBegun = !m_input.empty();
        armTimer(m_hasBegun ? m_owner->m_options.requestTime : m_owner->m_options.idleTime);
        if (m_hasBegun)
            process();
        else
            read();
    }

    bool makeRoom(std::size_t bytes)
    {
        const auto wanted = bytes <= unchargedBytes ? 0 : bytes;
        if (wanted > held() && !m_owner->makeRoom(*this, wanted - held()))
            return false;
        charge(wanted);
        return true;
    }

    void charge(std::size_t bytes)
    {
        m_owner->m_heldBytes = m_owner->m_heldBytes - held() + bytes;
        m_charge.resize(bytes);
    }

    void armTimer(std::chrono::milliseconds time)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this()](std::error_code error) {
            // The timer may have been restarted after this handler was queued.
            if (error || self->m_closed || self->m_isHandling
                || self->m_timer.expiry() > std::chrono::steady_clock::now())
                return;
            if (self->m_hasBegun && !self->m_isLingering)
                self->m_owner->record("time");
            self->close();
        });
    }

    std::shared_ptr<http_server> m_owner;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http_reader m_reader{http_reader::message_kind::Request};
    std::string m_input;
    std::string m_body;
    std::string m_outputHead;
    std::string m_outputBody;
    policy::memory_charge m_charge;
    core::instant m_progressed = std::chrono::steady_clock::now();
    std::size_t m_lingerBytes = 0;
    bool m_keepAlive = true;
    bool m_hasBegun = false; ///< A byte of the request has arrived.
    bool m_isHandling = false;
    bool m_isLingering = false;
    bool m_closed = false;
};

http_server::http_server(asio::io_context &context, handler handler, http_server_options options)
    : m_context(context), m_handler(std::move(handler)), m_options(std::move(options)),
      m_acceptor(context)
{
}

core::result<void> http_server::start(const core::socket_address &address)
{
    const auto error = listenOn(m_acceptor, address, asio::socket_base::max_listen_connections);
    if (error)
        return forward_error::ListenFailed;
    // Accepted connections inherit the sizes.
    std::error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    m_acceptor.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    acceptNext();
    return {};
}

void http_server::stop()
{
    if (std::exchange(m_stopped, true))
        return;
    std::error_code ignored;
    m_acceptor.close(ignored);
    const auto sessions = m_sessions;
    for (const auto &open : sessions)
        open->close();
    // Posted, as clearing the handler may destroy this object.
    asio::post(m_context, [self = shared_from_this()] { self->m_handler = {}; });
}

void http_server::acceptNext()
{
    m_acceptor.async_accept(
        [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
            if (self->m_stopped)
                return;
            if (!error)
                self->open(std::move(socket));
            if (error != asio::error::operation_aborted)
                self->acceptNext();
        });
}

void http_server::open(asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= m_options.sessions) {
        std::shared_ptr<session> oldest;
        for (const auto &other : m_sessions) {
            if (!other->isHandling() && (!oldest || other->progressed() < oldest->progressed()))
                oldest = other;
        }
        record("connections");
        if (!oldest)
            return;
        oldest->close();
    }
    const auto opened = std::make_shared<session>(shared_from_this(), std::move(socket));
    m_sessions.insert(opened);
    opened->start();
}

/// Closes slow connections until the requester can hold so many more bytes. Returns whether it can.
bool http_server::makeRoom(const session &requester, std::size_t bytes)
{
    const auto fits = [&] {
        return m_heldBytes + bytes <= m_options.heldBytes
            && (!m_options.memory || m_options.memory->fits(bytes));
    };
    const auto latest = std::chrono::steady_clock::now() - slowAfter;
    while (!fits()) {
        std::shared_ptr<session> slowest;
        for (const auto &other : m_sessions) {
            if (other.get() != &requester && other->held() > 0 && !other->isHandling()
                && other->progressed() <= latest
                && (!slowest || other->progressed() < slowest->progressed()))
                slowest = other;
        }
        if (!slowest)
            return false;
        record("memory");
        slowest->close();
    }
    return true;
}

void http_server::record(std::string_view limit)
{
    if (m_options.log)
        m_options.log->record(limit);
}

} // namespace quetzalcleat::forward
