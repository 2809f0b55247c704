#include "LibHttp/caller_server.h"

#include "LibHttp/http_error.h"
#include "LibHttp/metered_socket.h"

#include <restinio/all.hpp>

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <poll.h>

// The extension points that RESTinio itself uses for its TLS socket. Names are prescribed by it.
// NOLINTBEGIN(readability-identifier-naming)
namespace restinio {

template <typename Settings>
class socket_type_dependent_settings_t<Settings, quetzalcleat::http::metered_socket>
{
public:
    using opener_pointer = std::shared_ptr<const quetzalcleat::http::metered_socket::opener>;

    void setOpener(opener_pointer open) { m_open = std::move(open); }
    const opener_pointer &opener() const { return m_open; }

protected:
    socket_type_dependent_settings_t() = default;
    socket_type_dependent_settings_t(socket_type_dependent_settings_t &&) noexcept = default;
    ~socket_type_dependent_settings_t() = default;

private:
    opener_pointer m_open;
};

namespace impl {

template <>
class socket_supplier_t<quetzalcleat::http::metered_socket>
{
protected:
    using socket_type = quetzalcleat::http::metered_socket;

    template <typename Settings>
    socket_supplier_t(Settings &settings, asio::io_context &context)
        : m_open(settings.opener()), m_context(context)
    {
        while (m_sockets.size() < settings.concurrent_accepts_count())
            m_sockets.emplace_back(m_context, m_open);
    }

    socket_type &socket(std::size_t index) { return m_sockets.at(index); }

    socket_type move_socket(std::size_t index)
    {
        socket_type accepted(m_context, m_open);
        std::swap(accepted, m_sockets.at(index));
        return accepted;
    }

    auto concurrent_accept_sockets_count() const noexcept { return m_sockets.size(); }

private:
    std::shared_ptr<const socket_type::opener> m_open;
    asio::io_context &m_context;
    std::vector<socket_type> m_sockets;
};

} // namespace impl

} // namespace restinio
// NOLINTEND(readability-identifier-naming)

namespace quetzalcleat::http {

namespace {

// RESTinio closes the connection without a response when one of its limits is exceeded. The margin
// lets requests that are slightly too large get a 413.
constexpr std::uint64_t bodyLimitMargin = 1024 * 1024;
constexpr std::size_t maximumTargetBytes = 8 * 1024;
constexpr std::size_t maximumHeaderNameBytes = 256;
constexpr std::size_t maximumHeaderValueBytes = 16 * 1024;
constexpr std::size_t maximumHeaderCount = 100;

/// RESTinio keeps reading while it handles a request only if pipelining allows another one; without
/// a pending read it does not detect that the caller disconnected.
constexpr std::size_t maximumPipelinedRequests = 2;

/// RESTinio 0.6.16 never reuses an accept slot after an error such as "too many open files", so
/// there are several slots, and the number of connections is limited.
constexpr std::size_t concurrentAccepts = 8;

/// Sessions enforce their own deadlines; RESTinio's timeout must not fire before them.
constexpr std::chrono::hours requestHandlingTimeout{24};

/// Reports each connection that is opened or closed.
class connection_listener
{
public:
    explicit connection_listener(std::function<void(std::uint64_t, bool)> onChange)
        : m_onChange(std::move(onChange))
    {
    }

    // The name is prescribed by RESTinio.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        const auto cause = notice.cause();
        m_onChange(notice.connection_id(),
                   restinio::holds_alternative<restinio::connection_state::accepted_t>(cause));
    }

private:
    std::function<void(std::uint64_t, bool)> m_onChange;
};

/// Rejects new connections above a limit. RESTinio's own limiter is not used, because its
/// connections access the server even after its destruction.
class connection_limit
{
public:
    explicit connection_limit(std::function<bool()> allowed) : m_allowed(std::move(allowed)) { }

    restinio::ip_blocker::inspection_result_t
    inspect(const restinio::ip_blocker::incoming_info_t &) noexcept
    {
        return m_allowed() ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

private:
    std::function<bool()> m_allowed;
};

/// How often connections are checked for slow requests.
constexpr std::chrono::milliseconds slowCheckInterval{500};

struct server_traits : public restinio::default_single_thread_traits_t
{
    using stream_socket_t = metered_socket;
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = connection_listener;
    using ip_blocker_t = connection_limit;
};

using server = restinio::http_server_t<server_traits>;

struct shared_state
{
    asio::io_context &context;
    std::shared_ptr<input_account> inputs;
    /// Of the open connections, by RESTinio's number.
    std::unordered_map<std::uint64_t, std::weak_ptr<input_account::connection>> connections;
    std::size_t openExchanges = 0;
    std::size_t openConnections = 0;
    bool closeAfterResponses = false;
};

/// Whether RESTinio writes this header itself.
bool isFramingHeader(const std::string &name)
{
    const header_list one{{name, {}}};
    return findHeader(one, "Content-Length") || findHeader(one, "Transfer-Encoding")
        || findHeader(one, "Connection");
}

} // namespace

class restinio_exchange final : public caller_exchange,
                                public std::enable_shared_from_this<restinio_exchange>
{
public:
    restinio_exchange(std::shared_ptr<shared_state> state, restinio::request_handle_t handle)
        : m_state(std::move(state)), m_handle(std::move(handle)),
          m_connection(m_handle->connection_id())
    {
        const auto &source = m_handle->header();
        m_request.method = source.method().c_str();
        m_request.path = std::string(source.path());
        m_request.query = std::string(source.query());
        source.for_each_field([this](const auto &field) {
            m_request.headers.push_back({field.name(), field.value()});
        });
        m_request.body = m_handle->body();
        if (const auto input = connectionInput())
            m_charge = input->completeRequest();
        ++m_state->openExchanges;
    }

    ~restinio_exchange() override { complete(); }

    restinio_exchange(const restinio_exchange &) = delete;
    restinio_exchange &operator=(const restinio_exchange &) = delete;

    const caller_request &request() const override { return m_request; }

    // A plain assignment of an empty text would keep the buffer.
    void releaseBody() override { std::exchange(m_request.body, {}); }

    void respond(response_head head, std::string body) override
    {
        if (!m_handle)
            return;
        auto response = m_handle->create_response(statusLine(head.status));
        m_handle.reset();
        setHeaders(response, head);
        releaseBody();
        m_charge = {};
        // An answer that the process cannot hold is not sent; its connection ends.
        if (m_state->inputs->makeRoom(body.size()))
            m_charge = input_account::charge(*m_state->inputs, body.size());
        else if (const auto input = connectionInput())
            input->close();
        response.set_body(std::move(body));
        response.done(completionCallback({}));
    }

    void startStream(response_head head) override
    {
        if (!m_handle)
            return;
        m_stream.emplace(
            m_handle->create_response<restinio::chunked_output_t>(statusLine(head.status)));
        m_handle.reset();
        setHeaders(*m_stream, head);
    }

    void write(std::string chunk, written_callback written) override
    {
        if (!m_stream || m_callerGone) {
            asio::post(m_state->context, [written = std::move(written)] {
                written(make_error_code(http_error::CallerGone));
            });
            return;
        }
        m_stream->append_chunk(std::move(chunk));
        m_stream->flush([&context = m_state->context,
                         written = std::move(written)](const asio::error_code &error) {
            // Posted, so that a session never runs inside RESTinio's write handler.
            asio::post(context, [written, failed = static_cast<bool>(error)] {
                written(failed ? make_error_code(http_error::CallerGone) : std::error_code());
            });
        });
    }

    void finishStream() override
    {
        if (!m_stream)
            return;
        auto stream = std::move(*m_stream);
        m_stream.reset();
        stream.done(completionCallback({}));
    }

    void onDisconnect(std::function<void()> callback) override
    {
        m_onDisconnect = std::move(callback);
    }

    void onInterrupt(std::function<void()> callback) override
    {
        m_onInterrupt = std::move(callback);
    }

    void interrupt()
    {
        const auto callback = std::exchange(m_onInterrupt, {});
        if (callback)
            callback();
    }

    void connectionClosed()
    {
        if (m_complete || m_callerGone)
            return;
        m_callerGone = true;
        asio::post(m_state->context, [self = shared_from_this()] {
            const auto callback = std::move(self->m_onDisconnect);
            self->m_onDisconnect = {};
            self->complete();
            if (callback)
                callback();
        });
    }

private:
    static restinio::http_status_line_t statusLine(std::uint16_t status)
    {
        return {restinio::http_status_code_t{status}, reasonPhrase(status)};
    }

    static std::string reasonPhrase(std::uint16_t status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
        }
    }

    template <typename Response>
    void setHeaders(Response &response, const response_head &head)
    {
        for (const auto &field : head.headers) {
            if (!isFramingHeader(field.name))
                response.append_header(field.name, field.value);
        }
        if (m_state->closeAfterResponses)
            response.connection_close();
    }

    restinio::write_status_cb_t completionCallback(written_callback)
    {
        return [self = shared_from_this()](const asio::error_code &) { self->complete(); };
    }

    std::shared_ptr<input_account::connection> connectionInput() const
    {
        const auto found = m_state->connections.find(m_connection);
        return found == m_state->connections.end() ? nullptr : found->second.lock();
    }

    /// Removes the exchange from the count of open ones.
    void complete()
    {
        if (std::exchange(m_complete, true))
            return;
        m_charge = {};
        --m_state->openExchanges;
        m_onDisconnect = {};
        m_onInterrupt = {};
    }

    std::shared_ptr<shared_state> m_state;
    restinio::request_handle_t m_handle;
    std::uint64_t m_connection;
    caller_request m_request;
    input_account::charge m_charge; ///< The request, then the answer.
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_stream;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onInterrupt;
    bool m_callerGone = false;
    bool m_complete = false;
};

class caller_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, caller_server_options options,
                   request_handler handler)
        : m_options(std::move(options)), m_handler(std::move(handler)),
          m_state(std::make_shared<shared_state>(shared_state{context, m_options.inputs, {}})),
          m_slowCheck(context)
    {
        if (!m_state->inputs)
            m_state->inputs = std::make_shared<input_account>(input_limits());
    }

    core::result<void> open();

    void closeListener()
    {
        if (m_server)
            m_server->close_sync();
    }

    bool hasWaitingConnections() const;
    void interruptExchanges();

    shared_state &state() { return *m_state; }
    std::uint16_t port() const { return m_port; }

private:
    restinio::server_settings_t<server_traits> serverSettings();
    restinio::request_handling_status_t handle(restinio::request_handle_t request);
    void connectionChanged(std::uint64_t connection, bool opened);
    void checkSlowConnections();

    caller_server_options m_options;
    request_handler m_handler;
    std::shared_ptr<shared_state> m_state;
    asio::steady_timer m_slowCheck; ///< Runs while there are connections.
    std::unique_ptr<server> m_server;
    asio::ip::tcp::acceptor *m_acceptor = nullptr; ///< Owned by m_server.
    std::unordered_map<std::uint64_t, std::vector<std::weak_ptr<restinio_exchange>>> m_connections;
    std::uint16_t m_port = 0;
};

restinio::server_settings_t<server_traits> caller_server::implementation::serverSettings()
{
    restinio::server_settings_t<server_traits> settings;
    settings.setOpener(std::make_shared<const metered_socket::opener>(
        [state = m_state](std::uint64_t connection, std::function<void()> close) {
            auto input = state->inputs->open(std::move(close), std::chrono::steady_clock::now());
            state->connections[connection] = input;
            return input;
        }));
    settings.port(m_options.address.port)
        .address(asio::ip::make_address(m_options.address.ip))
        .protocol(m_options.address.ip.find(':') == std::string::npos ? asio::ip::tcp::v4()
                                                                      : asio::ip::tcp::v6())
        .concurrent_accepts_count(concurrentAccepts)
        .max_pipelined_requests(maximumPipelinedRequests)
        .handle_request_timeout(requestHandlingTimeout)
        .write_http_response_timelimit(m_options.writeProgressTimeout)
        .read_next_http_message_timelimit(m_options.idleTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_body_size(maximumRequestBytes + bodyLimitMargin)
                                      .max_url_size(maximumTargetBytes)
                                      .max_field_name_size(maximumHeaderNameBytes)
                                      .max_field_value_size(maximumHeaderValueBytes)
                                      .max_field_count(maximumHeaderCount))
        .acceptor_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
        .socket_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
            m_port = acceptor.local_endpoint().port();
            m_acceptor = &acceptor;
        })
        .ip_blocker(std::make_shared<connection_limit>(
            [state = m_state, limit = m_options.maximumConnections] {
                if (state->openConnections < limit)
                    return true;
                // Makes room for later ones.
                state->inputs->closeUnfinishedHeads(std::chrono::steady_clock::now());
                return false;
            }))
        .connection_state_listener(std::make_shared<connection_listener>(
            [weak = weak_from_this()](std::uint64_t connection, bool opened) {
                if (const auto self = weak.lock())
                    self->connectionChanged(connection, opened);
            }))
        .request_handler([weak = weak_from_this()](restinio::request_handle_t request) {
            const auto self = weak.lock();
            return self ? self->handle(std::move(request)) : restinio::request_rejected();
        });
    return settings;
}

core::result<void> caller_server::implementation::open()
{
    try {
        m_server = std::make_unique<server>(restinio::external_io_context(m_state->context),
                                            serverSettings());
        m_server->open_sync();
    } catch (const std::system_error &error) {
        return error.code();
    }
    return {};
}

bool caller_server::implementation::hasWaitingConnections() const
{
    if (!m_acceptor || !m_acceptor->is_open())
        return false;
    pollfd listener{m_acceptor->native_handle(), POLLIN, 0};
    return poll(&listener, 1, 0) > 0 && (listener.revents & POLLIN) != 0;
}

void caller_server::implementation::interruptExchanges()
{
    // Completing an exchange may change the lists.
    std::vector<std::weak_ptr<restinio_exchange>> open;
    for (const auto &[connection, exchanges] : m_connections)
        open.insert(open.end(), exchanges.begin(), exchanges.end());
    for (const auto &weak : open) {
        if (const auto exchange = weak.lock())
            exchange->interrupt();
    }
}

restinio::request_handling_status_t
caller_server::implementation::handle(restinio::request_handle_t request)
{
    const auto connection = request->connection_id();
    auto exchange = std::make_shared<restinio_exchange>(m_state, std::move(request));
    auto &exchanges = m_connections[connection];
    std::erase_if(exchanges, [](const auto &weak) { return weak.expired(); });
    exchanges.push_back(exchange);
    // Posted, so that a session never runs inside RESTinio's read handler.
    asio::post(m_state->context,
               [self = shared_from_this(), exchange] { self->m_handler(exchange); });
    return restinio::request_accepted();
}

void caller_server::implementation::connectionChanged(std::uint64_t connection, bool opened)
{
    if (opened) {
        if (m_state->openConnections++ == 0)
            checkSlowConnections();
        m_connections[connection];
        return;
    }
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    if (--m_state->openConnections == 0)
        m_slowCheck.cancel();
    m_state->connections.erase(connection);
    const auto exchanges = std::move(found->second);
    m_connections.erase(found);
    for (const auto &weak : exchanges) {
        if (const auto exchange = weak.lock())
            exchange->connectionClosed();
    }
}

void caller_server::implementation::checkSlowConnections()
{
    m_slowCheck.expires_after(slowCheckInterval);
    m_slowCheck.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_state->inputs->closeSlow(std::chrono::steady_clock::now());
        self->checkSlowConnections();
    });
}

caller_server::caller_server(asio::io_context &context, caller_server_options options,
                             request_handler handler)
    : m_implementation(
        std::make_shared<implementation>(context, std::move(options), std::move(handler)))
{
}

caller_server::~caller_server()
{
    closeListener();
}

core::result<void> caller_server::open()
{
    return m_implementation->open();
}

void caller_server::closeListener()
{
    m_implementation->closeListener();
}

bool caller_server::hasWaitingConnections() const
{
    return m_implementation->hasWaitingConnections();
}

void caller_server::interruptExchanges()
{
    m_implementation->interruptExchanges();
}

void caller_server::closeConnectionsAfterResponses()
{
    m_implementation->state().closeAfterResponses = true;
}

std::uint16_t caller_server::port() const
{
    return m_implementation->port();
}

std::size_t caller_server::openExchanges() const
{
    return m_implementation->state().openExchanges;
}

std::size_t caller_server::openConnections() const
{
    return m_implementation->state().openConnections;
}

} // namespace quetzalcleat::http
