#include "LibForward/http_server.h"

#include "LibCore/unexpected_error.h"
#include "LibForward/listen.h"

#include <chrono>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace quetzalcleat::forward {

namespace {

constexpr std::size_t readBytes = std::size_t{16} * 1024;
/// A configuration of thousands of routes takes about 1 MB.
constexpr std::size_t maximumBody = std::size_t{32} * 1024 * 1024;
constexpr std::size_t maximumSessions = 200;
constexpr std::chrono::seconds idleTime{30};

} // namespace

class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(std::shared_ptr<http_server> owner, asio::ip::tcp::socket socket)
        : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_owner->m_context)
    {
        m_buffer.resize(readBytes);
    }

    void read()
    {
        m_timer.expires_after(idleTime);
        m_timer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && !self->m_busy)
                self->close();
        });
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self = shared_from_this()](std::error_code error, std::size_t n) {
                                     if (error) {
                                         self->close();
                                         return;
                                     }
                                     self->m_input.append(self->m_buffer.data(), n);
                                     self->process();
                                 });
    }

    void close()
    {
        if (std::exchange(m_closed, true))
            return;
        m_timer.cancel();
        std::error_code ignored;
        m_socket.close(ignored);
        m_owner->m_sessions.erase(shared_from_this());
    }

private:
    void process()
    {
        const auto used = m_reader.read(m_input, m_body);
        if (!used || m_body.size() > maximumBody) {
            m_keepAlive = false;
            respond({400, "text/plain", {}, "the request cannot be read\n"});
            return;
        }
        m_input.erase(0, used.value());
        if (!m_reader.complete()) {
            read();
            return;
        }
        m_busy = true;
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

    void respond(http_response response)
    {
        if (m_closed)
            return;
        http_head head;
        head.status = response.status;
        head.headers.push_back({"Content-Type", response.contentType});
        head.headers.push_back({"Content-Length", std::to_string(response.body.size())});
        if (!response.location.empty())
            head.headers.push_back({"Location", response.location});
        if (!m_keepAlive)
            head.headers.push_back({"Connection", "close"});
        m_output = head.responseText() + "\r\n" + response.body;
        asio::async_write(m_socket, asio::buffer(m_output),
                          [self = shared_from_this()](std::error_code error, std::size_t) {
                              self->m_busy = false;
                              if (error || !self->m_keepAlive) {
                                  self->close();
                                  return;
                              }
                              self->m_reader.restart();
                              if (self->m_input.empty())
                                  self->read();
                              else
                                  self->process();
                          });
    }

    std::shared_ptr<http_server> m_owner;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http_reader m_reader{http_reader::message_kind::Request};
    std::string m_buffer;
    std::string m_input;
    std::string m_body;
    std::string m_output;
    bool m_keepAlive = true;
    bool m_busy = false;
    bool m_closed = false;
};

http_server::http_server(asio::io_context &context, handler handler)
    : m_context(context), m_handler(std::move(handler)), m_acceptor(context)
{
}

core::result<void> http_server::start(const core::socket_address &address)
{
    const auto error = listenOn(m_acceptor, address, asio::socket_base::max_listen_connections);
    if (error)
        return forward_error::ListenFailed;
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
            if (!error && self->m_sessions.size() < maximumSessions) {
                const auto opened = std::make_shared<session>(self, std::move(socket));
                self->m_sessions.insert(opened);
                opened->read();
            }
            if (error != asio::error::operation_aborted)
                self->acceptNext();
        });
}

} // namespace quetzalcleat::forward
