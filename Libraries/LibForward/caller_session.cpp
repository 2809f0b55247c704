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

/// Between two checks whether there is room for a body that waits.
constexpr std::chrono::milliseconds roomInterval{200};
/// Buffers passed to one write.
constexpr std::size_t maximumWriteBuffers = 32;
/// Size up to which texts that wait to be written are joined.
constexpr std::size_t joinedBytes = std::size_t{16} * 1024;
/// During a planned stop, a connection that has just been accepted is kept open this long for its
/// first request, which is usually on its way.
constexpr std::chrono::milliseconds firstRequestTime{1000};
/// How long a closing connection is still read, so that a reset does not discard the response.
constexpr std::chrono::milliseconds lingerTime{1000};
/// More than what is usually on its way; a caller that sends more is taken to have no end.
constexpr std::size_t maximumLingerBytes = std::size_t{256} * 1024;

} // namespace

caller_session::caller_session(std::shared_ptr<forwarder> owner, asio::ip::tcp::socket socket,
                               asio::ip::address address)
    : m_owner(std::move(owner)), m_socket(std::move(socket)), m_timer(m_owner->context()),
      m_body(*m_owner), m_headCharge(m_owner->protection().budget(), policy::memory_kind::Head),
      m_inputCharge(m_owner->protection().budget(), policy::memory_kind::PipelinedInput),
      m_outputCharge(m_owner->protection().budget(), policy::memory_kind::UnreadAnswer),
      m_id(m_owner->protection().nextId()), m_address(std::move(address)),
      m_progressed(std::chrono::steady_clock::now())
{
    m_reader.limitFields(m_owner->protection().limits().headerFields);
}

void caller_session::start()
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_requestStart = std::chrono::steady_clock::now();
    armTimer(m_owner->callerLimits().idleTimeout);
    read();
}

bool caller_session::isCongested() const
{
    return m_unsentBytes > m_owner->protection().unreadAnswerBytes();
}

bool caller_session::isIdle() const
{
    return m_phase == phase::Idle && m_input.empty() && m_output.empty();
}

bool caller_session::hasBytesToRead() const
{
    std::error_code ignored;
    return m_socket.available(ignored) > 0;
}

/// Input is read only if it is needed soon or can be dropped.
bool caller_session::mayRead() const
{
    switch (m_phase) {
    case phase::Reading:
        return !m_waitsForRoom;
    case phase::Closing:
        return true;
    case phase::Idle:
    case phase::Busy:
        break;
    }
    return m_input.size() < m_owner->protection().pipelinedBytes();
}

void caller_session::read()
{
    if (m_reading || m_closed || !mayRead())
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
    // The phase may have changed since the wait began.
    if (!error && !mayRead())
        return;
    auto &buffer = m_owner->protection().readBuffer();
    std::size_t bytes = 0;
    if (!error)
        bytes = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (error) {
        handleDisconnect();
        return;
    }
    m_progressed = std::chrono::steady_clock::now();
    if (m_phase != phase::Closing) {
        if (m_input.empty() && m_phase == phase::Idle)
            m_requestStart = m_progressed;
        m_input.append(buffer.data(), bytes);
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
        return;
    }
    chargeInput();
}

void caller_session::process()
{
    while (!m_closed && !m_input.empty() && (m_phase == phase::Idle || m_phase == phase::Reading)) {
        if (m_phase == phase::Idle) {
            if (isCongested())
                return;
            beginRequest();
        }
        if (!parse())
            return;
    }
}

void caller_session::beginRequest()
{
    m_phase = phase::Reading;
    ++m_requestCount;
    releaseRequest();
    m_reader.limitHeader(m_owner->callerLimits().headerBytes);
    armTimer(m_owner->callerLimits().headerTimeout);
}

/// Parses what has arrived of one request. Returns whether there may be more to parse.
bool caller_session::parse()
{
    if (m_headChecked && !reserveBody())
        return false;
    const auto used = m_reader.read(m_input, m_body.bytes());
    if (!used) {
        if (used.error() == forward_error::HeaderTooLarge)
            refuse(431, "Request Header Fields Too Large", "head");
        else
            refuse(400, "Bad Request");
        return false;
    }
    m_input.erase(0, used.value());
    m_headCharge.resize(m_reader.headMemory());
    if (m_reader.headComplete() && !m_headChecked)
        checkHead();
    if (m_phase != phase::Reading || !accept(m_body.check()))
        return false;
    if (m_reader.complete())
        startExchange(m_reader.keepsConnection());
    else if (used.value() == 0)
        return false;
    return true;
}

void caller_session::checkHead()
{
    m_headChecked = true;
    const auto &head = m_reader.head();
    const auto length = parseNumber(head.value("Content-Length"));
    if (length && *length > m_owner->callerLimits().bodyBytes) {
        refuse(413, "Content Too Large", "body");
        return;
    }
    if (!head.has("Host")) {
        refuse(400, "Bad Request");
        return;
    }
    if (m_reader.complete() || !accept(m_body.begin(head, std::chrono::steady_clock::now())))
        return;
    armBodyTimer();
    if (!equalsIgnoringCase(head.value("Expect"), "100-continue"))
        return;
    // Spares the caller the transmission of a body that another host is to get.
    if (m_owner->isNoticeOver())
        refuse(503, "Service Unavailable");
    else
        queue("HTTP/1.1 100 Continue\r\n\r\n");
}

/// Returns whether the request is read further.
bool caller_session::accept(arriving_body::check_result result)
{
    switch (result) {
    case arriving_body::check_result::Continue:
        return true;
    case arriving_body::check_result::AnswerWithout:
        m_owner->protection().record("body_without_route_or_key");
        startExchange(false);
        return false;
    case arriving_body::check_result::RefuseUnconfirmed:
        refuse(503, "Service Unavailable", "body_unconfirmed");
        return false;
    case arriving_body::check_result::RefuseTooLarge:
        refuse(413, "Content Too Large", "body");
        return false;
    }
    return false;
}

/// Makes room for the input that was read. If there is none, the body waits or is refused.
bool caller_session::reserveBody()
{
    const auto wanted = m_body.wantedBytes(m_input.size());
    if (wanted <= m_body.chargedBytes())
        return true;
    auto &protection = m_owner->protection();
    const auto verdict = protection.requestGrowth(*this, wanted - m_body.chargedBytes());
    if (verdict == policy::overload_verdict::Proceed) {
        m_body.charge(wanted);
        endWait();
        return true;
    }
    if (verdict == policy::overload_verdict::Refuse || (!m_waitsForRoom && !protection.mayWait())) {
        refuse(503, "Service Unavailable", "memory");
        return false;
    }
    if (!std::exchange(m_waitsForRoom, true))
        protection.waitStarted();
    m_body.extend(roomInterval);
    armTimer(roomInterval);
    return false;
}

void caller_session::endWait()
{
    if (std::exchange(m_waitsForRoom, false))
        m_owner->protection().waitEnded();
}

void caller_session::startExchange(bool keepAlive)
{
    m_phase = phase::Busy;
    m_timer.cancel();
    m_keepAlive = keepAlive;
    m_isHeadRequest = m_reader.head().method == "HEAD";
    m_exchange = std::make_shared<exchange>(m_owner, shared_from_this(), std::move(m_reader.head()),
                                            m_body.take(),
                                            request_arrival{m_requestStart, m_requestCount});
    // Kept on the stack, as it may end here.
    const auto current = m_exchange;
    current->start();
}

/// Refuses a request of which nothing was sent to an endpoint. `limit` names the limit that it
/// exceeds, if any.
void caller_session::refuse(int status, std::string_view reason, std::string_view limit)
{
    m_keepAlive = false;
    m_phase = phase::Busy;
    m_timer.cancel();
    m_owner->log().write("request_rejected",
                         {{"status", std::to_string(status)}, {"reason", std::string(reason)}});
    ++m_owner->counters().counter("requests_unread_total",
                                  "status=\"" + std::to_string(status) + '"');
    if (!limit.empty())
        m_owner->protection().record(limit);
    http_head head;
    head.status = status;
    head.reason = reason;
    const auto &identifier = m_owner->options().names.requestId;
    if (m_headChecked && m_reader.head().has(identifier))
        head.headers.push_back({identifier, std::string(m_reader.head().value(identifier))});
    releaseRequest();
    sendResponse(std::move(head), {});
}

/// Gives back the memory of the request that was read.
void caller_session::releaseRequest()
{
    endWait();
    m_reader.restart();
    m_headChecked = false;
    m_body.reset();
    m_headCharge.resize(0);
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
    releaseRequest();
    if (!m_keepAlive) {
        shutDown();
        return;
    }
    m_phase = phase::Idle;
    m_requestStart = std::chrono::steady_clock::now();
    armTimer(m_owner->callerLimits().idleTimeout);
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
    std::exchange(m_input, {});
    m_inputCharge.resize(0);
    // A slow caller is given the idle time for each part of the response.
    armTimer(m_output.empty() ? lingerTime : m_owner->callerLimits().idleTimeout);
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
    // Many small answers take less memory in one text; the first texts may be in a write.
    if (m_output.size() > maximumWriteBuffers
        && m_output.back().size() + bytes.size() <= joinedBytes)
        m_output.back().append(bytes);
    else
        m_output.push_back(std::move(bytes));
    if (!m_writing)
        write();
    chargeOutput();
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
    m_progressed = std::chrono::steady_clock::now();
    m_unsentBytes -= std::min(bytes, m_unsentBytes);
    m_sentOfFirst += bytes;
    while (!m_output.empty() && m_sentOfFirst >= m_output.front().size()) {
        m_sentOfFirst -= m_output.front().size();
        m_output.pop_front();
    }
    chargeOutput();
    if (!m_output.empty()) {
        if (m_phase == phase::Idle || m_phase == phase::Closing)
            armTimer(m_owner->callerLimits().idleTimeout);
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
    if (m_phase == phase::Reading && m_waitsForRoom) {
        armBodyTimer();
        processContained();
        read();
    } else if (m_phase == phase::Reading && m_headChecked
               && !m_body.isTooSlow(std::chrono::steady_clock::now())) {
        armBodyTimer();
    } else if (m_phase == phase::Reading) {
        refuse(408, "Request Timeout", m_headChecked ? "body_time" : "head_time");
    } else if (m_phase != phase::Busy) {
        if (!m_output.empty())
            m_owner->protection().record("unread_answer_time");
        close();
    }
}

/// Until the rate of the body is checked next.
void caller_session::armBodyTimer()
{
    armTimer(m_body.timeToCheck(std::chrono::steady_clock::now()));
}

/// Input that waits, with what the kernel can hold of the rest while it is not read.
void caller_session::chargeInput()
{
    if (m_input.empty())
        m_input.shrink_to_fit();
    auto bytes = m_input.size();
    if (bytes > 0 && !mayRead() && !m_waitsForRoom)
        bytes += m_owner->protection().limits().receiveMemory();
    m_inputCharge.resize(bytes);
    m_owner->checkMemory();
}

void caller_session::chargeOutput()
{
    auto bytes = m_unsentBytes;
    // A part of the answer was not accepted by the kernel, so its buffer is full.
    if (m_sentOfFirst > 0)
        bytes += m_owner->protection().limits().sendMemory();
    m_outputCharge.resize(bytes);
    m_owner->checkMemory();
}

policy::caller_load caller_session::load() const
{
    // A caller that sends many requests ahead holds memory that it does not need yet.
    const bool sendsAhead
        = m_phase != phase::Reading && m_input.size() >= m_owner->protection().pipelinedBytes();
    policy::caller_load result;
    result.id = m_id;
    result.account = m_body.account();
    result.bytes = m_headCharge.bytes() + m_body.chargedBytes() + m_inputCharge.bytes()
        + m_outputCharge.bytes();
    result.began = m_requestStart;
    result.progressed = m_progressed;
    result.waits = m_waitsForRoom;
    result.isFinished = m_phase != phase::Reading && m_output.empty() && !sendsAhead;
    return result;
}

void caller_session::endForOverload()
{
    if (m_phase == phase::Reading)
        refuse(503, "Service Unavailable");
    else
        handleDisconnect();
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
    releaseRequest();
    std::exchange(m_input, {});
    m_inputCharge.resize(0);
    m_outputCharge.resize(0);
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
    m_owner->sessionEnded(shared_from_this());
}

} // namespace quetzalcleat::forward
