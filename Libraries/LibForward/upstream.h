#pragma once

#include "LibCore/settings.h"
#include "LibCore/time.h"
#include "LibForward/http_reader.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

struct upstream_options
{
    /// For a new connection; a lost first packet is sent again after a second.
    std::chrono::milliseconds connectTimeout{600};
    /// Idle connections older than this are not used again, if the endpoint announces no time.
    std::chrono::milliseconds idleTime{4000};
    /// Upper bound of an announced time, so that connections to unused endpoints end. Source: as
    /// long as prefixes are expected in caches (placement_options::cacheRetention).
    std::chrono::milliseconds maximumIdleTime{60'000};
    /// Bytes that stay unacknowledged for this long mean that the peer is gone.
    std::chrono::milliseconds unacknowledgedTimeout{2000};
    std::size_t idlePerEndpoint = 32;
};

/// A connection to an endpoint that carries one request at a time.
struct upstream_connection
{
    explicit upstream_connection(asio::io_context &context) : socket(context) { }

    asio::ip::tcp::socket socket;
    std::string key; ///< Address and incarnation.
    core::instant idleSince;
    std::chrono::milliseconds idleTime{0};
    bool isIdle = false;
    bool wasUsedBefore = false;
};

/// Idle connections by endpoint. A peer that closes one, or sends bytes on it, ends it.
class connection_pool
{
public:
    using connection_pointer = std::shared_ptr<upstream_connection>;

    connection_pool(asio::io_context &context, upstream_options options)
        : m_context(context), m_options(options)
    {
    }

    /// The connection that was used last, or a null pointer.
    connection_pointer acquire(const std::string &key);
    bool hasIdle(const std::string &key, core::instant now) const;
    void release(const connection_pointer &connection, std::chrono::milliseconds idleTime);
    void closeIdle(core::instant now);
    void closeAll();

    asio::io_context &context() { return m_context; }
    const upstream_options &options() const { return m_options; }

private:
    void watch(const connection_pointer &connection);

    asio::io_context &m_context;
    upstream_options m_options;
    std::map<std::string, std::vector<connection_pointer>> m_idle;
};

/// One request sent to one endpoint.
///
/// Handlers are called from the event loop, `ended` exactly once and last unless cancel() is
/// called, after which there are no calls.
class attempt : public std::enable_shared_from_this<attempt>
{
public:
    struct ending
    {
        std::error_code error; ///< None: the response is complete.
        bool wasSent = false; ///< Whether a byte of the request may have reached the endpoint.
        bool wasReset = false; ///< On a used connection, before any byte of a response.
    };

    struct handlers
    {
        std::function<void()> sent; ///< The connection is open; the request is being written.
        std::function<void(http_head &)> head;
        std::function<void(std::string &)> body; ///< May take the bytes away.
        std::function<void(const ending &)> ended;
    };

    struct request
    {
        core::socket_address address;
        std::string key; ///< Address and incarnation; connections are shared under it.
        std::string text; ///< The whole request.
        std::string identifier; ///< Value that the response has to repeat.
        std::string identifierHeader;
        bool isHeadRequest = false;
        bool requiresNewConnection = false;
    };

    static std::shared_ptr<attempt> start(std::shared_ptr<connection_pool> pool, request content,
                                          handlers handlers);

    /// Closes the connection, so that the endpoint stops.
    void cancel();

    /// Holds back reading while the caller does not take what it was sent.
    void pause() { m_paused = true; }
    void resume();

private:
    attempt(std::shared_ptr<connection_pool> pool, request content, handlers handlers);

    void connect();
    void send();
    void read();
    void handleBytes(std::string_view bytes);
    void handleClosed(std::error_code error);
    void finish(std::error_code error);

    std::shared_ptr<connection_pool> m_pool;
    request m_request;
    handlers m_handlers;
    std::shared_ptr<upstream_connection> m_connection;
    asio::steady_timer m_timer;
    http_reader m_reader{http_reader::message_kind::Response};
    std::string m_buffer;
    std::string m_body;
    std::chrono::milliseconds m_idleTime{0}; ///< For the connection, as the endpoint announced.
    bool m_headHandled = false;
    bool m_writeDone = false;
    bool m_receivedBytes = false;
    bool m_isUnrelatedResponse = false; ///< The response being read is to an earlier request.
    bool m_sawUnrelatedBytes = false;
    bool m_sent = false;
    bool m_done = false;
    bool m_paused = false;
    bool m_reading = false;
};

} // namespace quetzalcleat::forward
