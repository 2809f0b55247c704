#pragma once

#include "LibForward/arriving_body.h"
#include "LibForward/forwarder.h"
#include "LibForward/http_reader.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <system_error>

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

class exchange;

/// A connection of a caller. Keeps itself alive while the socket is open, reads one request after
/// another, and detects a caller that disconnects while a request is in progress.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(std::shared_ptr<forwarder> owner, asio::ip::tcp::socket socket,
                   asio::ip::address address);

    void start();

    /// Closes the connection unless a request has arrived, is being read or is in progress.
    void closeIfIdle();
    /// Ends a request in progress at the end of the grace time of a planned stop. A response that
    /// is being written to a slow caller goes on.
    void endRequest();
    void close();
    /// Gives back its memory for others. A request that is arriving is refused.
    void endForOverload();

    std::uint64_t id() const { return m_id; }
    const asio::ip::address &address() const { return m_address; }
    policy::caller_load load() const;
    /// No request is in progress or arriving, and no answer is on its way.
    bool isIdle() const;
    bool hasBytesToRead() const;
    bool isReading() const { return m_phase == phase::Reading; }
    /// When it last sent or read a byte, or was accepted.
    core::instant progressed() const { return m_progressed; }

    const std::shared_ptr<exchange> &currentExchange() const { return m_exchange; }

    /// Sends a complete response. Sets Content-Length.
    void sendResponse(http_head head, const std::string &body);

    /// Sends the head of a response whose body follows in parts.
    void beginResponse(http_head head);
    void sendPart(const std::string &bytes);
    void endResponse();

    /// Closes the connection without ending the response, so that it does not look complete.
    void abortResponse();

    /// Whether so much waits for a slow caller that no more should be produced for it.
    bool isCongested() const;

private:
    enum class phase { Idle, Reading, Busy, Closing };

    void read();
    void handleReadable(std::error_code error);
    void process();
    void processContained();
    void beginRequest();
    bool parse();
    void checkHead();
    bool reserveBody();
    bool accept(arriving_body::check_result result);
    void armBodyTimer();
    void endWait();
    bool mayRead() const;
    void chargeInput();
    void chargeOutput();
    void releaseRequest();
    void startExchange(bool keepAlive);
    void refuse(int status, std::string_view reason, std::string_view limit = {});
    void queue(std::string bytes);
    void write();
    void recordWritten(std::size_t bytes);
    void responseDone();
    void readNextRequest();
    void armTimer(std::chrono::milliseconds time);
    void handleTimeout();
    void handleDisconnect();
    void shutDown();

    std::shared_ptr<forwarder> m_owner;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http_reader m_reader{http_reader::message_kind::Request};
    arriving_body m_body;
    std::string m_input; ///< Received and not parsed yet.
    std::deque<std::string> m_output;
    policy::memory_charge m_headCharge;
    policy::memory_charge m_inputCharge;
    policy::memory_charge m_outputCharge;
    std::uint64_t m_id = 0;
    asio::ip::address m_address;
    core::instant m_progressed;
    std::size_t m_unsentBytes = 0;
    std::size_t m_lingerBytes = 0; ///< Discarded while the connection closes.
    std::size_t m_sentOfFirst = 0; ///< Bytes of the first entry of `m_output` that are sent.
    std::shared_ptr<exchange> m_exchange;
    core::instant m_requestStart;
    phase m_phase = phase::Idle;
    std::uint64_t m_requestCount = 0; ///< Since the connection was accepted.
    bool m_headChecked = false;
    bool m_waitsForRoom = false; ///< Memory is short, so the body is not read.
    bool m_reading = false;
    bool m_writing = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_closed = false;
};

} // namespace quetzalcleat::forward
