#pragma once

#include "LibForward/forwarder.h"
#include "LibForward/http_reader.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

class exchange;

/// A connection of a caller. Keeps itself alive while the socket is open, reads one request after
/// another, and detects a caller that disconnects while a request is in progress.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(std::shared_ptr<forwarder> owner, asio::ip::tcp::socket socket);

    void start();

    /// Closes the connection unless a request has arrived, is being read or is in progress.
    void closeIfIdle();
    /// Ends a request in progress at the end of the grace time of a planned stop.
    void endRequest();
    void close();
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
    bool isCongested() const { return m_unsentBytes > maximumUnsentBytes; }

private:
    static constexpr std::size_t maximumUnsentBytes = std::size_t{256} * 1024;

    enum class phase { Idle, Reading, Busy, Closing };

    void read();
    void process();
    void processContained();
    caller_limits limits() const;
    void checkHead();
    void startExchange();
    void refuse(int status, std::string_view reason);
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
    std::string m_buffer;
    std::string m_input; ///< Received and not parsed yet.
    std::string m_body;
    std::deque<std::string> m_output;
    std::size_t m_unsentBytes = 0;
    std::size_t m_lingerBytes = 0; ///< Discarded while the connection closes.
    std::size_t m_sentOfFirst = 0; ///< Bytes of the first entry of `m_output` that are sent.
    std::shared_ptr<exchange> m_exchange;
    core::instant m_requestStart;
    phase m_phase = phase::Idle;
    std::uint64_t m_requestCount = 0; ///< Since the connection was accepted.
    bool m_headChecked = false;
    bool m_reading = false;
    bool m_writing = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_closed = false;
};

} // namespace quetzalcleat::forward
