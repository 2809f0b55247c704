#include "LibHttp/endpoint_client.h"

#include "LibCore/time.h"
#include "LibHttp/http_error.h"
#include "LibHttp/response_head_reader.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace quetzalcleat::http {

namespace {

/// Connections idle for longer than this are not reused.
constexpr std::chrono::seconds maximumIdleTime{30};

/// Maximum number of idle connections in total; about one for each open stream of a busy host.
constexpr long maximumIdleConnections = 4096;

/// libcurl allocates this for each transfer with a body; this is the smallest size it accepts.
constexpr long uploadBufferBytes = 16 * 1024;

class curl_global
{
public:
    curl_global() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    ~curl_global() { curl_global_cleanup(); }

    curl_global(const curl_global &) = delete;
    curl_global &operator=(const curl_global &) = delete;
};

std::string urlFor(const endpoint_request &request)
{
    const auto &address = request.address;
    const auto host
        = address.ip.find(':') == std::string::npos ? address.ip : '[' + address.ip + ']';
    return "http://" + host + ':' + std::to_string(address.port) + request.target;
}

std::error_code toError(CURLcode code, bool responseStarted)
{
    switch (code) {
    case CURLE_OK:
        return {};
    case CURLE_COULDNT_CONNECT:
        return http_error::ConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
        return http_error::ConnectTimeout;
    case CURLE_ABORTED_BY_CALLBACK: // Only beforeRequest() does that.
        return http_error::Withdrawn;
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
        return http_error::ConnectionBroken;
    default:
        return responseStarted ? http_error::ConnectionBroken : http_error::InvalidResponse;
    }
}

/// Only connection errors are certain to occur before the first byte of the request is sent. A
/// timeout reported by libcurl is always one of connecting, because no other is set.
bool maybeSent(CURLcode code)
{
    return code != CURLE_COULDNT_CONNECT && code != CURLE_OPERATION_TIMEDOUT
        && code != CURLE_URL_MALFORMAT && code != CURLE_ABORTED_BY_CALLBACK;
}

/// Endpoints may name the requests of one method and not those of another.
std::string identityScope(const endpoint_request &request)
{
    return request.method + ' ' + request.address.text();
}

struct watched_socket
{
    explicit watched_socket(asio::io_context &context, curl_socket_t socket)
        : descriptor(context, socket)
    {
    }

    asio::posix::stream_descriptor descriptor;
    int requestedEvents = 0; ///< CURL_POLL_... flags.
    bool waitsForRead = false;
    bool waitsForWrite = false;
};

} // namespace

class endpoint_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, core::counter_registry *counters);
    ~implementation();

    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    class transfer;

    std::shared_ptr<endpoint_transfer> start(endpoint_request request, transfer_handler handler);
    void shutDown();
    void add(const std::shared_ptr<transfer> &added);
    void remove(transfer &removed);
    void perform(curl_socket_t socket, int events);
    void recordTimeout(const std::string &address);
    void recordBrokenAnswer(std::error_code error);
    void recordIdentity(const endpoint_request &request, bool namesRequest);
    void configureConnectionReuse(CURL *easy, const endpoint_request &request);
    asio::io_context &context() { return m_context; }

private:
    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *);
    static int onTimer(CURLM *multi, long milliseconds, void *self);

    void watch(curl_socket_t socket, int what);
    void unwatch(curl_socket_t socket);
    void arm(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched);
    void onReady(curl_socket_t socket, const std::shared_ptr<watched_socket> &watched, int events);
    void endCompletedTransfers();

    curl_global m_curlGlobal;
    asio::io_context &m_context;
    core::counter_registry *m_counters;
    CURLM *m_multi = nullptr;
    asio::steady_timer m_timer;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> m_sockets;
    std::unordered_map<CURL *, std::shared_ptr<transfer>> m_transfers;
    std::unordered_map<std::string, core::instant> m_lastTimeouts; ///< By address.
    std::unordered_set<std::string> m_namesRequests; ///< Scopes whose responses do.
};

class endpoint_client::implementation::transfer final
    : public endpoint_transfer,
      public std::enable_shared_from_this<transfer>
{
public:
    transfer(std::weak_ptr<implementation> owner, asio::io_context &context,
             endpoint_request request, transfer_handler handler)
        : m_owner(std::move(owner)), m_context(context), m_timer(context),
          m_request(std::move(request)), m_handler(std::move(handler))
    {
    }

    ~transfer() override
    {
        if (m_easy)
            curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }

    transfer(const transfer &) = delete;
    transfer &operator=(const transfer &) = delete;

    void pause() override
    {
        if (m_ended || m_paused)
            return;
        m_paused = true;
        if (m_easy)
            curl_easy_pause(m_easy, CURLPAUSE_RECV);
    }

    void resume() override
    {
        if (m_ended || !m_paused)
            return;
        m_paused = false;
        m_lastActivity = std::chrono::steady_clock::now();
        // Posted, because unpausing delivers the buffered bytes within the call.
        asio::post(m_context, [self = shared_from_this()] { self->unpause(); });
    }

    void cancel() override
    {
        if (m_ended)
            return;
        m_ended = true;
        // libcurl must not be called from within its own callbacks.
        asio::post(m_context, [self = shared_from_this()] { self->detach(); });
    }

    CURL *prepare(implementation &owner);
    void startTimer();

    void end(const transfer_result &ending)
    {
        const auto self = shared_from_this();
        const bool wasEnded = std::exchange(m_ended, true);
        detach();
        if (!wasEnded) {
            const auto onEnd = std::move(m_handler.onEnd);
            m_handler = {};
            onEnd(ending);
        }
    }

    void endWith(CURLcode code)
    {
        // libcurl reports a connection that closes within the head as an empty response.
        if (code == CURLE_OK && !m_headDelivered)
            code = CURLE_GOT_NOTHING;
        const auto error = m_headError ? m_headError : toError(code, m_headDelivered);
        const bool hasArrived
            = m_headDelivered || m_headBytes > 0 || error == http_error::InvalidResponse;
        if (const auto owner = m_owner.lock(); owner && hasArrived)
            owner->recordBrokenAnswer(error);
        end({error, maybeSent(code)});
    }

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self)
    {
        auto &target = *static_cast<transfer *>(self);
        const auto bytes = size * count;
        target.m_headBytes += bytes;
        if (target.m_headBytes > maximumHeadBytes)
            target.m_headError = http_error::HeadTooLarge;
        else
            target.processHeaderLine({data, bytes});
        // Any other count than that of the bytes ends the transfer and its connection.
        return target.m_headError ? 0 : bytes;
    }

    /// Called once the connection is open.
    static int beforeRequest(void *self, char *, char *, int, int)
    {
        const auto &target = *static_cast<transfer *>(self);
        const bool maySend = !target.m_ended && target.m_request.mayStillSend();
        return maySend ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self)
    {
        auto &target = *static_cast<transfer *>(self);
        if (target.m_ended)
            return 0;
        // libcurl ignores a pause requested before the transfer starts; after this return value it
        // delivers the same bytes again.
        if (target.m_paused)
            return CURL_WRITEFUNC_PAUSE;
        target.m_lastActivity = std::chrono::steady_clock::now();
        if (!std::exchange(target.m_bodyStarted, true)) {
            target.m_bodyStart = target.m_lastActivity;
            // The timer is still set to the timeout for the first byte, which may be longer.
            asio::post(target.m_context,
                       [self = target.shared_from_this()] { self->checkTimeouts(); });
        }
        target.m_handler.onBody({data, size * count});
        return size * count;
    }

    void processHeaderLine(std::string_view line);
    void checkIdentity();
    void setUpHeaders();
    void setUpBody();
    void checkTimeouts();

    void unpause()
    {
        if (m_ended || m_paused || !m_easy)
            return;
        const auto owner = m_owner.lock();
        if (!owner)
            return;
        curl_easy_pause(m_easy, CURLPAUSE_CONT);
        owner->perform(CURL_SOCKET_TIMEOUT, 0);
    }

    void detach()
    {
        m_timer.cancel();
        const auto owner = m_owner.lock();
        if (owner && m_easy)
            owner->remove(*this);
        if (m_ended)
            releaseHandlersLater();
    }

    /// The callbacks may own the session that owns this transfer.
    void releaseHandlersLater()
    {
        asio::post(m_context, [self = shared_from_this()] { self->m_handler = {}; });
    }

    core::instant deadline() const
    {
        const auto &timeouts = m_request.timeouts;
        if (!m_bodyStarted)
            return m_started + timeouts.firstByte;
        const auto progress = m_lastActivity + timeouts.progress;
        return timeouts.body ? std::min(progress, m_bodyStart + *timeouts.body) : progress;
    }

    friend class endpoint_client::implementation;

    std::weak_ptr<implementation> m_owner;
    asio::io_context &m_context;
    asio::steady_timer m_timer;
    endpoint_request m_request;
    transfer_handler m_handler;
    CURL *m_easy = nullptr;
    curl_slist *m_headers = nullptr;
    response_head_reader m_headReader;
    std::size_t m_headBytes = 0;
    std::error_code m_headError;
    core::instant m_started;
    core::instant m_lastActivity;
    core::instant m_bodyStart;
    bool m_headDelivered = false;
    bool m_bodyStarted = false;
    bool m_paused = false;
    bool m_ended = false;
};

CURL *endpoint_client::implementation::transfer::prepare(implementation &owner)
{
    m_easy = curl_easy_init();
    if (!m_easy)
        return nullptr;
    curl_easy_setopt(m_easy, CURLOPT_URL, urlFor(m_request).c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_easy, CURLOPT_BUFFERSIZE, static_cast<long>(maximumChunkBytes));
    curl_easy_setopt(m_easy, CURLOPT_UPLOAD_BUFFERSIZE, uploadBufferBytes);
    curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(m_request.timeouts.connect.count()));
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, static_cast<long>(maximumIdleTime.count()));
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &transfer::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &transfer::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    if (m_request.mayStillSend) {
        curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &transfer::beforeRequest);
        curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    }
    setUpBody();
    setUpHeaders();
    owner.configureConnectionReuse(m_easy, m_request);
    return m_easy;
}

void endpoint_client::implementation::transfer::setUpBody()
{
    if (m_request.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (m_request.method != "GET" || !m_request.body.empty()) {
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.data());
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_request.body.size()));
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void endpoint_client::implementation::transfer::setUpHeaders()
{
    const auto append = [this](const std::string &line) {
        m_headers = curl_slist_append(m_headers, line.c_str());
    };
    for (const auto &field : m_request.headers) {
        // libcurl removes the header for "Name:" and sends an empty value for "Name;".
        append(field.value.empty() ? field.name + ';' : field.name + ": " + field.value);
    }
    if (!findHeader(m_request.headers, "Content-Type"))
        append("Content-Type:");
    // With "Expect: 100-continue" libcurl would resend a request after a 417.
    append("Expect:");
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
}

void endpoint_client::implementation::transfer::processHeaderLine(std::string_view line)
{
    if (m_ended)
        return;
    const auto read = m_headReader.addLine(line);
    if (!read) {
        m_headError = read.error();
        return;
    }
    if (read.value() == response_head_reader::line_end::Interim && m_handler.onInterim)
        m_handler.onInterim(m_headReader.head());
    if (read.value() != response_head_reader::line_end::Final)
        return;
    checkIdentity();
    if (m_headError)
        return;
    m_headDelivered = true;
    m_headBytes = 0; // From here on, of the trailer.
    m_handler.onHead(m_headReader.head());
}

void endpoint_client::implementation::transfer::checkIdentity()
{
    const auto owner = m_owner.lock();
    if (!m_request.checksIdentity || !owner)
        return;
    const auto named = findHeader(m_headReader.head().headers, "X-Request-Id");
    const bool namesThis = named && named == findHeader(m_request.headers, "X-Request-Id");
    owner->recordIdentity(m_request, namesThis);
    if (namesThis)
        return;
    long newConnections = 0;
    curl_easy_getinfo(m_easy, CURLINFO_NUM_CONNECTS, &newConnections);
    if (named || newConnections == 0)
        m_headError = http_error::OtherRequest;
    else
        curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
}

void endpoint_client::implementation::transfer::startTimer()
{
    m_started = m_lastActivity = std::chrono::steady_clock::now();
    checkTimeouts();
}

void endpoint_client::implementation::transfer::checkTimeouts()
{
    if (m_ended)
        return;
    const auto now = std::chrono::steady_clock::now();
    if (!m_paused && now >= deadline()) {
        if (const auto owner = m_owner.lock())
            owner->recordTimeout(m_request.address.text());
        end({m_bodyStarted ? http_error::ProgressTimeout : http_error::FirstByteTimeout, true});
        return;
    }
    // Rechecking the deadline on expiry is cheaper than resetting the timer for each token.
    m_timer.expires_at(m_paused ? now + m_request.timeouts.progress : deadline());
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (!error)
            self->checkTimeouts();
    });
}

endpoint_client::implementation::implementation(asio::io_context &context,
                                                core::counter_registry *counters)
    : m_context(context), m_counters(counters), m_multi(curl_multi_init()), m_timer(context)
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &implementation::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &implementation::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maximumIdleConnections);
}

endpoint_client::implementation::~implementation()
{
    shutDown();
    curl_multi_cleanup(m_multi);
}

std::shared_ptr<endpoint_transfer> endpoint_client::implementation::start(endpoint_request request,
                                                                          transfer_handler handler)
{
    auto created = std::make_shared<transfer>(weak_from_this(), m_context, std::move(request),
                                              std::move(handler));
    asio::post(m_context, [self = weak_from_this(), created] {
        if (const auto owner = self.lock())
            owner->add(created);
    });
    return created;
}

void endpoint_client::implementation::shutDown()
{
    const auto transfers = std::move(m_transfers);
    m_transfers.clear();
    for (const auto &[easy, entry] : transfers) {
        curl_multi_remove_handle(m_multi, easy);
        entry->m_ended = true;
        entry->m_timer.cancel();
        entry->m_handler = {};
    }
    m_timer.cancel();
}

void endpoint_client::implementation::add(const std::shared_ptr<transfer> &added)
{
    if (added->m_ended)
        return;
    auto *easy = added->prepare(*this);
    if (!easy || curl_multi_add_handle(m_multi, easy) != CURLM_OK) {
        added->end({http_error::ConnectFailed, false});
        return;
    }
    m_transfers.emplace(easy, added);
    if (added->m_paused)
        curl_easy_pause(easy, CURLPAUSE_RECV);
    added->startTimer();
}

void endpoint_client::implementation::remove(transfer &removed)
{
    const auto found = m_transfers.find(removed.m_easy);
    if (found == m_transfers.end())
        return;
    const auto keptAlive = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi, removed.m_easy);
}

void endpoint_client::implementation::perform(curl_socket_t socket, int events)
{
    const auto self = shared_from_this();
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
    endCompletedTransfers();
}

void endpoint_client::implementation::recordTimeout(const std::string &address)
{
    m_lastTimeouts[address] = std::chrono::steady_clock::now();
}

void endpoint_client::implementation::recordBrokenAnswer(std::error_code error)
{
    const auto reason = brokenAnswerReason(error);
    if (m_counters != nullptr && !reason.empty())
        ++m_counters->counter("quetzalcleat_answers_broken_total",
                              "reason=\"" + std::string(reason) + '"');
}

void endpoint_client::implementation::recordIdentity(const endpoint_request &request,
                                                     bool namesRequest)
{
    if (namesRequest)
        m_namesRequests.insert(identityScope(request));
    else
        m_namesRequests.erase(identityScope(request));
}

void endpoint_client::implementation::configureConnectionReuse(CURL *easy,
                                                               const endpoint_request &request)
{
    if (request.sendOnce) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        return;
    }
    // Requests that are not checked may have used the idle connections.
    if (request.checksIdentity && !m_namesRequests.contains(identityScope(request))) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    const auto found = m_lastTimeouts.find(request.address.text());
    if (found == m_lastTimeouts.end())
        return;
    const auto elapsed = std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now()
                                                                  - found->second);
    if (elapsed > maximumIdleTime) {
        m_lastTimeouts.erase(found);
        return;
    }
    // libcurl counts the age of connections in whole seconds. Shortly after the timeout, only a new
    // connection is certain to be younger than it.
    constexpr std::chrono::seconds granularity{2};
    if (elapsed < granularity) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, static_cast<long>(elapsed.count() - 1));
}

int endpoint_client::implementation::onSocket(CURL *, curl_socket_t socket, int what, void *self,
                                              void *)
{
    auto &owner = *static_cast<implementation *>(self);
    if (what == CURL_POLL_REMOVE)
        owner.unwatch(socket);
    else
        owner.watch(socket, what);
    return 0;
}

int endpoint_client::implementation::onTimer(CURLM *, long milliseconds, void *self)
{
    auto &owner = *static_cast<implementation *>(self);
    owner.m_timer.cancel();
    if (milliseconds < 0)
        return 0;
    owner.m_timer.expires_after(std::chrono::milliseconds(milliseconds));
    owner.m_timer.async_wait([weak = owner.weak_from_this()](std::error_code error) {
        const auto target = weak.lock();
        if (!error && target)
            target->perform(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void endpoint_client::implementation::watch(curl_socket_t socket, int what)
{
    auto &entry = m_sockets[socket];
    if (!entry)
        entry = std::make_shared<watched_socket>(m_context, socket);
    entry->requestedEvents = what;
    arm(socket, entry);
}

void endpoint_client::implementation::unwatch(curl_socket_t socket)
{
    const auto found = m_sockets.find(socket);
    if (found == m_sockets.end())
        return;
    // libcurl closes the socket itself.
    found->second->requestedEvents = 0;
    found->second->descriptor.release();
    m_sockets.erase(found);
}

void endpoint_client::implementation::arm(curl_socket_t socket,
                                          const std::shared_ptr<watched_socket> &watched)
{
    using descriptor = asio::posix::stream_descriptor;
    if ((watched->requestedEvents & CURL_POLL_IN) && !watched->waitsForRead) {
        watched->waitsForRead = true;
        watched->descriptor.async_wait(
            descriptor::wait_read,
            [weak = weak_from_this(), socket, watched](std::error_code error) {
                watched->waitsForRead = false;
                const auto self = weak.lock();
                if (!error && self && (watched->requestedEvents & CURL_POLL_IN))
                    self->onReady(socket, watched, CURL_CSELECT_IN);
            });
    }
    if ((watched->requestedEvents & CURL_POLL_OUT) && !watched->waitsForWrite) {
        watched->waitsForWrite = true;
        watched->descriptor.async_wait(
            descriptor::wait_write,
            [weak = weak_from_this(), socket, watched](std::error_code error) {
                watched->waitsForWrite = false;
                const auto self = weak.lock();
                if (!error && self && (watched->requestedEvents & CURL_POLL_OUT))
                    self->onReady(socket, watched, CURL_CSELECT_OUT);
            });
    }
}

void endpoint_client::implementation::onReady(curl_socket_t socket,
                                              const std::shared_ptr<watched_socket> &watched,
                                              int events)
{
    perform(socket, events);
    const auto found = m_sockets.find(socket);
    if (found != m_sockets.end() && found->second == watched)
        arm(socket, watched);
}

void endpoint_client::implementation::endCompletedTransfers()
{
    int remaining = 0;
    while (const auto *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const auto code = message->data.result;
        const auto found = m_transfers.find(message->easy_handle);
        if (found == m_transfers.end())
            continue;
        const auto ended = found->second;
        ended->endWith(code);
    }
}

endpoint_client::endpoint_client(asio::io_context &context, core::counter_registry *counters)
    : m_implementation(std::make_shared<implementation>(context, counters))
{
}

endpoint_client::~endpoint_client() = default;

std::shared_ptr<endpoint_transfer> endpoint_client::start(endpoint_request request,
                                                          transfer_handler handler)
{
    return m_implementation->start(std::move(request), std::move(handler));
}

void endpoint_client::shutDown()
{
    m_implementation->shutDown();
}

} // namespace quetzalcleat::http
