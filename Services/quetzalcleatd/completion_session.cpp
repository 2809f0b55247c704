#include "quetzalcleatd/completion_session.h"

#include "LibHttp/http_error.h"
#include "quetzalcleatd/daemon_error.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace quetzalcleat::daemon {

namespace {

// A stream buffers at most 16 KiB: the bytes for the caller above which the transfer is paused, one
// more chunk of the engine's response, and an incomplete event.
constexpr std::size_t pauseAboveBytes = 4 * 1024;
constexpr std::size_t maximumEventBytes = 4 * 1024;
static_assert(pauseAboveBytes + http::maximumChunkBytes + maximumEventBytes <= 16 * 1024);

/// Largest text of a response that is not streamed.
constexpr std::size_t maximumResponseBytes = 4 * 1024 * 1024;

/// Bytes of a response that are not used: an error, or what follows the end of a stream.
constexpr std::size_t maximumUnusedBytes = 64 * 1024;

std::string eventText(const nlohmann::json &content)
{
    return "data: " + content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        + "\n\n";
}

nlohmann::json reasonOrNull(const std::string &reason)
{
    return reason.empty() ? nlohmann::json() : nlohmann::json(reason);
}

bool isTimeout(std::error_code error)
{
    return error == http::http_error::FirstByteTimeout
        || error == http::http_error::ProgressTimeout;
}

/// Whether the status blames the request itself, so that another engine would reject it too.
bool isRequestError(std::uint16_t status)
{
    return status == 400 || status == 413 || status == 422;
}

} // namespace

completion_session::completion_session(session_environment &environment,
                                       std::shared_ptr<http::caller_exchange> exchange,
                                       std::string requestId)
    : m_environment(environment), m_exchange(std::move(exchange)),
      m_requestId(std::move(requestId)), m_path(m_exchange->request().path),
      m_arrival(std::chrono::steady_clock::now()), m_events(maximumEventBytes)
{
}

void completion_session::start(completion_kind kind)
{
    if (!parse(kind))
        return;
    m_exchange->onDisconnect([self = shared_from_this()] { self->onCallerGone(); });
    m_exchange->onInterrupt([self = shared_from_this()] { self->onInterrupt(); });
    submit();
}

bool completion_session::parse(completion_kind kind)
{
    const auto &request = m_exchange->request();
    const auto &routing = *m_environment.routing;
    auto admitted = admit(request, routing);
    if (const auto *error = std::get_if<error_response>(&admitted)) {
        refuse(*error);
        return false;
    }
    m_identity = std::get<request_identity>(std::move(admitted));
    if (hasTooManyValues(request.body, document_format::Json,
                         m_environment.options.documentValues)) {
        refuse({error_type::TooLarge, "body has too many values", false, call_outcome::NotRun, {}});
        return false;
    }
    auto parsed = parseCompletion(request.body, kind);
    if (const auto *error = std::get_if<error_response>(&parsed)) {
        refuse(*error);
        return false;
    }
    m_request = std::get<completion_request>(std::move(parsed));
    const auto classified
        = classify(request.headers, routing, m_identity.account,
                   {.account = {}, .model = m_request.model, .service = {}, .path = m_path});
    if (const auto *error = std::get_if<error_response>(&classified)) {
        refuse(*error);
        return false;
    }
    m_class = std::get<policy::class_id>(classified);
    const auto &rules = routing.document().classes[m_class.value];
    m_className = rules.name;
    if (!m_environment.canServeUntil(m_arrival + rules.deadline)) {
        refuse(stoppingError(call_outcome::NotRun));
        return false;
    }
    return true;
}

void completion_session::submit()
{
    policy::request_spec spec;
    spec.requestId = m_requestId;
    spec.account = m_identity.account;
    spec.requestClass = m_class;
    spec.model = m_request.model;
    spec.adapter = m_request.adapter;
    spec.promptTokens = m_request.promptTokens;
    spec.maximumOutputTokens = m_request.maximumOutputTokens;
    spec.prefixBlocks = std::move(m_request.prefixBlocks);
    spec.bytes = static_cast<std::uint32_t>(m_request.engineBody.size());
    m_request.prefixBlocks = {};
    const auto accepted = m_environment.decisions.submit(
        spec, [self = shared_from_this()](const policy::decision &decision) {
            self->onDecision(decision);
        });
    if (!accepted) {
        const auto retryAfter
            = m_environment.decisions.core().retryAfter(spec, std::chrono::steady_clock::now());
        refuse(fromRefusal(accepted.error(), retryAfter));
        return;
    }
    m_decisionId = accepted.value();
    m_phase = phase::Queued;
    m_exchange->releaseBody();
}

void completion_session::onDecision(const policy::decision &decision)
{
    if (m_phase == phase::Ended)
        return;
    switch (decision.kind) {
    case policy::decision_kind::Dispatch:
        dispatch(decision);
        return;
    case policy::decision_kind::Preempt:
        cancelTransfer();
        m_phase = phase::Queued;
        return;
    case policy::decision_kind::Shed:
    case policy::decision_kind::Expire:
        break;
    }
    cancelTransfer();
    refuse(fromDecision(decision, m_maybeSent ? call_outcome::Unknown : call_outcome::NotRun));
}

void completion_session::dispatch(const policy::decision &decision)
{
    m_engine = m_environment.routing->document().endpoints[decision.endpoint.value];
    m_phase = phase::Running;
    ++m_attempts;
    const bool hasTokens = m_generation && m_generation->nextIndex() > 0;
    const bool resumes = hasTokens && m_engine.canResume && !m_request.engineBody.empty();
    if (hasTokens && m_streaming && !resumes) {
        attemptFailed(daemon_error::UnfinishedStream);
        return;
    }
    // Each attempt has an id of its own: the cancellation of an earlier attempt may reach the
    // engine after the request that resumes it.
    m_attemptId = m_requestId + '.' + newRequestId() + '.' + std::to_string(m_attempts);
    if (resumes) {
        // emplace() destroys the old generation before it reads its arguments.
        const auto generationId = m_generation->generationId();
        m_generation.emplace(m_attemptId, generationId, m_generation->nextIndex());
    } else {
        m_generation.emplace(m_attemptId);
        m_collected.clear();
    }
    m_events = http::event_parser(maximumEventBytes);
    m_engineStatus = 0;
    m_isHeldOff = false;
    m_unusedBytes = 0;
    m_firstTokenReported = false;
    m_lastToken = std::chrono::steady_clock::now();
    m_paused = false;
    const auto self = shared_from_this();
    m_transfer = m_environment.endpoints.start(
        engineRequest(decision, resumes),
        {.onHead = [self](const http::response_head &head) { self->onHead(head); },
         .onBody = [self](std::string_view chunk) { self->onBody(chunk); },
         .onEnd = [self](const http::transfer_result &end) { self->onEnd(end); },
         .onInterim = [self](const http::response_head &head) { self->readNotice(head); }});
    updateBackPressure();
    m_environment.log.debug("dispatched to " + m_engine.name, m_requestId);
}

http::endpoint_request completion_session::engineRequest(const policy::decision &decision,
                                                         bool resumes) const
{
    http::endpoint_request request;
    request.method = "POST";
    request.address = m_engine.address;
    request.target = m_path;
    request.headers = {{"Content-Type", "application/json"},
                       {"Accept", "text/event-stream"},
                       {"X-Request-Id", m_attemptId},
                       {"X-Priority", std::to_string(decision.priority)}};
    if (resumes) {
        request.headers.push_back({"X-Resume-From", std::to_string(m_generation->nextIndex())});
        request.headers.push_back({"X-Generation-Id", m_generation->generationId()});
    }
    request.body = m_request.engineBody;
    request.checksIdentity = true;
    request.timeouts = m_environment.options.engine;
    request.mayStillSend = [&decisions = m_environment.decisions, id = m_decisionId] {
        return decisions.mayStillSend(id);
    };
    return request;
}

void completion_session::onHead(const http::response_head &head)
{
    m_engineStatus = head.status;
    m_isHeldOff = readNotice(head);
}

bool completion_session::readNotice(const http::response_head &head)
{
    return m_environment.notices.readAnswer({m_decisionId, m_attemptId, m_requestId, m_engine},
                                            head);
}

void completion_session::onBody(std::string_view chunk)
{
    if (m_phase != phase::Running || m_responseComplete || m_engineStatus != 200) {
        skip(chunk.size());
        return;
    }
    const auto consumed = m_events.consume(
        chunk, [&](std::string_view data) { return m_phase == phase::Running && onEvent(data); });
    if (m_phase != phase::Running)
        return;
    if (!consumed) {
        cancelTransfer();
        attemptFailed(consumed.error(), false);
        return;
    }
    if (isStalled()) {
        abandonStalledAttempt();
        return;
    }
    if (m_request.stream) {
        flush();
        updateBackPressure();
    }
}

/// Bytes that complete no event are no progress, though they keep the transfer from timing out.
bool completion_session::isStalled() const
{
    const auto &timeouts = m_environment.options.engine;
    const auto limit = m_firstTokenReported ? timeouts.progress : timeouts.firstByte;
    return std::chrono::steady_clock::now() >= m_lastToken + limit;
}

void completion_session::abandonStalledAttempt()
{
    m_transfer->cancel();
    m_transfer.reset();
    m_maybeSent = true;
    m_engineMayStillRun = true;
    attemptFailed(m_firstTokenReported ? http::http_error::ProgressTimeout
                                       : http::http_error::FirstByteTimeout);
}

void completion_session::skip(std::size_t bytes)
{
    m_unusedBytes += bytes;
    if (m_unusedBytes <= maximumUnusedBytes || !m_transfer)
        return;
    m_transfer->cancel();
    if (m_phase == phase::Running) {
        onEnd({http::http_error::BodyTooLarge, true});
        return;
    }
    m_environment.log.warning(m_engine.name + " sends more than "
                                  + std::to_string(maximumUnusedBytes)
                                  + " bytes after the end of its response; cancelled",
                              m_requestId);
    m_transfer.reset();
}

bool completion_session::onEvent(std::string_view data)
{
    auto event = m_generation->accept(data);
    if (!event) {
        m_environment.log.warning(m_engine.name + ": " + event.error().message(), m_requestId);
        cancelTransfer();
        attemptFailed(event.error(), false);
        return false;
    }
    if (event.value().done) {
        complete();
        return false;
    }
    m_lastToken = std::chrono::steady_clock::now();
    if (!m_firstTokenReported) {
        m_firstTokenReported = true;
        cancelReplacedAttempt();
        m_environment.decisions.firstToken(m_decisionId);
    }
    if (m_request.stream)
        relay(event.value());
    else
        collect(event.value());
    return m_phase == phase::Running;
}

void completion_session::relay(const generation_event &event)
{
    if (!m_streaming) {
        m_streaming = true;
        // The prompt is needed again only to resume the generation.
        if (!m_engine.canResume)
            std::exchange(m_request.engineBody, {});
        m_exchange->startStream({200,
                                 {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-cache"},
                                  {"X-Request-Id", m_requestId}}});
    }
    m_pending += eventText({{"id", m_generation->generationId()},
                            {"request_id", m_requestId},
                            {"index", m_generation->nextIndex() - 1},
                            {"text", event.text},
                            {"finish_reason", reasonOrNull(event.finishReason)}});
    ++m_pendingTokens;
}

void completion_session::collect(const generation_event &event)
{
    m_collected += event.text;
    m_finishReason = event.finishReason;
    m_environment.decisions.tokens(m_decisionId, 1);
    if (m_collected.size() <= maximumResponseBytes)
        return;
    cancelTransfer();
    m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Cancelled);
    refuse({error_type::AnswerTooLarge,
            "answer is larger than 4 MiB; ask for a stream",
            false,
            call_outcome::Done,
            {}});
}

void completion_session::flush()
{
    if (m_writing || m_pending.empty())
        return;
    m_writing = true;
    m_bytesInFlight = m_pending.size();
    const auto tokens = std::exchange(m_pendingTokens, 0);
    m_exchange->write(std::exchange(m_pending, {}),
                      [self = shared_from_this(), tokens](std::error_code error) {
                          self->onWritten(error, tokens);
                      });
}

void completion_session::onWritten(std::error_code error, std::uint32_t tokens)
{
    m_writing = false;
    m_bytesInFlight = 0;
    if (error) {
        onCallerGone();
        return;
    }
    if (m_phase != phase::Ended && tokens > 0)
        m_environment.decisions.tokens(m_decisionId, tokens);
    flush();
    updateBackPressure();
    if (m_responseComplete && !m_writing) {
        m_exchange->finishStream();
        m_responseComplete = false;
    }
}

void completion_session::updateBackPressure()
{
    if (m_phase != phase::Running || !m_transfer)
        return;
    const bool full = m_pending.size() + m_bytesInFlight > pauseAboveBytes;
    if (full == m_paused)
        return;
    m_paused = full;
    if (full) {
        m_transfer->pause();
        return;
    }
    m_lastToken = std::chrono::steady_clock::now();
    m_transfer->resume();
}

void completion_session::complete()
{
    m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Completed);
    // Not cancelled: the transfer should end by itself, and its connection can be reused.
    if (!m_request.stream) {
        respondWhole();
        end("completed");
        return;
    }
    m_pending += "data: [DONE]\n\n";
    m_responseComplete = true;
    end("completed");
    flush();
}

void completion_session::respondWhole()
{
    const nlohmann::json response{{"id", m_generation->generationId()},
                                  {"request_id", m_requestId},
                                  {"model", m_request.model},
                                  {"text", m_collected},
                                  {"finish_reason", reasonOrNull(m_finishReason)},
                                  {"usage",
                                   {{"prompt_tokens", m_request.promptTokens},
                                    {"completion_tokens", m_generation->nextIndex()}}}};
    m_exchange->respond(
        {200, {{"Content-Type", "application/json"}, {"X-Request-Id", m_requestId}}},
        response.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void completion_session::onEnd(const http::transfer_result &end)
{
    if (!m_transfer)
        return;
    m_transfer.reset();
    if (m_phase != phase::Running)
        return;
    if (end.error == http::http_error::Withdrawn) {
        m_phase = phase::Queued;
        m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Withdrawn);
        return;
    }
    // An engine that responds with 4xx, or asks for a wait, has not started to generate.
    const bool declined = m_isHeldOff || (m_engineStatus >= 400 && m_engineStatus < 500);
    m_maybeSent = m_maybeSent || (end.maybeSent && !declined);
    if (isRequestError(m_engineStatus) && !m_streaming) {
        rejectedByEngine();
        return;
    }
    // After a timeout or a broken connection, the engine may still be generating.
    m_engineMayStillRun = end.error && end.maybeSent;
    if (end.error)
        attemptFailed(end.error);
    else if (m_engineStatus != 200)
        attemptFailed(daemon_error::EndpointRefused);
    else
        attemptFailed(daemon_error::UnfinishedStream);
}

void completion_session::rejectedByEngine()
{
    m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Cancelled);
    refuse({error_type::EndpointRejected,
            "engine found the request invalid",
            false,
            m_maybeSent ? call_outcome::Unknown : call_outcome::NotRun,
            {}});
}

void completion_session::attemptFailed(std::error_code error, bool mayResume)
{
    ++m_environment.counters.counter("quetzalcleat_attempts_failed_total",
                                     "endpoint=\"" + m_engine.name + '"');
    m_environment.log.warning("attempt at " + m_engine.name + " failed: " + error.message(),
                              m_requestId);
    auto outcome = policy::attempt_outcome::RetryBeforeFirstByte;
    if (m_streaming)
        outcome = mayResume && m_engine.canResume ? policy::attempt_outcome::Resume
                                                  : policy::attempt_outcome::Failed;
    if (m_isHeldOff && outcome != policy::attempt_outcome::Failed)
        outcome = policy::attempt_outcome::Refused;
    m_phase = phase::Queued;
    flush();
    const bool queuedAgain = m_environment.decisions.finished(m_decisionId, outcome);
    if (std::exchange(m_engineMayStillRun, false)) {
        cancelReplacedAttempt();
        m_replaced = {m_engine, m_attemptId};
        // If it is to be resumed, the cancellation waits, as it could end the generation.
        if (!(queuedAgain && m_streaming))
            cancelReplacedAttempt();
    }
    if (queuedAgain)
        return;
    const auto type = isTimeout(error) ? error_type::EndpointTimeout : error_type::EndpointFailed;
    refuse({type,
            error.message(),
            true,
            m_maybeSent ? call_outcome::Unknown : call_outcome::NotRun,
            {}});
}

void completion_session::refuse(error_response error)
{
    if (m_phase == phase::Ended)
        return;
    if (!m_identity.idempotencyKey.empty()
        || http::findHeader(m_exchange->request().headers, "Idempotency-Key"))
        error = forKeyedCall(std::move(error));
    if (m_streaming)
        sendStreamError(error);
    else
        sendError(*m_exchange, error, m_requestId);
    end(nameOf(error.type));
}

void completion_session::sendStreamError(const error_response &error)
{
    auto broken = error;
    broken.type = error_type::StreamBroken;
    m_pending += "data: " + toJson(broken, m_requestId) + "\n\n";
    m_responseComplete = true;
    flush();
}

void completion_session::onCallerGone()
{
    if (m_phase == phase::Ended)
        return;
    if (m_phase != phase::New)
        m_environment.decisions.cancel(m_decisionId);
    cancelTransfer();
    end("caller_gone");
}

void completion_session::onInterrupt()
{
    if (m_phase == phase::Ended)
        return;
    if (m_phase != phase::New)
        m_environment.decisions.cancel(m_decisionId);
    cancelTransfer();
    refuse(stoppingError(m_maybeSent ? call_outcome::Unknown : call_outcome::NotRun));
}

void completion_session::cancelTransfer()
{
    if (!m_transfer)
        return;
    m_transfer->cancel();
    m_transfer.reset();
    m_maybeSent = true;
    cancelAtEngine({m_engine, m_attemptId});
}

void completion_session::cancelReplacedAttempt()
{
    const auto replaced = std::exchange(m_replaced, std::nullopt);
    if (replaced)
        cancelAtEngine(*replaced);
}

void completion_session::cancelAtEngine(const engine_attempt &cancelled)
{
    // The closed connection tells the engine, too.
    if (!m_environment.decisions.core().acceptsCalls(cancelled.engine.name,
                                                     std::chrono::steady_clock::now()))
        return;
    http::endpoint_request request;
    request.method = "DELETE";
    request.address = cancelled.engine.address;
    request.target = "/v1/completions/" + cancelled.id;
    request.timeouts = m_environment.options.engine;
    m_environment.endpoints.start(std::move(request),
                                  {.onHead = [](const http::response_head &) {},
                                   .onBody = [](std::string_view) {},
                                   .onEnd = [](const http::transfer_result &) {}});
}

void completion_session::end(std::string_view result)
{
    m_phase = phase::Ended;
    cancelReplacedAttempt();
    m_exchange->onDisconnect({});
    m_exchange->onInterrupt({});
    ++m_environment.counters.counter("quetzalcleat_requests_total",
                                     "class=\"" + m_className + "\",result=\"" + std::string(result)
                                         + '"');
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_arrival);
    m_environment.log.information(
        "completion " + std::string(result) + " caller=" + m_identity.accountName + " class="
            + m_className + " endpoint=" + m_engine.name + " ms=" + std::to_string(elapsed.count()),
        m_requestId);
}

} // namespace quetzalcleat::daemon
