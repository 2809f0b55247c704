#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/settings.h"
#include "LibHttp/message.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace quetzalcleat::http {

struct transfer_timeouts
{
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds firstByte{30000}; ///< From the start to the first byte of the body.
    std::chrono::milliseconds progress{10000}; ///< Between chunks of the body; stops while paused.
    /// From the first to the last byte of the body, for bodies that are not streams.
    std::optional<std::chrono::milliseconds> body = std::nullopt;
};

struct endpoint_request
{
    std::string method;
    core::socket_address address;
    std::string target; ///< Path and query.
    header_list headers;
    std::string body;
    /// The request must not reach the endpoint twice. It gets a new connection, because libcurl
    /// resends a request on its own if a reused connection turns out to be dead.
    bool sendOnce = false;
    /// The response must repeat the request's X-Request-Id, which no other request to the address
    /// has; see endpoint_client.
    bool checksIdentity = false;
    /// If set, asked directly before the first byte is sent. If it returns false, nothing is sent
    /// and the transfer ends with http_error::Withdrawn. Must not call the client.
    std::function<bool()> mayStillSend = {};
    transfer_timeouts timeouts;
};

/// How a transfer ended.
struct transfer_result
{
    std::error_code error; ///< Unset if the response is complete; of http_error or response_error.
    bool maybeSent = true; ///< False only if no byte of the request was sent.
};

/// Callbacks on the thread of the io_context. None is called after onEnd or cancel().
struct transfer_handler
{
    std::function<void(const response_head &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(const transfer_result &)> onEnd;
    std::function<void(const response_head &)> onInterim = {}; ///< May be empty.
};

/// A running transfer. All functions may be called from within a callback of its handler.
class endpoint_transfer
{
public:
    virtual ~endpoint_transfer() = default;

    /// Stops reading from the connection. libcurl buffers at most maximumChunkBytes more.
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// Ends the transfer and closes its connection. No callback runs afterwards.
    virtual void cancel() = 0;
};

/// Largest chunk of a body that is passed to onBody.
constexpr std::size_t maximumChunkBytes = 8 * 1024;

/// Largest head of a response, including the interim responses before it; also the largest trailer.
/// It takes no longer than transfer_timeouts::firstByte, a trailer no longer than `progress`.
constexpr std::size_t maximumHeadBytes = 64 * 1024;

/// HTTP client for engines, services and the platform, using libcurl's multi interface on Asio.
///
/// After a timeout, no connection to the same address that was opened before it is reused, as all
/// of them may be dead.
///
/// With checksIdentity, a response is delivered only if it repeats the id of its request, or if it
/// names none and is the first of its connection; otherwise a late copy of another response could
/// be taken for it. Connections to an address are reused only while its responses name their
/// requests.
class endpoint_client
{
public:
    /// Broken answers are counted in `counters`, if there are any.
    explicit endpoint_client(asio::io_context &context, core::counter_registry *counters = nullptr);
    ~endpoint_client();

    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    std::shared_ptr<endpoint_transfer> start(endpoint_request request, transfer_handler handler);

    /// Cancels all transfers and closes their connections, without calling their handlers.
    void shutDown();

private:
    class implementation;

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::http
