#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/settings.h"
#include "LibCore/time.h"
#include "LibForward/http_reader.h"

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

struct upstream_options
{
    /// For a new connection. Shorter than the second after which TCP retransmits a lost SYN.
    std::chrono::milliseconds connectTimeout{600};
    /// The kernel of an endpoint that is ending may still accept a connection. One that lasts for
    /// this long is to an endpoint that runs.
    std::chrono::milliseconds checkTime{20};
    /// How long idle connections are reused if the endpoint announces no idle time.
    std::chrono::milliseconds idleTime{4000};
    /// Upper bound of an announced idle time, so that connections to unused endpoints are closed.
    /// As long as prefixes are expected in caches (placement_options::cacheRetention).
    std::chrono::milliseconds maximumIdleTime{60'000};
    /// The peer is considered lost if sent bytes stay unacknowledged for this long.
    std::chrono::milliseconds unacknowledgedTimeout{2000};
    std::size_t idlePerEndpoint = 32;
    std::size_t idleConnections = 1000; ///< To all endpoints together.
    /// Buffers in the kernel for each connection, which doubles the values. Bytes in them count
    /// toward the memory of the process, and by default they may grow to several MB. Enough for
    /// 25 Mbit/s at a round trip of 40 ms.
    int bufferBytes = 128 * 1024;
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

/// Idle connections by endpoint. One that the peer closes, or sends bytes on, is closed.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    using connection_pointer = std::shared_ptr<upstream_connection>;

    /// Broken answers are counted in `counters`, if there are any.
    connection_pool(asio::io_context &context, upstream_options options,
                    core::counter_registry *counters = nullptr)
        : m_context(context), m_options(options), m_counters(counters)
    {
    }

    /// The most recently used idle connection, or a null pointer.
    connection_pointer acquire(const std::string &key);
    bool hasIdle(const std::string &key, core::instant now) const;
    void release(const connection_pointer &connection, std::chrono::milliseconds idleTime);
    /// Opens a connection to find out whether the endpoint runs. It becomes idle at once. The error
    /// tells why there is none: connection_refused or connection_reset if the endpoint does not
    /// run.
    void open(const core::socket_address &address, const std::string &key,
              std::function<void(std::error_code)> handler);
    void closeIdle(core::instant now);
    void closeAll();
    void recordBrokenAnswer(std::string_view reason);

    asio::io_context &context() { return m_context; }
    /// For reads that are consumed at once. A connection that waits has no buffer of its own.
    std::array<char, 16 * 1024> &readBuffer() { return m_readBuffer; }
    const upstream_options &options() const { return m_options; }

private:
    void connect(const core::socket_address &address, const std::string &key,
                 std::function<void(const connection_pointer &, std::error_code)> handler);
    void openAgain(const core::socket_address &address, const std::string &key,
                   std::function<void(std::error_code)> handler);
    void confirmThatItLasts(const connection_pointer &connection,
                            const core::socket_address &address,
                            std::function<void(std::error_code)> handler);
    std::size_t idleCount() const;
    void watch(const connection_pointer &connection);

    asio::io_context &m_context;
    upstream_options m_options;
    core::counter_registry *m_counters;
    std::map<std::string, std::vector<connection_pointer>> m_idle;
    std::array<char, 16 * 1024> m_readBuffer{};
};

/// One request sent to one endpoint.
///
/// Handlers are called from the event loop. `ended` is called last and exactly once, unless
/// cancel() is called, after which no handler is called.
class attempt : public std::enable_shared_from_this<attempt>
{
public:
    struct ending
    {
        std::error_code error; ///< No error if the response is complete.
        bool wasSent = false; ///< Whether a byte of the request may have reached the endpoint.
        bool reusedConnectionFailed = false; ///< Before any response byte.
        bool wasWithdrawn = false; ///< By `mayWrite`, before a byte was written.
    };

    struct handlers
    {
        std::function<bool()> mayWrite; ///< Asked directly before the write.
        /// Asked at the end of a response without a length: whether it is incomplete if the
        /// endpoint takes no connections any more. It is if there is no handler.
        std::function<bool()> mustConfirmEnd;
        std::function<void()> sent; ///< The connection is open and the write has begun.
        /// Called for each head before `head`: of interim responses (status 1xx) too, and of one
        /// that had arrived, but was not read, at cancel().
        std::function<void(const http_head &)> notices;
        std::function<void(http_head &)> head;
        std::function<void(std::string &)> body; ///< May move the bytes away.
        std::function<void(const ending &)> ended;
    };

    struct request
    {
        core::socket_address address;
        std::string key; ///< Address and incarnation; identifies interchangeable connections.
        std::string text; ///< The whole request, or its head if there is a body.
        /// Shared with the other attempts of the request; null for none.
        std::shared_ptr<const std::string> body;
        std::string identifier; ///< Value of `identifierHeader` that the response must repeat.
        std::string identifierHeader;
        bool isHeadRequest = false;
        bool needsNewConnection = false; ///< Idle connections are not used.
    };

    static std::shared_ptr<attempt> start(std::shared_ptr<connection_pool> pool, request content,
                                          handlers handlers);

    /// Closes the connection, so that the endpoint cancels the request.
    void cancel();

    /// Like cancel(), and discards what the endpoint has not acknowledged.
    void recall();

    /// Whether a part of the request may reach the endpoint later: it is not acknowledged yet.
    bool mayArriveLater() const;

    /// Stops reading from the endpoint while the caller is slow.
    void pause() { m_paused = true; }
    void resume();
    bool isPaused() const { return m_paused; }

private:
    attempt(std::shared_ptr<connection_pool> pool, request content, handlers handlers);

    void connect();
    void send();
    void withdraw();
    void read();
    void handleBytes(std::string_view bytes);
    void parse(std::string_view bytes);
    void handleReadable(upstream_connection &connection, std::error_code error);
    void readDiscarded();
    void parseDiscarded(std::string_view bytes,
                        const std::function<void(const http_head &)> &notices);
    void handleClosed(std::error_code error);
    void handleWritten(std::error_code error);
    bool awaitsWriteResult() const;
    void confirmEnd();
    void finish(std::error_code error);

    std::shared_ptr<connection_pool> m_pool;
    request m_request;
    handlers m_handlers;
    std::shared_ptr<upstream_connection> m_connection;
    asio::steady_timer m_timer;
    http_reader m_reader{http_reader::message_kind::Response};
    std::string m_body;
    std::string m_discarded; ///< Arrived, but was not read, at cancel().
    std::chrono::milliseconds m_idleTime{0}; ///< Of the connection, as announced by the endpoint.
    std::error_code m_writeError; ///< Of the write of the request.
    std::size_t m_unrelatedBytes = 0; ///< Of interim responses and of those to other requests.
    bool m_headHandled = false;
    bool m_writeDone = false;
    bool m_closedInWrite = false; ///< The answer may have ended; the result of the write decides.
    bool m_confirmsEnd = false; ///< The answer may have ended; a new connection decides.
    bool m_receivedBytes = false;
    bool m_isUnrelatedResponse = false; ///< The response being read belongs to an earlier request.
    bool m_sawUnrelatedBytes = false;
    bool m_sent = false;
    bool m_done = false;
    bool m_paused = false;
    bool m_reading = false;
};

} // namespace quetzalcleat::forward
