#include "LibForward/exchange.h"

#include "LibCore/hash.h"
#include "LibForward/answer_checks.h"
#include "LibForward/caller_session.h"
#include "LibForward/endpoint_request.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace quetzalcleat::forward {

namespace {

/// Responses of plain services up to this size are buffered completely before they are sent to the
/// caller, so that the request can still be retried if one is truncated.
constexpr std::size_t maximumBufferedResponse = std::size_t{256} * 1024;
/// A request with less time left is not sent to an endpoint.
constexpr std::chrono::milliseconds minimumTimeLeft{15};
/// Attempts sent for one request, including those that an endpoint refused.
constexpr int maximumSentAttempts = 4;
/// An endpoint that sent any bytes within this time is not considered stalled.
constexpr std::chrono::milliseconds recentActivityTime{700};
/// Another endpoint is tried after this share of the pause at which callers abandon a stream. By
/// the protocol this pause is 2 s, four latency objectives or eight gap objectives, whichever is
/// longest.
constexpr double stallTimeoutShare = 0.6;
constexpr std::chrono::milliseconds minimumStallTimeout{2000};
constexpr int stallTimeoutObjectives = 4;
constexpr int stallTimeoutGapObjectives = 8;
/// Lower bound of the wait for a response that is not a stream before another endpoint is tried.
constexpr std::chrono::milliseconds minimumAttemptTimeout{200};
/// Bounds of Retry-After; callers wait for at most a third of the time they have left.
constexpr std::chrono::milliseconds minimumRetryAfter{300};
constexpr std::chrono::milliseconds maximumRetryAfter{1500};
/// Retry-After of a request that another host can take at once.
constexpr std::chrono::milliseconds otherHostRetryAfter{20};
/// Longest wait for a configuration, as a share of the time that the caller waits. Callers retry
/// within a third of that time, so a caller that is refused after the wait can still retry.
constexpr double configurationWaitShare = 0.3;
/// About the time to elect a new leader after all hosts have failed.
constexpr std::chrono::milliseconds maximumConfigurationWait{2000};
constexpr std::chrono::milliseconds configurationPollInterval{40};
/// Span over which callers return after the end of the wait that all endpoints have asked for.
constexpr std::chrono::milliseconds returnSpan{1000};
/// Requests that may wait on one host at the same time; each keeps its body in memory.
constexpr std::size_t maximumWaitingRequests = 400;
/// An engine that has sent so many events is answering the request. An engine may crash while it
/// writes the first one.
constexpr std::uint64_t eventsOfAnAnswer = 2;

std::string seconds(std::chrono::milliseconds time)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(time.count()) / 1000.0);
    return text.data();
}

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

} // namespace

exchange::exchange(std::shared_ptr<forwarder> owner, std::weak_ptr<caller_session> session,
                   http_head request, std::shared_ptr<const request_body> body,
                   request_arrival arrival)
    : m_owner(std::move(owner)), m_session(std::move(session)), m_request(std::move(request)),
      m_body(std::move(body)), m_arrived(arrival.at),
      m_numberOnConnection(arrival.numberOnConnection), m_deadlineTimer(m_owner->context()),
      m_attemptTimer(m_owner->context()), m_routes(m_owner->routes()),
      m_answerCharge(m_owner->protection().budget(), policy::memory_kind::StreamBuffer)
{
    m_owner->requestStarted();
}

exchange::~exchange()
{
    if (m_isWaiting)
        m_owner->waitEnded();
    m_owner->requestEnded();
}

void exchange::start()
{
    m_id = m_request.value(m_owner->options().names.requestId);
    admit();
}

/// Called again in intervals while the request waits for a configuration.
void exchange::admit()
{
    m_routes = m_owner->routes();
    if (!m_routes) {
        waitForConfiguration("no_configuration");
        return;
    }
    const request_admission admission(m_request, m_owner->options().names);
    m_route = admission.findRoute(*m_routes);
    if (m_route == nullptr) {
        // A host whose configuration may be outdated cannot know that there is no such route.
        if (m_owner->hasConfirmedConfiguration())
            respondWithError(404, "Not Found", "no_route");
        else
            waitForConfiguration("configuration_not_confirmed");
        return;
    }
    m_priority = m_route->priority;
    if (!authorise(admission))
        return;
    if (m_body && m_body->isDropped) {
        // The configuration has changed since the body was dropped.
        respondWithError(503, "Service Unavailable", "body_dropped", minimumRetryAfter);
        return;
    }
    m_deadline = admission.deadline(m_arrived, *m_route);
    if (refuseIfItOutlastsTheStop())
        return;
    if (auto prompt = admission.promptSize()) {
        m_hasPromptSize = true;
        m_size = std::move(prompt->size);
        m_affinity = m_route->sharesPrefixes ? prompt->sharedParts : 0;
    }
    m_service = admission.chooseService(*m_routes, *m_route);
    if (m_service == nullptr) {
        respondWithError(503, "Service Unavailable", "no_service", minimumRetryAfter);
        return;
    }
    if (m_service->engine) {
        // The last part is that of the request itself or its session.
        for (std::size_t index = 0; index + 1 < m_size.parts.size(); ++index) {
            if (m_size.parts[index].id != 0)
                m_sharedParts.push_back(m_size.parts[index].id);
        }
    }
    m_owner->retryBudget().recordRequest(m_service->name, m_owner->now());
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->handleDeadline();
    });
    tryEndpoint();
}

/// Another host has the time to serve the request to its end.
bool exchange::refuseIfItOutlastsTheStop()
{
    if (m_possibleRuns > 0 || m_owner->acceptsDeadline(m_deadline))
        return false;
    respondWithError(503, "Service Unavailable", "refused_while_stopping", otherHostRetryAfter);
    return true;
}

/// Waits for a configuration, or refuses the request after the longest wait or if too many requests
/// wait. A host that is starting or has just lost its connection to the control hosts usually has a
/// configuration soon, and a short wait saves the caller one of its few retries.
void exchange::waitForConfiguration(std::string_view cause)
{
    const auto left = parseNumber(m_request.value(m_owner->options().names.timeLeft));
    auto longest = maximumConfigurationWait;
    if (left)
        longest = std::min(longest,
                           std::chrono::milliseconds(static_cast<std::int64_t>(
                               static_cast<double>(*left) * configurationWaitShare)));
    const bool mayWait = m_isWaiting || m_owner->waitingRequests() < maximumWaitingRequests;
    if (!mayWait || elapsed() >= longest) {
        respondWithError(503, "Service Unavailable", cause, retryAfter());
        return;
    }
    if (!std::exchange(m_isWaiting, true))
        m_owner->waitStarted();
    m_deadlineTimer.expires_after(configurationPollInterval);
    m_deadlineTimer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_done)
            self->admit();
    });
}

bool exchange::authorise(const request_admission &admission)
{
    if (!m_routes->content().requiresKeys || m_route->isPublic)
        return true;
    if (!m_owner->hasConfirmedConfiguration()) {
        waitForConfiguration("configuration_not_confirmed");
        return false;
    }
    m_account = admission.findAccount(*m_routes);
    if (m_account == nullptr) {
        respondWithError(401, "Unauthorized", "unknown_key");
        return false;
    }
    m_priority = m_account->priority.value_or(m_priority);
    return true;
}

attempt::request exchange::attemptRequest(const endpoint &target,
                                          std::chrono::milliseconds left) const
{
    const auto &names = m_owner->options().names;
    endpoint_request added{left, target.listed.incarnation, {}, {}, {}, {}};
    if (m_events.eventCount() > 0)
        added.lastEventId = m_events.lastId();
    if (m_account != nullptr)
        added.account = m_account->name;
    if (m_service->engine)
        added.priority = enginePriority(m_priority, m_route->priority, names.lowestEnginePriority);
    if (m_body || m_request.has("Content-Length") || m_request.has("Transfer-Encoding"))
        added.bodyBytes = m_body ? m_body->bytes.size() : 0;
    attempt::request content;
    content.text = added.headText(m_request, names);
    if (m_body)
        content.body = {m_body, &m_body->bytes};
    return content;
}

void exchange::tryEndpoint()
{
    const auto now = m_owner->now();
    const auto left = timeLeft();
    if (left < minimumTimeLeft) {
        handleDeadline();
        return;
    }
    if (const auto quarantined = quarantine()) {
        refuseQuarantined(*quarantined);
        return;
    }
    placement_request request;
    request.target = m_service;
    request.size = m_service->engine && m_hasPromptSize ? &m_size : nullptr;
    if (request.size != nullptr && isStream())
        request.pool = m_routes->isLeastTolerant(*m_route) ? engine_pool::LowLatency
                                                           : engine_pool::LongPrompt;
    request.affinity = m_service->engine ? m_affinity : 0;
    request.objective = m_route->latencyObjective;
    request.random
        = core::hash64(m_id) ^ static_cast<std::uint64_t>(now.time_since_epoch().count());
    request.protectedPause = m_routes->protectedPause(m_service->name);
    request.excluded = m_excluded;
    request.isConnected = [this](const endpoint &target) {
        return m_owner->pool()->hasIdle(target.connectionKey(), std::chrono::steady_clock::now());
    };
    const auto choice
        = chooseEndpoint(m_owner->endpoints(), request, m_owner->options().placement, now);
    if (!choice.chosen) {
        if (!choice.heldOffUntil)
            failRequest("no_endpoint", m_possibleRuns > 0);
        else if (!hold(choice))
            failRequest("endpoints_held_off", m_possibleRuns > 0);
        return;
    }
    m_written = m_owner->endpoints().notices().tryWrite(choice.chosen->listed.incarnation, now);
    m_endpoint = choice.chosen;
    m_tried.push_back(m_endpoint);
    m_excluded.push_back(m_endpoint);
    m_placement.begin(*m_endpoint, choice, now);
    m_owner->placements().recordChoice(m_service->name, choice.reason);
    if (m_service->engine)
        m_owner->work().recordSent(m_service->name, choice.uncachedTokens,
                                   m_size.expectedOutputTokens);
    m_endpoint->isProbing = m_endpoint->ejections > 0 && m_endpoint->ejectedUntil <= now;
    if (m_service->engine) {
        for (const auto &part : m_size.parts)
            m_endpoint->partSentTimes.record(part.id, now);
    }
    startAttempt(left);
}

void exchange::startAttempt(std::chrono::milliseconds left)
{
    auto content = attemptRequest(*m_endpoint, left);
    content.address = m_endpoint->listed.address;
    content.key = m_endpoint->connectionKey();
    content.identifier = m_id;
    content.identifierHeader = m_owner->options().names.requestId;
    content.isHeadRequest = m_request.method == "HEAD";
    // An endpoint that refused the request may write the refusal once more on that connection.
    content.needsNewConnection
        = !m_route->isRetrySafe() && std::count(m_tried.begin(), m_tried.end(), m_endpoint) > 1;
    m_response = {};
    m_responseBody.clear();
    m_answerCharge.resize(0);
    m_events.discardPartialEvent();
    m_eventsBeforeAttempt = m_events.eventCount();
    const std::weak_ptr<exchange> weak = weak_from_this();
    const auto ifAlive = [weak](auto member) {
        return [weak, member](auto &...arguments) {
            if (const auto self = weak.lock())
                ((*self).*member)(arguments...);
        };
    };
    attempt::handlers handlers;
    handlers.mayWrite = [weak] {
        const auto self = weak.lock();
        return !self || self->mayWrite();
    };
    // Not bound to this request, as the answer may be read after its caller has left.
    handlers.notices = [owner = m_owner, target = m_endpoint, id = m_id](const http_head &head) {
        if (owner->notices().readAnswer(*target, head, id, owner->now()))
            owner->recallRequests(*target);
    };
    handlers.mustConfirmEnd = [weak] {
        const auto self = weak.lock();
        return self && self->mustConfirmEnd();
    };
    handlers.sent = ifAlive(&exchange::connectionOpened);
    handlers.head = ifAlive(&exchange::handleHead);
    handlers.body = ifAlive(&exchange::handleBody);
    handlers.ended = ifAlive(&exchange::handleEnd);
    startAttemptTimer();
    m_attempt = attempt::start(m_owner->pool(), std::move(content), std::move(handlers));
}

/// Keeps the request in this host until an endpoint takes requests, if that is soon enough.
bool exchange::hold(const placement_choice &choice)
{
    const auto latest
        = std::min(m_arrived + m_route->latencyObjective, m_deadline - minimumTimeLeft);
    if (!choice.heldOffUntil || m_owner->timerTime(*choice.heldOffUntil) >= latest)
        return false;
    if (!m_isWaiting && m_owner->waitingRequests() >= maximumWaitingRequests)
        return false;
    if (!std::exchange(m_isWaiting, true))
        m_owner->waitStarted();
    m_isHeld = true;
    m_owner->heldRequests().add(shared_from_this(),
                                std::min(m_owner->timerTime(choice.nextUse), latest));
    return true;
}

void exchange::resumeHeld()
{
    if (m_done || !std::exchange(m_isHeld, false))
        return;
    // A stop may have begun while it was held.
    if (refuseIfItOutlastsTheStop())
        return;
    tryEndpoint();
    if (!m_isHeld && std::exchange(m_isWaiting, false))
        m_owner->waitEnded();
}

/// The quarantine of a part of the prompt, if any.
std::optional<policy::quarantined_part> exchange::quarantine() const
{
    return m_owner->crashWitness().findQuarantined(m_sharedParts, m_owner->now());
}

void exchange::refuseQuarantined(const policy::quarantined_part &quarantine)
{
    ++m_owner->counters().counter("requests_quarantined_total",
                                  "service=\"" + m_service->name + '"');
    const bool mayHaveRun = m_possibleRuns > 0;
    if (m_responseStarted || mayHaveRun) {
        failRequest("part_quarantined", mayHaveRun);
        return;
    }
    respondWithError(
        503, "Service Unavailable", "part_quarantined",
        std::chrono::ceil<std::chrono::milliseconds>(quarantine.until - m_owner->now()));
}

/// Whether the engine of the attempt has begun to answer it.
bool exchange::isBeingAnswered() const
{
    return isStream() ? m_events.eventCount() >= m_eventsBeforeAttempt + eventsOfAnAnswer
                      : m_responseStarted;
}

void exchange::endIfQuarantined()
{
    if (m_done || m_service == nullptr || isBeingAnswered())
        return;
    const auto quarantined = quarantine();
    if (!quarantined)
        return;
    dropAttempt();
    refuseQuarantined(*quarantined);
}

bool exchange::isBefore(const exchange &other) const
{
    return m_priority != other.m_priority ? m_priority < other.m_priority
                                          : m_arrived < other.m_arrived;
}

bool exchange::mayWrite() const
{
    return m_endpoint && m_written
        && m_owner->endpoints().notices().mayStillWrite(m_endpoint->listed.incarnation, *m_written,
                                                        m_owner->now());
}

/// The endpoint said that it leaves or wants no request while the connection was opened.
void exchange::handleWithdrawal()
{
    m_owner->log().write("attempt_withdrawn",
                         {{"id", m_id}, {"endpoint", m_endpoint->listed.incarnation}});
    ++m_owner->counters().counter("attempts_withdrawn_total", "service=\"" + m_service->name + '"');
    releaseEndpoint(endpoint_outcome::Abandoned);
    m_tried.pop_back();
    m_excluded.pop_back();
    m_attempt.reset();
    tryEndpoint();
}

bool exchange::mayArriveLaterAt(const endpoint &target) const
{
    return !m_done && m_attempt && m_endpoint.get() == &target && m_attempt->mayArriveLater();
}

void exchange::recall()
{
    if (m_done || !m_attempt || !isRetrySafe() || !tryAcquireRetry(true))
        return;
    m_owner->log().write("attempt_recalled",
                         {{"id", m_id}, {"endpoint", m_endpoint->listed.incarnation}});
    ++m_owner->counters().counter("attempts_recalled_total", "service=\"" + m_service->name + '"');
    m_attempt->recall();
    m_attempt.reset();
    releaseEndpoint(endpoint_outcome::Abandoned);
    tryEndpoint();
}

/// To be called after the notices of the answer have been read.
void exchange::recordAnswer(int status)
{
    const auto written = std::exchange(m_written, std::nullopt);
    if (!written)
        return;
    auto &notices = m_owner->endpoints().notices();
    const auto &incarnation = m_endpoint->listed.incarnation;
    const bool wasRefused = status / 100 == 5 || status == 429;
    if (wasRefused ? notices.recordLoss(incarnation, *written)
                   : notices.recordAnswer(incarnation, *written))
        m_owner->heldRequests().resume();
}

void exchange::connectionOpened()
{
    ++m_sentAttempts;
    ++m_possibleRuns;
    m_holdsRetryToken = false;
}

void exchange::handleHead(http_head &head)
{
    m_response = std::move(head);
    m_endpoint->lastReceived = m_owner->now();
    recordAnswer(m_response.status);
    if (!isSuccess(m_response.status) || (!m_service->engine && !isStream()))
        return;
    // Not a response of the endpoint itself, or not the response to this request.
    if (!isSigned(m_response, m_owner->options().names))
        abandonAttempt("answer_unsigned");
    else if (!answersThisRequest())
        abandonAttempt("answer_without_id");
}

bool exchange::answersThisRequest() const
{
    return m_response.value(m_owner->options().names.requestId) == m_id;
}

void exchange::abandonAttempt(std::string_view cause)
{
    m_attempt->cancel();
    answerBroken(cause);
}

/// The bytes are a response of HTTP, but not the answer to this request, or not a whole one.
void exchange::answerBroken(std::string_view cause)
{
    m_owner->pool()->recordBrokenAnswer(cause);
    attemptFailed(cause, true);
}

void exchange::handleBody(std::string &bytes)
{
    const auto session = m_session.lock();
    if (!session)
        return;
    if (isStream() && isSuccess(m_response.status)) {
        handleEventBytes(bytes, *session);
        return;
    }
    m_endpoint->lastReceived = m_owner->now();
    if (!m_streamsBody) {
        m_responseBody.append(bytes);
        chargeAnswer(m_responseBody.size());
        if (m_responseBody.size() <= maximumBufferedResponse)
            return;
        // Only a signed response may be passed on, and keeping the rest needs memory without bound.
        // Nor is a failure part of the stream that another endpoint began.
        if (!m_response.has(m_owner->options().names.signature) || !answersThisRequest()
            || m_responseStarted
            || (promisesNotRun(m_response.status) && !m_route->isRetrySafe())) {
            abandonAttempt("answer_too_large");
            return;
        }
        m_streamsBody = true;
        bytes = std::move(m_responseBody);
        m_responseBody.clear();
        m_answerCharge.resize(0);
    }
    m_placement.recordFirstByte(*m_endpoint, m_owner->now());
    recordRun();
    recordPart();
    passOn(bytes, *session);
}

void exchange::handleEventBytes(std::string &bytes, caller_session &session)
{
    const auto eventsBefore = m_events.eventCount();
    const auto part = m_events.append(bytes);
    chargeAnswer(m_events.partialBytes());
    if (m_events.hasGap()) {
        abandonAttempt("events_missing");
        return;
    }
    if (m_events.hasOversizedEvent()) {
        abandonAttempt("event_too_large");
        return;
    }
    // Comments and incomplete events are no progress, so they do not restart the stall timer.
    if (m_events.eventCount() > eventsBefore) {
        m_endpoint->lastReceived = m_owner->now();
        m_placement.recordFirstByte(*m_endpoint, m_owner->now());
        recordRun();
        recordPart();
        startAttemptTimer();
        if (isBeingAnswered())
            m_owner->crashWitness().recordAnswered(m_sharedParts, m_owner->now());
    }
    if (!part.empty())
        passOn(part, session);
}

void exchange::passOn(const std::string &part, caller_session &session)
{
    if (!std::exchange(m_responseStarted, true)) {
        m_owner->latency(m_service->name).observe(elapsed());
        http_head head = m_response;
        removeHopByHop(head);
        session.beginResponse(std::move(head));
    }
    session.sendPart(part);
    // Reading goes on when the output is drained.
    if (session.isCongested())
        m_attempt->pause();
}

void exchange::chargeAnswer(std::size_t bytes)
{
    m_answerCharge.resize(bytes);
    m_owner->protection().pauseIfTight(m_attempt, bytes);
}

void exchange::handleOutputDrained()
{
    if (m_attempt)
        m_attempt->resume();
}

void exchange::handleEnd(const attempt::ending &ending)
{
    if (m_done)
        return;
    m_attemptTimer.cancel();
    const auto &names = m_owner->options().names;
    if (ending.wasWithdrawn) {
        handleWithdrawal();
        return;
    }
    if (ending.error && ending.wasSent)
        recordBrokenAttempt();
    if (!ending.wasSent) {
        releaseEndpoint(endpoint_outcome::Unreachable);
        attemptFailed("unreachable", false);
        return;
    }
    if (isStream() && isSuccess(m_response.status) && m_response.status != 0) {
        handleStreamEnd(ending.error);
        return;
    }
    if (ending.error) {
        const bool stale = ending.reusedConnectionFailed && m_route->isRetrySafe();
        releaseEndpoint(stale ? endpoint_outcome::Abandoned : endpoint_outcome::Failed);
        attemptFailed("broken: " + ending.error.message(), true);
        return;
    }
    // It may belong to the request before this one, and then says nothing about this one.
    if (!answersThisRequest()) {
        answerBroken("answer_without_id");
        return;
    }
    if (m_response.has(names.notRun) || m_response.status == 421) {
        --m_possibleRuns;
        // The table of notices keeps it from being used until the end of the wait.
        if (m_owner->endpoints().notices().wait(m_endpoint->listed.incarnation, m_owner->now()))
            m_excluded.pop_back();
        releaseEndpoint(m_response.status == 421 ? endpoint_outcome::Replaced
                                                 : endpoint_outcome::Refused);
        attemptFailed("refused: " + number(m_response.status), false);
        return;
    }
    handleWholeResponse();
}

void exchange::handleWholeResponse()
{
    if (isSuccess(m_response.status) && !isSigned(m_response, m_owner->options().names)) {
        releaseEndpoint(endpoint_outcome::Failed);
        answerBroken("answer_unsigned");
        return;
    }
    recordRun();
    releaseEndpoint(m_response.status >= 500 ? endpoint_outcome::Failed : endpoint_outcome::Served);
    if (isSuccess(m_response.status))
        m_owner->crashWitness().recordAnswered(m_sharedParts, m_owner->now());
    if (m_response.status >= 500 && m_route->isRetrySafe() && tryAcquireRetry(true)) {
        m_owner->log().write("request_retried",
                             {{"id", m_id}, {"cause", "status " + number(m_response.status)}});
        tryEndpoint();
        return;
    }
    // Its head and text would become part of the stream that another endpoint began.
    if (m_responseStarted && !m_streamsBody) {
        attemptFailed("status " + number(m_response.status) + " within a stream", true);
        return;
    }
    // To the caller, the status says that the request has not run; the endpoint has not said so.
    if (promisesNotRun(m_response.status) && !m_route->isRetrySafe()) {
        attemptFailed("status " + number(m_response.status) + " of a request that may have run",
                      true);
        return;
    }
    const auto session = m_session.lock();
    if (!session)
        return;
    if (m_streamsBody) {
        finish(m_response.status, "answered");
        session->endResponse();
        return;
    }
    const int status = m_response.status;
    removeHopByHop(m_response);
    m_owner->latency(m_service->name).observe(elapsed());
    finish(status, "answered");
    session->sendResponse(std::move(m_response), m_responseBody);
}

void exchange::attemptFailed(std::string_view cause, bool mayHaveRun)
{
    if (m_done)
        return;
    if (m_endpoint)
        releaseEndpoint(endpoint_outcome::Failed);
    m_attempt.reset();
    const bool again = tryAcquireRetry(mayHaveRun);
    m_owner->log().write("attempt_failed",
                         {{"id", m_id},
                          {"service", m_service->name},
                          {"endpoint", m_tried.back()->listed.incarnation},
                          {"cause", std::string(cause)},
                          {"may_have_run", mayHaveRun ? "yes" : "no"},
                          {"events", number(static_cast<std::int64_t>(m_events.eventCount()))},
                          {"prompt_parts", std::string(promptParts())},
                          {"will_retry", again ? "yes" : "no"}});
    ++m_owner->counters().counter("attempts_failed_total", "service=\"" + m_service->name + '"');
    if (again)
        tryEndpoint();
    else
        failRequest(cause, m_possibleRuns > 0);
}

bool exchange::tryAcquireRetry(bool mayHaveRun)
{
    if (m_streamsBody || m_events.hasGap())
        return false;
    if (mayHaveRun && !m_route->isRetrySafe())
        return false;
    if (m_possibleRuns > 0 && !m_route->isRetrySafe())
        return false;
    // FIXME: A stream without event ids cannot be resumed, so the request fails.
    if (m_events.eventCount() > 0 && !m_events.lastId())
        return false;
    if (m_possibleRuns >= m_route->maximumAttempts || m_sentAttempts >= maximumSentAttempts
        || m_tried.size() >= 2 * maximumSentAttempts || timeLeft() < minimumTimeLeft)
        return false;
    // An attempt that never reached an endpoint has not used the retry acquired for it.
    if (m_sentAttempts > 0 && !m_holdsRetryToken)
        m_holdsRetryToken = m_owner->retryBudget().tryAcquire(m_service->name, m_owner->now());
    return m_sentAttempts == 0 || m_holdsRetryToken;
}

void exchange::startAttemptTimer()
{
    if (!m_route->isRetrySafe())
        return;
    auto timeout = std::max(m_route->latencyObjective, minimumAttemptTimeout);
    if (isStream()) {
        const auto longest
            = std::max({minimumStallTimeout, m_route->latencyObjective * stallTimeoutObjectives,
                        m_route->eventGapObjective * stallTimeoutGapObjectives});
        timeout = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(longest.count()) * stallTimeoutShare));
    }
    m_attemptTimer.expires_after(timeout);
    m_attemptTimer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->m_done || !self->m_attempt || !self->m_endpoint)
            return;
        if (self->m_attemptTimer.expiry() > std::chrono::steady_clock::now())
            return;
        // The caller is slow, not the endpoint, whose bytes are not read meanwhile.
        if (self->m_attempt->isPaused()) {
            self->startAttemptTimer();
            return;
        }
        const auto silence = self->m_owner->now() - self->m_endpoint->lastReceived;
        if (self->isStream() && silence < recentActivityTime) {
            self->startAttemptTimer();
            return;
        }
        if (!self->tryAcquireRetry(true))
            return;
        self->m_owner->log().write("attempt_timed_out",
                                   {{"id", self->m_id},
                                    {"endpoint", self->m_endpoint->listed.incarnation},
                                    {"elapsed_ms", number(self->elapsed().count())}});
        self->m_attempt->cancel();
        self->m_attempt.reset();
        self->releaseEndpoint(endpoint_outcome::Failed);
        self->tryEndpoint();
    });
}

void exchange::handleDeadline()
{
    if (m_done)
        return;
    const bool ran = m_possibleRuns > 0;
    dropAttempt();
    if (!m_responseStarted && ran)
        respondWithError(504, "Gateway Timeout", "time_is_up");
    else
        failRequest("time_is_up", ran);
}

void exchange::handleCallerDisconnect()
{
    if (m_done)
        return;
    dropAttempt();
    finish(0, "caller_left");
}

void exchange::handleStop()
{
    if (m_done)
        return;
    dropAttempt();
    failRequest("stopping", m_possibleRuns > 0);
}

/// Ends the attempt for a reason that is not the fault of its endpoint.
void exchange::dropAttempt()
{
    if (m_attempt)
        m_attempt->cancel();
    m_attempt.reset();
    releaseEndpoint(endpoint_outcome::Abandoned);
}

/// An answer shows that an endpoint has run the request, which is counted once.
void exchange::recordRun()
{
    if (!m_response.has(m_owner->options().names.notRun) && !promisesNotRun(m_response.status)
        && m_account != nullptr && !std::exchange(m_isCounted, true))
        m_owner->work().recordRun(m_account->name);
}

void exchange::recordPart()
{
    const auto now = std::chrono::steady_clock::now();
    if (!m_responseStarted)
        m_timeToFirstPart = elapsed();
    else
        m_longestPause
            = std::max(m_longestPause,
                       std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastPartTime));
    m_lastPartTime = now;
}

void exchange::releaseEndpoint(endpoint_outcome outcome)
{
    const auto target = std::exchange(m_endpoint, nullptr);
    if (!target)
        return;
    m_placement.end(*target);
    const auto written = std::exchange(m_written, std::nullopt);
    const bool mayOtherReturn = written
        && m_owner->endpoints().notices().recordLoss(target->listed.incarnation, *written);
    m_owner->recordOutcome(*target, outcome);
    if (mayOtherReturn)
        m_owner->heldRequests().resume();
}

void exchange::respondWithError(int status, std::string_view reason, std::string_view cause,
                                std::chrono::milliseconds retryAfter)
{
    const auto session = m_session.lock();
    finish(status, cause);
    if (!session)
        return;
    http_head head;
    head.status = status;
    head.reason = reason;
    if (!m_id.empty())
        head.headers.push_back({m_owner->options().names.requestId, m_id});
    if (retryAfter.count() > 0)
        head.headers.push_back({"Retry-After", seconds(retryAfter)});
    session->sendResponse(std::move(head), {});
}

void exchange::failRequest(std::string_view cause, bool mayHaveRun)
{
    if (m_responseStarted) {
        const auto session = m_session.lock();
        finish(0, cause);
        if (session)
            session->abortResponse();
        return;
    }
    if (mayHaveRun)
        respondWithError(502, "Bad Gateway", cause);
    else
        respondWithError(503, "Service Unavailable", cause, retryAfter());
}

void exchange::finish(int status, std::string_view cause)
{
    if (std::exchange(m_done, true))
        return;
    m_deadlineTimer.cancel();
    m_attemptTimer.cancel();
    const auto labels = "status=\"" + number(status) + "\",cause=\""
        + std::string(cause.substr(0, cause.find(':'))) + '"';
    ++m_owner->counters().counter("requests_total", labels);
    m_owner->log().write(
        "request_done",
        {{"id", m_id},
         {"status", number(status)},
         {"cause", std::string(cause)},
         {"route", m_route == nullptr ? std::string("-") : m_route->name},
         {"account", m_account == nullptr ? std::string("-") : m_account->name},
         {"rank", number(m_priority)},
         {"endpoint", m_tried.empty() ? std::string("-") : m_tried.back()->listed.incarnation},
         {"attempts_sent", number(m_sentAttempts)},
         {"connection_request", number(static_cast<std::int64_t>(m_numberOnConnection))},
         {"arrived_after_stop_ms", arrivedAfterStop()},
         {"elapsed_ms", number(elapsed().count())},
         {"events", number(static_cast<std::int64_t>(m_events.eventCount()))},
         {"first_part_ms", number(m_timeToFirstPart.count())},
         {"longest_pause_ms", number(m_longestPause.count())},
         {"expected_wait_ms", number(m_placement.expectedWait().count() / 1000)},
         {"expected_pause_ms", number(m_placement.expectedPause().count() / 1000)},
         {"load_age_ms", number(m_placement.loadAgeMilliseconds())},
         {"placement", std::string(toString(m_placement.reason()))},
         {"prompt_parts", std::string(promptParts())},
         {"uncached_tokens", number(static_cast<std::int64_t>(m_placement.uncachedTokens()))},
         {"version", number(m_routes ? static_cast<std::int64_t>(m_routes->content().version) : 0)},
         {"lease_age_ms",
          number(std::min<std::int64_t>(m_owner->confirmationAge().count(), 999'999))}});
}

/// Time from the start of a planned stop to the arrival, or "-" if the request arrived before.
std::string exchange::arrivedAfterStop() const
{
    const auto stopStart = m_owner->stopStart();
    if (!stopStart || m_arrived < *stopStart)
        return "-";
    return number(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_arrived - *stopStart).count());
}

std::string_view exchange::promptParts() const
{
    return m_request.value(m_owner->options().names.promptParts);
}

/// Time until the first endpoint of the service takes requests; empty if one does now.
std::optional<std::chrono::milliseconds> exchange::allHeldOffFor() const
{
    if (m_service == nullptr)
        return std::nullopt;
    const auto now = m_owner->now();
    placement_request request;
    request.target = m_service;
    const auto choice
        = chooseEndpoint(m_owner->endpoints(), request, m_owner->options().placement, now);
    if (choice.chosen || !choice.heldOffUntil)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(*choice.heldOffUntil - now);
}

std::chrono::milliseconds exchange::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        m_deadline - std::chrono::steady_clock::now());
}

std::chrono::milliseconds exchange::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - m_arrived);
}

std::chrono::milliseconds exchange::retryAfter() const
{
    if (const auto wait = allHeldOffFor())
        return *wait
            + std::chrono::milliseconds(static_cast<std::int64_t>(
                core::hash64(m_id) % static_cast<std::uint64_t>(returnSpan.count())));
    // Spread by request id, so that callers refused at the same time do not retry at the same time.
    const auto span = static_cast<std::uint64_t>((maximumRetryAfter - minimumRetryAfter).count());
    return minimumRetryAfter
        + std::chrono::milliseconds(static_cast<std::int64_t>(core::hash64(m_id) % span));
}

} // namespace quetzalcleat::forward
