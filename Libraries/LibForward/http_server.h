#pragma once

#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibForward/http_reader.h"
#include "LibForward/limit_log.h"
#include "LibPolicy/memory_budget.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace quetzalcleat::forward {

struct http_response
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string location; ///< For redirections; empty for none.
    std::string body;
};

/// Limits of a small server. docs/operators/callers.md lists them.
struct http_server_options
{
    std::size_t bodyBytes = 0; ///< Of one request; longer ones are refused from the head.
    std::size_t headBytes = std::size_t{16} * 1024;
    std::size_t headFields = 256;
    std::size_t sessions = 200; ///< When all are open, the one without progress for longest closes.
    /// Bodies and answers of all connections together.
    std::size_t heldBytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds idleTime{30'000};
    std::chrono::milliseconds requestTime{10'000}; ///< From its first byte to its last one.
    std::chrono::milliseconds answerTime{30'000}; ///< Until the answer has been read.
    /// Of the process; null for none. Everything is charged as unread answers or bodies.
    std::shared_ptr<policy::memory_budget> memory;
    std::shared_ptr<limit_log> log; ///< Null for none.
};

/// A small HTTP server for operators, readiness checks and metrics. The handler may respond later.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    using responder = std::function<void(http_response)>;
    using handler = std::function<void(const http_head &, std::string body, responder)>;

    http_server(asio::io_context &context, handler handler, http_server_options options = {});

    /// Errors: ListenFailed.
    core::result<void> start(const core::socket_address &address);
    void stop();

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    class session;

    void acceptNext();
    void open(asio::ip::tcp::socket socket);
    bool makeRoom(const session &requester, std::size_t bytes);
    void record(std::string_view limit);

    asio::io_context &m_context;
    handler m_handler;
    http_server_options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<session>> m_sessions;
    std::array<char, 16 * 1024> m_readBuffer{};
    std::size_t m_heldBytes = 0; ///< Charged by all sessions.
    bool m_stopped = false;
};

} // namespace quetzalcleat::forward
