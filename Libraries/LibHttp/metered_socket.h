#pragma once

#include "LibHttp/input_account.h"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <system_error>
#include <utility>

namespace quetzalcleat::http {

/// A socket that reports what it reads to an input_account. RESTinio uses it in place of a TCP
/// socket; it has no hook of its own before a request is complete.
class metered_socket : public asio::ip::tcp::socket
{
public:
    /// Returns the entry of a new connection in the account.
    using opener = std::function<std::shared_ptr<input_account::connection>(
        std::uint64_t connectionId, std::function<void()> close)>;

    metered_socket(asio::io_context &context, std::shared_ptr<const opener> open)
        : asio::ip::tcp::socket(context), m_open(std::move(open))
    {
    }

    /// Called once the socket has its final address.
    void startMetering(std::uint64_t connectionId)
    {
        // Shut down rather than closed: RESTinio does not clean up after a cancelled read.
        m_input = (*m_open)(connectionId, [this] {
            std::error_code ignored;
            shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        });
    }

    // The name is prescribed by RESTinio.
    template <typename Buffer, typename Handler>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_read_some(const Buffer &buffer, Handler &&handler)
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        asio::ip::tcp::socket::async_read_some(
            buffer,
            asio::bind_executor(executor,
                                [input = m_input, data = static_cast<const char *>(buffer.data()),
                                 handler = std::forward<Handler>(handler)](
                                    std::error_code error, std::size_t length) mutable {
                                    if (!error
                                        && !input->receive(std::string_view(data, length),
                                                           std::chrono::steady_clock::now()))
                                        error = asio::error::connection_reset;
                                    handler(error, error ? 0 : length);
                                }));
    }

private:
    std::shared_ptr<const opener> m_open;
    std::shared_ptr<input_account::connection> m_input;
};

/// Overload of a customisation point of RESTinio, found by the type of the socket.
template <typename Connection, typename Start, typename Failed>
// NOLINTNEXTLINE(readability-identifier-naming)
void prepare_connection_and_start_read(metered_socket &socket, Connection &connection, Start start,
                                       Failed)
{
    socket.startMetering(connection.connection_id());
    start();
}

} // namespace quetzalcleat::http
