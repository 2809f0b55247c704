#pragma once

#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibHttp/input_account.h"
#include "LibHttp/message.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace quetzalcleat::http {

/// Largest accepted request body; a larger one is answered with 413.
constexpr std::size_t maximumRequestBytes = 4 * 1024 * 1024;

/// A request and the response to it. Use it only on the thread that runs the io_context.
class caller_exchange
{
public:
    using written_callback = std::function<void(std::error_code)>;

    virtual ~caller_exchange() = default;

    virtual const caller_request &request() const = 0;

    /// Frees the body of the request; saves memory while a long response is streamed.
    virtual void releaseBody() = 0;

    /// Sends a complete response.
    virtual void respond(response_head head, std::string body) = 0;

    /// Starts a chunked response.
    virtual void startStream(response_head head) = 0;

    /// Sends a chunk. The callback runs once the operating system has taken all bytes, or with
    /// CallerGone. Writing one chunk at a time bounds the memory that a slow caller uses.
    virtual void write(std::string chunk, written_callback written) = 0;

    /// Ends a chunked response.
    virtual void finishStream() = 0;

    /// Sets a callback that runs at most once, if the connection closes before the response is
    /// complete.
    virtual void onDisconnect(std::function<void()> callback) = 0;

    /// Sets a callback that runs at most once, if the server ends the exchange before the response
    /// is complete. The callback completes the response.
    virtual void onInterrupt(std::function<void()> callback) = 0;
};

struct caller_server_options
{
    core::socket_address address; ///< Port 0 selects a free port.
    std::size_t maximumConnections = 8192;
    /// A caller that takes no bytes of a chunk for this long is disconnected.
    std::chrono::milliseconds writeProgressTimeout{10000};
    std::chrono::milliseconds idleTimeout{60000}; ///< Between requests on a connection.
    /// Shared by the servers of a process; a server without one has its own with default limits.
    std::shared_ptr<input_account> inputs = nullptr;
};

/// HTTP/1.1 server for callers or operators on a shared io_context.
class caller_server
{
public:
    using request_handler = std::function<void(std::shared_ptr<caller_exchange>)>;

    caller_server(asio::io_context &context, caller_server_options options,
                  request_handler handler);
    ~caller_server();

    caller_server(const caller_server &) = delete;
    caller_server &operator=(const caller_server &) = delete;

    /// Starts listening. Returns an operating system error, for example address_in_use.
    core::result<void> open();

    /// Stops listening; open connections stay open.
    void closeListener();

    /// Whether the operating system has connections that the server has not accepted yet. Closing
    /// the listener resets them.
    bool hasWaitingConnections() const;

    /// Closes each connection after its next response.
    void closeConnectionsAfterResponses();

    /// Runs the callback of caller_exchange::onInterrupt of each open exchange.
    void interruptExchanges();

    /// The port that the server listens on.
    std::uint16_t port() const;

    /// Number of requests whose responses are not yet fully written to the socket.
    std::size_t openExchanges() const;

    std::size_t openConnections() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::http
