#pragma once

#include "LibCore/settings.h"
#include "LibHttp/message.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace quetzalcleat::http {

struct transfer_timeouts
{
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds firstByte{30000}; ///< From the start to the first byte of the body.
    std::chrono::milliseconds progress{10000}; ///< Between pieces; not counted while paused.
};

struct endpoint_request
{
    std::string method;
    core::socket_address address;
    std::string target; ///< Path with query.
    header_list headers;
    std::string body;
    /// The request must not reach the endpoint twice. It gets a connection of its own, because
    /// libcurl sends a request again by itself when a reused connection turns out to be dead.
    bool sendOnce = false;
    transfer_timeouts timeouts;
};

/// How a transfer ended.
struct transfer_end
{
    std::error_code error; ///< No error: the answer is whole.
    bool maybeSent = true; ///< False if certainly no byte of the request was sent.
};

/// Called on the thread of the io_context. None is called after onEnd or after cancel().
struct transfer_handler
{
    std::function<void(const response_head &)> onHead;
    std::function<void(std::string_view)> onPiece;
    std::function<void(const transfer_end &)> onEnd;
};

/// A request on its way. Every member may be called from inside a handler.
class endpoint_transfer
{
public:
    virtual ~endpoint_transfer() = default;

    /// Stops reading from the connection. At most maximumPieceBytes more are kept by the library.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Ends the transfer and closes its connection. No handler is called afterwards.
    virtual void cancel() = 0;
};

/// Largest piece of a body that one call of onPiece gets.
constexpr std::size_t maximumPieceBytes = 8 * 1024;

/// HTTP client for engines, services and the platform: libcurl's multi interface driven by Asio.
///
/// After a timeout on a connection to an address, no connection to it that was opened earlier is
/// used again: silence of one is taken as silence of all.
class endpoint_client
{
public:
    explicit endpoint_client(asio::io_context &context);
    ~endpoint_client();

    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    std::shared_ptr<endpoint_transfer> start(endpoint_request request, transfer_handler handler);

    /// Cancels every transfer and closes every connection.
    void shutDown();

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::http
