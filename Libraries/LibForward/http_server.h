#pragma once

#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibForward/http_reader.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

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

/// A small HTTP server for operators, readiness checks and metrics. The handler may respond later.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    using responder = std::function<void(http_response)>;
    using handler = std::function<void(const http_head &, std::string body, responder)>;

    http_server(asio::io_context &context, handler handler);

    /// Errors: ListenFailed.
    core::result<void> start(const core::socket_address &address);
    void stop();

private:
    class session;

    void acceptNext();

    asio::io_context &m_context;
    handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<session>> m_sessions;
    bool m_stopped = false;
};

} // namespace quetzalcleat::forward
