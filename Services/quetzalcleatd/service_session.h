#pragma once

#include "LibCore/time.h"
#include "LibHttp/caller_server.h"
#include "LibHttp/http_error.h"
#include "LibPeer/control_plane.h"
#include "LibState/replicated_state.h"
#include "quetzalcleatd/admission.h"
#include "quetzalcleatd/claim_responses.h"
#include "quetzalcleatd/service_call.h"
#include "quetzalcleatd/session_environment.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::daemon {

/// Handles a call to a plain service.
///
/// A non-repeatable call with a key is claimed in the ledger before it is submitted to the decision
/// core. The claim permits one transmission; the session releases it if nothing was sent.
template <peer::control_plane Control>
class service_session : public std::enable_shared_from_this<service_session<Control>>
{
public:
    service_session(session_environment &environment, Control &control,
                    std::shared_ptr<http::caller_exchange> exchange, std::string requestId)
        : m_environment(environment), m_control(control), m_exchange(std::move(exchange)),
          m_requestId(std::move(requestId)), m_arrival(std::chrono::steady_clock::now()),
          m_claimTimer(environment.context)
    {
    }

    void start()
    {
        if (!parse())
            return;
        m_exchange->onDisconnect([self = this->shared_from_this()] { self->onCallerGone(); });
        m_exchange->onInterrupt([self = this->shared_from_this()] { self->onInterrupt(); });
        if (m_nonRepeatable && !m_identity.idempotencyKey.empty())
            claim();
        else
            submit();
    }

private:
    enum class phase { New, Claiming, Queued, Sent, Ended };

    /// What the session must still report to the ledger: an abandoned claim or a result.
    enum class claim_state { None, Held, Sent };

    bool parse()
    {
        const auto &request = m_exchange->request();
        const auto &routing = *m_environment.routing;
        auto admitted = admit(request, routing);
        if (const auto *error = std::get_if<error_response>(&admitted))
            return refuse(*error);
        m_identity = std::get<request_identity>(std::move(admitted));
        auto parsed = parseServiceCall(request);
        if (const auto *error = std::get_if<error_response>(&parsed))
            return refuse(*error);
        m_call = std::get<service_call>(std::move(parsed));
        if (!routing.hasService(m_call.service))
            return refuse({error_type::NotFound,
                           "no service has this name",
                           false,
                           call_outcome::NotRun,
                           {}});
        const auto classified = classify(
            request.headers, routing, m_identity.account,
            {.account = {}, .model = {}, .service = m_call.service, .path = m_call.path});
        if (const auto *error = std::get_if<error_response>(&classified))
            return refuse(*error);
        m_class = std::get<policy::class_id>(classified);
        const auto &rules = routing.document().classes[m_class.value];
        m_className = rules.name;
        if (!m_environment.canServeUntil(m_arrival + rules.deadline))
            return refuse(stoppingError(call_outcome::NotRun));
        m_nonRepeatable = routing.isNonRepeatable(m_call.service, request.method, m_call.path);
        return true;
    }

    void claim()
    {
        m_phase = phase::Claiming;
        m_attempt = {{m_identity.accountName, m_identity.idempotencyKey},
                     core::secureRandomBytes(attemptIdBytes),
                     m_environment.hostName,
                     m_environment.hostIncarnation};
        const auto timeout = m_environment.options.claimTimeout;
        // Enforced by the session's own timer, so that a late grant is never used, whatever delayed
        // it.
        const auto now = m_environment.options.now();
        m_claimDeadline = now + timeout;
        // The ledger counts from the grant, which is later.
        m_claimEnd = now + state::table_limits::runningLimit;
        m_claimTimer.expires_after(timeout);
        m_claimTimer.async_wait([self = this->shared_from_this()](std::error_code error) {
            if (!error)
                self->onClaimTimeout();
        });
        m_control.claim(
            {m_attempt, m_call.bodyHash}, timeout,
            [self = this->shared_from_this()](core::result<state::claim_verdict> verdict) {
                self->onClaimVerdict(std::move(verdict));
            });
    }

    void onClaimTimeout()
    {
        if (m_phase != phase::Claiming)
            return;
        m_control.abandonClaim(m_attempt);
        refuse(ledgerUnavailable());
    }

    void onClaimVerdict(core::result<state::claim_verdict> verdict)
    {
        // The timeout has already abandoned the attempt.
        if (m_phase != phase::Claiming)
            return;
        m_claimTimer.cancel();
        // The clock of the timer does not count while the machine is suspended.
        if (m_environment.options.now() >= m_claimDeadline || !verdict) {
            m_control.abandonClaim(m_attempt);
            refuse(ledgerUnavailable());
            return;
        }
        const auto &content = verdict.value();
        if (content.kind == state::claim_verdict_kind::Granted) {
            m_claimState = claim_state::Held;
            submit();
            return;
        }
        if (content.kind == state::claim_verdict_kind::Finished && !content.answer.truncated) {
            respondStored(content.answer);
            return;
        }
        refuse(responseFor(content));
    }

    void respondStored(const state::stored_response &answer)
    {
        http::response_head head{answer.status,
                                 {{"X-Request-Id", m_requestId}, {"Idempotency-Replayed", "true"}}};
        if (!answer.contentType.empty())
            head.headers.push_back({"Content-Type", answer.contentType});
        m_exchange->respond(std::move(head), answer.body);
        end("replayed");
    }

    void submit()
    {
        const auto &request = m_exchange->request();
        policy::request_spec spec;
        spec.requestId = m_requestId;
        spec.account = m_identity.account;
        spec.requestClass = m_class;
        spec.service = m_call.service;
        spec.bytes = static_cast<std::uint32_t>(request.body.size());
        spec.repeatable = !m_nonRepeatable;
        const auto accepted = m_environment.decisions.submit(
            spec, [self = this->shared_from_this()](const policy::decision &decision) {
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
    }

    void onDecision(const policy::decision &decision)
    {
        if (m_phase != phase::Queued)
            return;
        switch (decision.kind) {
        case policy::decision_kind::Dispatch:
            if (claimHasRunOut())
                giveUpClaim();
            else
                send(decision);
            return;
        case policy::decision_kind::Preempt:
            // Only a call that has not been sent can be preempted; it stays queued.
            return;
        case policy::decision_kind::Shed:
        case policy::decision_kind::Expire:
            refuse(fromDecision(decision, outcomeWithoutResponse()));
            return;
        }
    }

    /// The machine may have been suspended since the grant. The ledger then tells other hosts that
    /// the outcome is unknown, and their callers may have settled it with the service.
    bool claimHasRunOut() const
    {
        return m_claimState == claim_state::Held && m_environment.options.now() >= m_claimEnd;
    }

    void giveUpClaim()
    {
        m_environment.decisions.cancel(m_decisionId);
        refuse(ledgerUnavailable());
    }

    void send(const policy::decision &decision)
    {
        const auto &incoming = m_exchange->request();
        m_endpoint = m_environment.routing->document().endpoints[decision.endpoint.value];
        m_phase = phase::Sent;
        m_head = {};
        m_isHeldOff = false;
        m_body.clear();
        m_bodyBytes = 0;
        if (m_claimState == claim_state::Held)
            m_claimState = claim_state::Sent;
        http::endpoint_request request;
        request.method = incoming.method;
        request.address = m_endpoint.address;
        request.target = m_call.target;
        // Callers choose their ids, and two of them may choose the same.
        m_attemptId = m_requestId + '.' + newRequestId();
        request.headers = headersForService(incoming.headers, m_attemptId, m_identity.accountName);
        request.checksIdentity = true;
        request.body = incoming.body;
        request.sendOnce = m_nonRepeatable;
        request.timeouts = m_environment.options.service;
        const auto self = this->shared_from_this();
        request.mayStillSend = [&decisions = m_environment.decisions, id = m_decisionId] {
            return decisions.mayStillSend(id);
        };
        m_transfer = m_environment.endpoints.start(
            std::move(request),
            {.onHead = [self](const http::response_head &head) { self->onHead(head); },
             .onBody = [self](std::string_view chunk) { self->onBody(chunk); },
             .onEnd = [self](const http::transfer_result &end) { self->onEnd(end); },
             .onInterim = [self](const http::response_head &head) { self->readNotice(head); }});
    }

    void onHead(const http::response_head &head)
    {
        m_head = head;
        m_isHeldOff = readNotice(head);
    }

    bool readNotice(const http::response_head &head)
    {
        return m_environment.notices.readAnswer(
            {m_decisionId, m_attemptId, m_requestId, m_endpoint}, head);
    }

    void onBody(std::string_view chunk)
    {
        if (m_phase != phase::Sent)
            return;
        m_bodyBytes += chunk.size();
        if (m_bodyBytes > endlessResponseBytes) {
            abandonResponse();
            return;
        }
        // Reading continues, so that a non-repeatable call ends with a known outcome.
        if (m_body.size() + chunk.size() > maximumServiceResponseBytes)
            m_bodyTooLarge = true;
        else if (!m_bodyTooLarge)
            m_body.append(chunk);
    }

    void abandonResponse()
    {
        m_environment.log.warning("answer of " + m_endpoint.name + " has more than "
                                      + std::to_string(endlessResponseBytes) + " bytes; abandoned",
                                  m_requestId);
        m_transfer->cancel();
        m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Failed);
        refuse({error_type::AnswerTooLarge,
                "answer of the service has no end",
                false,
                call_outcome::Unknown,
                {}});
    }

    void onEnd(const http::transfer_result &end)
    {
        if (m_phase != phase::Sent)
            return;
        m_transfer.reset();
        if (end.error)
            sendFailed(end);
        else
            onResponse();
    }

    void onResponse()
    {
        // A call that must not run twice keeps its answer, which settles its claim.
        if (m_isHeldOff && !m_nonRepeatable) {
            m_phase = phase::Queued;
            if (m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Refused))
                return;
            m_phase = phase::Sent;
        } else {
            m_environment.decisions.firstToken(m_decisionId);
            m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Completed);
        }
        if (m_claimState == claim_state::Sent) {
            m_claimState = claim_state::None;
            m_control.finishClaim({m_attempt, true, storedResponse()});
        }
        if (m_bodyTooLarge) {
            refuse({error_type::AnswerTooLarge,
                    "answer of the service is larger than 4 MiB",
                    false,
                    call_outcome::Done,
                    {}});
            return;
        }
        m_exchange->respond({m_head.status, headersForCaller(m_head.headers, m_requestId)},
                            std::move(m_body));
        this->end("completed");
    }

    state::stored_response storedResponse() const
    {
        const auto type = http::findHeader(m_head.headers, "Content-Type");
        state::stored_response answer{m_head.status, std::string(type.value_or(std::string_view())),
                                      m_body, m_bodyTooLarge};
        if (answer.body.size() > m_environment.routing->document().ledger.answerBytes)
            answer.truncated = true;
        if (answer.truncated)
            answer.body.clear();
        return answer;
    }

    void sendFailed(const http::transfer_result &end)
    {
        if (end.error == http::http_error::Withdrawn) {
            sendAgain();
            return;
        }
        m_environment.log.warning("call to " + m_endpoint.name + " failed: " + end.error.message(),
                                  m_requestId);
        if (!end.maybeSent && m_claimState == claim_state::Sent)
            m_claimState = claim_state::Held;
        const bool mayRetry = !end.maybeSent || !m_nonRepeatable;
        m_maybeSent = m_maybeSent || end.maybeSent;
        m_phase = phase::Queued;
        const auto outcome = mayRetry ? policy::attempt_outcome::RetryBeforeFirstByte
                                      : policy::attempt_outcome::Failed;
        if (m_environment.decisions.finished(m_decisionId, outcome))
            return;
        m_phase = phase::Sent;
        refuse({end.error == http::http_error::FirstByteTimeout ? error_type::EndpointTimeout
                                                                : error_type::EndpointFailed,
                end.error.message(),
                !m_maybeSent || !m_nonRepeatable,
                outcomeWithoutResponse(),
                {}});
    }

    void sendAgain()
    {
        if (m_claimState == claim_state::Sent)
            m_claimState = claim_state::Held;
        m_phase = phase::Queued;
        m_environment.decisions.finished(m_decisionId, policy::attempt_outcome::Withdrawn);
    }

    call_outcome outcomeWithoutResponse() const
    {
        return m_maybeSent ? call_outcome::Unknown : call_outcome::NotRun;
    }

    /// Resolves the claim and sends the error. Returns false, for use as a result of parse().
    bool refuse(error_response error)
    {
        resolveClaim();
        // A call with a closed key has never run. After any other refusal of a keyed call, an
        // earlier transmission may have run.
        const auto key = http::findHeader(m_exchange->request().headers, "Idempotency-Key");
        if (key && error.type != error_type::KeyClosed)
            error = forKeyedCall(std::move(error));
        sendError(*m_exchange, error, m_requestId);
        end(nameOf(error.type));
        return false;
    }

    void resolveClaim()
    {
        const auto claimState = std::exchange(m_claimState, claim_state::None);
        if (claimState == claim_state::Held)
            m_control.abandonClaim(m_attempt);
        else if (claimState == claim_state::Sent)
            m_control.finishClaim({m_attempt, false, {}});
    }

    void onCallerGone()
    {
        switch (m_phase) {
        case phase::Claiming:
            m_claimTimer.cancel();
            m_control.abandonClaim(m_attempt);
            break;
        case phase::Queued:
            m_environment.decisions.cancel(m_decisionId);
            resolveClaim();
            break;
        case phase::Sent:
            // A non-repeatable call continues, so that its outcome becomes known.
            if (m_nonRepeatable)
                return;
            m_environment.decisions.cancel(m_decisionId);
            m_transfer->cancel();
            break;
        case phase::New:
        case phase::Ended:
            return;
        }
        end("caller_gone");
    }

    void onInterrupt()
    {
        switch (m_phase) {
        case phase::Claiming:
            m_control.abandonClaim(m_attempt);
            break;
        case phase::Queued:
            m_environment.decisions.cancel(m_decisionId);
            break;
        case phase::Sent:
            m_environment.decisions.cancel(m_decisionId);
            if (m_transfer)
                m_transfer->cancel();
            m_maybeSent = true;
            break;
        case phase::New:
        case phase::Ended:
            return;
        }
        auto error = stoppingError(outcomeWithoutResponse());
        error.retryable = !m_maybeSent || !m_nonRepeatable;
        refuse(std::move(error));
    }

    void end(std::string_view result)
    {
        m_phase = phase::Ended;
        m_claimTimer.cancel();
        m_transfer.reset();
        m_exchange->onDisconnect({});
        m_exchange->onInterrupt({});
        ++m_environment.counters.counter("quetzalcleat_requests_total",
                                         "class=\"" + m_className + "\",result=\""
                                             + std::string(result) + '"');
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - m_arrival);
        m_environment.log.information(
            "call to service " + m_call.service + ' ' + std::string(result)
                + " caller=" + m_identity.accountName + " class=" + m_className
                + " endpoint=" + m_endpoint.name + " ms=" + std::to_string(elapsed.count()),
            m_requestId);
    }

    static constexpr std::size_t attemptIdBytes = 16;
    static constexpr std::size_t maximumServiceResponseBytes = 4 * 1024 * 1024;
    /// An answer of more bytes is taken to have no end.
    static constexpr std::size_t endlessResponseBytes = 64 * 1024 * 1024;

    session_environment &m_environment;
    Control &m_control;
    std::shared_ptr<http::caller_exchange> m_exchange;
    std::string m_requestId;
    std::string m_attemptId; ///< X-Request-Id of the current attempt.
    core::instant m_arrival;
    asio::steady_timer m_claimTimer;
    core::instant m_claimDeadline; ///< By this time the grant must arrive.
    core::instant m_claimEnd; ///< By this time the call must be sent.
    request_identity m_identity;
    service_call m_call;
    policy::class_id m_class;
    std::string m_className;
    bool m_nonRepeatable = false;
    phase m_phase = phase::New;
    claim_state m_claimState = claim_state::None;
    state::claim_attempt m_attempt;
    policy::request_id m_decisionId;
    inventory::endpoint m_endpoint;
    std::shared_ptr<http::endpoint_transfer> m_transfer;
    http::response_head m_head;
    std::string m_body;
    std::size_t m_bodyBytes = 0;
    bool m_bodyTooLarge = false;
    bool m_isHeldOff = false; ///< The endpoint refused the attempt and asked for a wait.
    bool m_maybeSent = false;
};

} // namespace quetzalcleat::daemon
