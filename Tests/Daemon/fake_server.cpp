#include "fake_server.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace quetzalcleat::tests {

using asio::ip::tcp;

fake_connection::fake_connection(tcp::socket socket, request_handler handler)
    : m_socket(std::move(socket)), m_handler(std::move(handler)), m_readBuffer(16384, '\0'),
      m_slowTimer(m_socket.get_executor())
{
}

void fake_connection::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer),
                             [self = shared_from_this()](std::error_code error, std::size_t count) {
                                 if (error) {
                                     self->m_closed = true;
                                     return;
                                 }
                                 self->m_input.append(self->m_readBuffer, 0, count);
                                 self->processRequests();
                                 if (!self->m_closed)
                                     self->read();
                             });
}

void fake_connection::processRequests()
{
    while (!m_closed && processRequest()) { }
}

bool fake_connection::processRequest()
{
    const auto headEnd = m_input.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return false;
    http::caller_request request;
    const auto lineEnd = m_input.find("\r\n");
    const auto methodEnd = m_input.find(' ');
    const auto targetEnd = m_input.find(' ', methodEnd + 1);
    request.method = m_input.substr(0, methodEnd);
    const auto target = m_input.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const auto question = std::min(target.find('?'), target.size());
    request.path = target.substr(0, question);
    if (question < target.size())
        request.query = target.substr(question + 1);
    for (auto begin = lineEnd + 2; begin < headEnd + 2;) {
        const auto end = m_input.find("\r\n", begin);
        const auto colon = m_input.find(": ", begin);
        if (colon < end)
            request.headers.push_back(
                {m_input.substr(begin, colon - begin), m_input.substr(colon + 2, end - colon - 2)});
        begin = end + 2;
    }
    std::size_t length = 0;
    if (const auto field = http::findHeader(request.headers, "Content-Length"))
        std::from_chars(field->data(), field->data() + field->size(), length);
    const auto bodyBegin = headEnd + 4;
    if (m_input.size() < bodyBegin + length)
        return false;
    request.body = m_input.substr(bodyBegin, length);
    m_input.erase(0, bodyBegin + length);
    m_handler(shared_from_this(), request);
    return true;
}

void fake_connection::send(std::string bytes)
{
    sendThen(std::move(bytes), [] {});
}

void fake_connection::sendThen(std::string bytes, std::function<void()> sent)
{
    if (m_closed)
        return;
    m_output.emplace_back(std::move(bytes), std::move(sent));
    writeNext();
}

void fake_connection::sendEndlessly(const std::string &bytes, std::size_t limit)
{
    if (m_endlessBytes >= limit)
        return;
    m_endlessBytes += bytes.size();
    sendThen(bytes,
             [self = shared_from_this(), bytes, limit] { self->sendEndlessly(bytes, limit); });
}

void fake_connection::sendSlowly(const std::string &bytes, std::chrono::milliseconds pause,
                                 int times)
{
    if (m_closed || m_slowTimes == times)
        return;
    ++m_slowTimes;
    send(bytes);
    m_slowTimer.expires_after(pause);
    m_slowTimer.async_wait([self = shared_from_this(), bytes, pause, times](std::error_code error) {
        if (!error)
            self->sendSlowly(bytes, pause, times);
    });
}

void fake_connection::close()
{
    m_closeAfterWrites = true;
    writeNext();
}

void fake_connection::writeNext()
{
    if (m_writing || m_closed)
        return;
    if (m_output.empty()) {
        if (m_closeAfterWrites) {
            std::error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_both, ignored);
            m_socket.close(ignored);
            m_closed = true;
        }
        return;
    }
    m_writing = true;
    const auto next = std::make_shared<std::pair<std::string, std::function<void()>>>(
        std::move(m_output.front()));
    m_output.erase(m_output.begin());
    asio::async_write(m_socket, asio::buffer(next->first),
                      [self = shared_from_this(), next](std::error_code error, std::size_t) {
                          self->m_writing = false;
                          if (error) {
                              self->m_closed = true;
                              return;
                          }
                          next->second();
                          self->writeNext();
                      });
}

fake_server::fake_server(asio::io_context &context, fake_connection::request_handler handler)
    : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      m_address{"127.0.0.1", m_acceptor.local_endpoint().port()}, m_handler(std::move(handler))
{
    accept();
}

fake_server::~fake_server()
{
    for (const auto &connection : m_connections)
        connection->close();
}

void fake_server::accept()
{
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
        if (error)
            return;
        socket.set_option(tcp::no_delay(true));
        m_connections.push_back(std::make_shared<fake_connection>(std::move(socket), m_handler));
        m_connections.back()->read();
        accept();
    });
}

std::string completeResponse(int status, const std::string &body, const std::string &contentType)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + contentType
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunkedHead(int status, const std::string &contentType)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + contentType
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string lastChunk()
{
    return "0\r\n\r\n";
}

} // namespace quetzalcleat::tests
