#pragma once

#include "LibCore/result.h"
#include "LibCore/settings.h"
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

/// Largest body of a request that a session gets to see; a larger one is answered with 413.
constexpr std::size_t maximumRequestBytes = 4 * 1024 * 1024;

/// One request of a caller and the answer to it. Belongs to the thread of the io_context.
class caller_exchange
{
public:
    using written_callback = std::function<void(std::error_code)>;

    virtual ~caller_exchange() = default;

    virtual const caller_request &request() const = 0;

    /// Drops the body of the request, for streams that live long.
    virtual void releaseBody() = 0;

    /// Sends a whole answer.
    virtual void respond(response_head head, std::string body) = 0;

    /// Starts an answer in chunks.
    virtual void startStream(response_head head) = 0;

    /// Sends a chunk. The callback comes once the operating system has taken all bytes, or with
    /// CallerGone; keeping one chunk under way at a time bounds the memory of a slow caller.
    virtual void write(std::string chunk, written_callback written) = 0;

    /// Ends an answer in chunks.
    virtual void finishStream() = 0;

    /// Called at most once, when the caller's connection is gone before the answer is complete.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

struct caller_server_options
{
    core::socket_address address; ///< Port 0 lets the operating system choose.
    std::size_t maximumConnections = 8192;
    /// A caller that takes no bytes of a chunk for this time is disconnected.
    std::chrono::milliseconds writeProgressTimeout{10000};
    std::chrono::milliseconds idleTimeout{60000}; ///< For the next request of a connection.
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

    /// Starts listening. Errors are those of the operating system, for example address_in_use.
    core::result<void> open();

    /// Stops listening. Connections that are open stay open.
    void closeListener();

    /// From now on every answer closes its connection.
    void closeConnectionsAfterAnswers();

    /// Port that the server listens on.
    std::uint16_t port() const;

    /// Requests whose answers are not yet handed to the operating system in full.
    std::size_t openExchanges() const;

    std::size_t openConnections() const;

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::http
