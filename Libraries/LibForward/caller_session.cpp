#include "LibForward/caller_session.h"

#include "LibCore/unexpected_error.h"
#include "LibForward/exchange.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace quetzalcleat::forward {

namespace {

constexpr std::size_t readBytes = std::size_t{16} * 1024;
/// Bytes of pipelined requests that are read while a request is in progress.
constexpr std::size_t maximumPipelinedBytes = std::size_t{64} * 1024;
/// Buffers passed to one write.
constexpr std::size_t maximumWriteBuffers = 32;
/// During a planned stop, a connection that has just been accepted is kept open this long for its
/// first request, which is usually on its way.
constexpr std::chrono::milliseconds firstRequestTime{1000};
/// How long a closing connection is still read, so that a reset does not discard the response.
constexpr std::chrono::milliseconds lingerTime{1000};
/// More than what is usually on its way; a caller that sends more is taken to have no end.
constexpr std::size_t maximumLingerBytes = std::size_t{256} * 1024;

} // namespace

caller_session::caller_session(std::shared_ptr<forwarder> owner, asio::ip::tcp::socket socket)
    : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_owner->context())
{
}

void caller_session::start()
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_buffer.resize(readBytes);
    m_requestStart = std::chrono::steady_clock::now();
    armTimer(limits().idleTimeout);
    read();
}

caller_limits caller_session::limits() const
{
    const auto &routes = m_owner->routes();
    return routes ? routes->content().limits : caller_limits{};
}

void caller_session::read()
{
    if (m_reading || m_closed
        || (m_phase == phase::Busy && m_input.size() >= maximumPipelinedBytes))
        return;
    m_reading = true;
    // Bytes are read in the handler and not before it, so that closeIfIdle() sees those that have
    // arrived.
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](std::error_code error) {
                            self->m_reading = false;
                            if (!self->m_closed)
                                self->handleReadable(error);
                        });
}

void caller_session::handleReadable(std::error_code error)
{
    std::size_t bytes = 0;
    if (!error)
        bytes = m_socket.read_some(asio::buffer(m_buffer), error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (error) {
        handleDisconnect();
        return;
    }
    if (m_phase != phase::Closing) {
        if (m_input.empty() && m_phase == phase::Idle)
            m_requestStart = std::chrono::steady_clock::now();
        m_input.append(m_buffer.data(), bytes);
        processContained();
    } else if ((m_lingerBytes += bytes) > maximumLingerBytes) {
        close();
    }
    read();
}

/// An unexpected error in one request ends its connection, not the process.
void caller_session::processContained()
{
    if (const auto failure = core::runContained([this] { process(); })) {
        m_owner->log().write("caller_connection_failed", {{"cause", failure.message()}});
        handleDisconnect();
    }
}

void caller_session::process()
{
    while (!m_closed && !m_input.empty() && (m_phase == phase::Idle || m_phase == phase::Reading)) {
        if (m_phase == phase::Idle) {
            if (isCongested())
                return;
            m_phase = phase::Reading;
            ++m_requestCount;
            m_headChecked = false;
            m_reader.restart();
            m_body.clear();
            m_reader.limitHeader(limits().headerBytes);
            armTimer(limits().headerTimeout);
        }
        const auto used = m_reader.read(m_input, m_body);
        if (!used) {
            if (used.error() == forward_error::HeaderTooLarge)
                refuse(431, "Request Header Fields Too Large");
            else
                refuse(400, "Bad Request");
            return;
        }
        m_input.erase(0, used.value());
        if (m_reader.headComplete() && !m_headChecked)
            checkHead();
        if (m_phase != phase::Reading)
            return;
        if (m_body.size() > limits().bodyBytes) {
            refuse(413, "Content Too Large");
            return;
        }
        if (m_reader.complete())
            startExchange();
        else if (used.value() == 0)
            return;
    }
}

void caller_session::checkHead()
{
    m_headChecked = true;
    auto &head = m_reader.head();
    const auto length = parseNumber(head.value("Content-Length"));
    if (length && *length > limits().bodyBytes) {
        refuse(413, "Content Too Large");
        return;
    }
    if (!head.has("Host")) {
        refuse(400, "Bad Request");
        return;
    }
    armTimer(limits().idleTimeout);
    const bool awaitsConsent
        = !m_reader.complete() && equalsIgnoringCase(head.value("Expect"), "100-continue");
    // Spares the caller the transmission of a body that another host is to get.
    if (awaitsConsent && m_owner->isNoticeOver())
        refuse(503, "Service Unavailable");
    else if (awaitsConsent)
        queue("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_session::startExchange()
{
    m_phase = phase::Busy;
    m_timer.cancel();
    m_keepAlive = m_reader.keepsConnection();
    m_isHeadRequest = m_reader.head().method == "HEAD";
    m_exchange = std::make_shared<exchange>(m_owner, shared_from_this(), std::move(m_reader.head()),
                                            std::move(m_body),
                                            request_arrival{m_requestStart, m_requestCount});
    m_body.clear();
    m_exchange->start();
}

void caller_session::refuse(int status, std::string_view reason)
{
    m_keepAlive = false;
    m_phase = phase::Busy;
    m_timer.cancel();
    m_owner->log().write("request_rejected",
                         {{"status", std::to_string(status)}, {"reason", std::string(reason)}});
    ++m_owner->counters().counter("requests_unread_total",
                                  "status=\"" + std::to_string(status) + '"');
    http_head head;
    head.status = status;
    head.reason = reason;
    sendResponse(std::move(head), {});
}

void caller_session::sendResponse(http_head head, const std::string &body)
{
    if (m_closed)
        return;
    if (m_owner->isStopping())
        m_keepAlive = false;
    head.set("Content-Length", std::to_string(body.size()));
    if (!m_keepAlive)
        head.set("Connection", "close");
    auto text = head.responseText() + "\r\n";
    if (!m_isHeadRequest)
        text += body;
    queue(std::move(text));
    responseDone();
}

void caller_session::beginResponse(http_head head)
{
    if (m_owner->isStopping())
        m_keepAlive = false;
    head.remove("Content-Length");
    head.set("Transfer-Encoding", "chunked");
    if (!m_keepAlive)
        head.set("Connection", "close");
    queue(head.responseText() + "\r\n");
}

void caller_session::sendPart(const std::string &bytes)
{
    if (bytes.empty() || m_isHeadRequest)
        return;
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data());
    chunk.reserve(chunk.size() + bytes.size() + 2);
    chunk.append(bytes).append("\r\n");
    queue(std::move(chunk));
}

void caller_session::endResponse()
{
    if (!m_isHeadRequest)
        queue("0\r\n\r\n");
    responseDone();
}

void caller_session::abortResponse()
{
    m_exchange.reset();
    close();
}

void caller_session::responseDone()
{
    m_exchange.reset();
    if (m_closed)
        return;
    if (!m_keepAlive) {
        shutDown();
        return;
    }
    m_phase = phase::Idle;
    m_requestStart = std::chrono::steady_clock::now();
    armTimer(limits().idleTimeout);
    // Posted, as the exchange that has just ended is still on the stack.
    asio::post(m_owner->context(), [self = shared_from_this()] {
        if (self->m_closed)
            return;
        self->readNextRequest();
    });
}

/// Processes a request that has arrived already. If there is none and callers have had the time to
/// notice a planned stop, closes the connection.
void caller_session::readNextRequest()
{
    processContained();
    if (m_owner->isNoticeOver())
        closeIfIdle();
    read();
}

void caller_session::shutDown()
{
    m_phase = phase::Closing;
    m_input.clear();
    // A slow caller is given the idle time for each part of the response.
    armTimer(m_output.empty() ? lingerTime : limits().idleTimeout);
    if (!m_writing && m_output.empty()) {
        std::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    read();
}

void caller_session::queue(std::string bytes)
{
    if (m_closed)
        return;
    m_unsentBytes += bytes.size();
    m_output.push_back(std::move(bytes));
    if (!m_writing)
        write();
}

void caller_session::write()
{
    m_writing = true;
    std::vector<asio::const_buffer> buffers;
    const auto count = std::min(m_output.size(), maximumWriteBuffers);
    for (std::size_t index = 0; index < count; ++index)
        buffers.emplace_back(asio::buffer(m_output[index]));
    buffers.front() += m_sentOfFirst;
    m_socket.async_write_some(
        buffers, [self = shared_from_this()](std::error_code error, std::size_t bytes) {
            self->m_writing = false;
            if (self->m_closed)
                return;
            if (error) {
                self->handleDisconnect();
                return;
            }
            self->recordWritten(bytes);
        });
}

void caller_session::recordWritten(std::size_t bytes)
{
    m_unsentBytes -= std::min(bytes, m_unsentBytes);
    m_sentOfFirst += bytes;
    while (!m_output.empty() && m_sentOfFirst >= m_output.front().size()) {
        m_sentOfFirst -= m_output.front().size();
        m_output.pop_front();
    }
    if (!m_output.empty()) {
        if (m_phase == phase::Idle || m_phase == phase::Closing)
            armTimer(limits().idleTimeout);
        write();
        return;
    }
    if (m_phase == phase::Closing) {
        shutDown();
    } else if (m_exchange) {
        m_exchange->handleOutputDrained();
    } else {
        // Requests may have waited for the caller to read.
        readNextRequest();
    }
}

void caller_session::armTimer(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error && !self->m_closed)
            self->handleTimeout();
    });
}

void caller_session::handleTimeout()
{
    // The timer was restarted after this handler was queued.
    if (m_timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (m_phase == phase::Reading)
        refuse(408, "Request Timeout");
    else if (m_phase != phase::Busy)
        close();
}

void caller_session::handleDisconnect()
{
    if (const auto current = std::exchange(m_exchange, nullptr))
        current->handleCallerDisconnect();
    close();
}

void caller_session::closeIfIdle()
{
    if (m_phase != phase::Idle || !m_input.empty() || !m_output.empty())
        return;
    // Bytes that wait to be read would be lost, and the caller would see a reset.
    std::error_code ignored;
    if (m_socket.available(ignored) > 0)
        return;
    const bool awaitsFirstRequest = m_requestCount == 0
        && std::chrono::steady_clock::now() - m_requestStart < firstRequestTime;
    if (!awaitsFirstRequest)
        close();
}

void caller_session::endRequest()
{
    if (const auto current = m_exchange)
        current->handleStop();
    else if (m_phase == phase::Reading)
        refuse(503, "Service Unavailable");
    else if (m_phase == phase::Idle && !m_output.empty())
        shutDown();
    else
        closeIfIdle();
}

void caller_session::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
    m_owner->sessionEnded(shared_from_this());
}

} // namespace quetzalcleat::forward
