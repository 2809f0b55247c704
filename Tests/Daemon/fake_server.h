#pragma once

#include "LibCore/settings.h"
#include "LibHttp/message.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::tests {

/// A connection to a fake server. The test writes raw bytes, so that it can violate HTTP.
class fake_connection : public std::enable_shared_from_this<fake_connection>
{
public:
    using request_handler = std::function<void(const std::shared_ptr<fake_connection> &,
                                               const http::caller_request &)>;

    fake_connection(asio::ip::tcp::socket socket, request_handler handler);

    void read();
    void send(std::string bytes);
    /// Calls back once the operating system has taken the bytes.
    void sendThen(std::string bytes, std::function<void()> sent);
    /// Sends the bytes again and again until the connection closes or the limit is reached.
    void sendEndlessly(const std::string &bytes, std::size_t limit);
    std::size_t endlessBytes() const { return m_endlessBytes; }
    /// Sends the bytes with a pause after each time, until the connection closes or they have been
    /// sent that often.
    void sendSlowly(const std::string &bytes, std::chrono::milliseconds pause, int times);
    int slowTimes() const { return m_slowTimes; }
    /// Closes the connection once all bytes have been written.
    void close();
    bool isClosed() const { return m_closed; }

private:
    void processRequests();
    bool processRequest();
    void writeNext();

    asio::ip::tcp::socket m_socket;
    request_handler m_handler;
    std::string m_input;
    std::string m_readBuffer;
    std::vector<std::pair<std::string, std::function<void()>>> m_output;
    std::size_t m_endlessBytes = 0;
    asio::steady_timer m_slowTimer;
    int m_slowTimes = 0; ///< How often sendSlowly() has sent.
    bool m_writing = false;
    bool m_closeAfterWrites = false;
    bool m_closed = false;
};

/// An HTTP server on a loopback port. It parses requests; the test sends the responses.
class fake_server
{
public:
    fake_server(asio::io_context &context, fake_connection::request_handler handler);
    ~fake_server();

    fake_server(const fake_server &) = delete;
    fake_server &operator=(const fake_server &) = delete;

    core::socket_address address() const { return m_address; }
    std::size_t acceptedConnections() const { return m_connections.size(); }
    const std::vector<std::shared_ptr<fake_connection>> &connections() const
    {
        return m_connections;
    }
    void stopAccepting() { m_acceptor.close(); }

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    core::socket_address m_address;
    fake_connection::request_handler m_handler;
    std::vector<std::shared_ptr<fake_connection>> m_connections;
};

/// A complete HTTP response with a Content-Length.
std::string completeResponse(int status, const std::string &body,
                             const std::string &contentType = "application/json");

/// The head of a chunked response, one chunk, and the end of the body.
std::string chunkedHead(int status, const std::string &contentType = "text/event-stream");
std::string chunk(const std::string &bytes);
std::string lastChunk();

} // namespace quetzalcleat::tests
