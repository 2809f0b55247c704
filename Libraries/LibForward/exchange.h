#pragma once

#include "LibForward/event_splitter.h"
#include "LibForward/forwarder.h"
#include "LibForward/http_head.h"
#include "LibForward/placement_record.h"
#include "LibForward/request_admission.h"
#include "LibForward/request_body.h"
#include "LibPolicy/leaving_streams.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::forward {

class caller_session;

/// When and where a request arrived.
struct request_arrival
{
    core::instant at;
    std::uint64_t numberOnConnection = 1; ///< 1 for the first request of its connection.
};

/// One request of a caller, from its arrival to the end of the response, with all its attempts.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(std::shared_ptr<forwarder> owner, std::weak_ptr<caller_session> session,
             http_head request, std::shared_ptr<const request_body> body, request_arrival arrival);
    ~exchange();

    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    void start();

    /// The caller closed its connection. Closes the connection to the endpoint to cancel its work.
    void handleCallerDisconnect();

    /// Ends the request at the end of the grace time of a planned stop, with an answer that says
    /// whether it was sent.
    void handleStop();

    /// Places the request again after it was held because no endpoint took requests.
    void resumeHeld();

    /// Whether the request was written to the endpoint and a part of it may arrive there later.
    bool mayArriveLaterAt(const endpoint &target) const;
    bool isRetrySafe() const { return m_route != nullptr && m_route->isRetrySafe(); }
    /// Sends the request elsewhere instead, if that is allowed.
    void recall();

    /// The stream that this endpoint sends, if there is one.
    std::optional<policy::leaving_stream> streamAt(const std::string &incarnation) const
    {
        if (m_done || !m_attempt || !m_endpoint || !isStream()
            || m_endpoint->listed.incarnation != incarnation)
            return std::nullopt;
        const auto tokensPerEvent
            = m_service->engine ? std::max(m_service->engine->tokensPerEvent, 1U) : 1U;
        const auto running = elapsed();
        return policy::leaving_stream{isRetrySafe(), m_events.eventCount(),
                                      m_size.expectedOutputTokens / tokensPerEvent,
                                      running - m_timeToFirstPart, running};
    }

    /// Ends the request if a part of its prompt is quarantined, unless an engine is answering it.
    void endIfQuarantined();

    /// Whether this request is placed before the other one if both are held.
    bool isBefore(const exchange &other) const;

    /// All bytes for the caller have been written. Resumes reading from the endpoint.
    void handleOutputDrained();

private:
    void admit();
    bool refuseIfItOutlastsTheStop();
    void waitForConfiguration(std::string_view cause);
    bool authorise(const request_admission &admission);
    attempt::request attemptRequest(const endpoint &target, std::chrono::milliseconds left) const;

    void tryEndpoint();
    void startAttempt(std::chrono::milliseconds left);
    bool hold(const placement_choice &choice);
    bool mayWrite() const;
    void connectionOpened();
    void handleWithdrawal();
    void recordAnswer(int status);
    void handleHead(http_head &head);
    void handleBody(std::string &bytes);
    void chargeAnswer(std::size_t bytes);
    void handleEventBytes(std::string &bytes, caller_session &session);
    void abandonAttempt(std::string_view cause);
    void answerBroken(std::string_view cause);
    void dropAttempt();
    bool answersThisRequest() const;
    void passOn(const std::string &part, caller_session &session);
    void handleEnd(const attempt::ending &ending);
    void handleWholeResponse();
    void handleStreamEnd(std::error_code error);
    bool mustConfirmEnd() const;
    bool endsAfterAnEvent() const;
    void recordBrokenAttempt();
    void attemptFailed(std::string_view cause, bool mayHaveRun);
    bool tryAcquireRetry(bool mayHaveRun);
    void startAttemptTimer();
    void handleDeadline();

    void recordRun();
    void recordPart();
    void releaseEndpoint(endpoint_outcome outcome);
    void respondWithError(int status, std::string_view reason, std::string_view cause,
                          std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));
    void failRequest(std::string_view cause, bool mayHaveRun);
    void finish(int status, std::string_view cause);
    std::optional<policy::quarantined_part> quarantine() const;
    void refuseQuarantined(const policy::quarantined_part &quarantine);
    bool isBeingAnswered() const;
    std::string arrivedAfterStop() const;
    std::string_view promptParts() const;
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds elapsed() const;
    std::chrono::milliseconds retryAfter() const;
    std::optional<std::chrono::milliseconds> allHeldOffFor() const;
    bool isStream() const { return m_route->kind == request_kind::Stream; }

    std::shared_ptr<forwarder> m_owner;
    std::weak_ptr<caller_session> m_session;
    http_head m_request;
    std::shared_ptr<const request_body> m_body; ///< Null for none.
    core::instant m_arrived;
    std::uint64_t m_numberOnConnection;
    core::instant m_deadline; ///< The earlier of the caller's deadline and the route's.
    asio::steady_timer m_deadlineTimer;
    asio::steady_timer m_attemptTimer;

    std::shared_ptr<const route_table> m_routes; ///< In force when the request arrived.
    const route *m_route = nullptr;
    const client_account *m_account = nullptr;
    const service *m_service = nullptr;
    std::string m_id;
    int m_priority = 0;
    generation_size m_size;
    bool m_hasPromptSize = false;
    std::uint64_t m_affinity = 0;
    /// Parts of the prompt that other requests can have, if an engine answers this one.
    std::vector<policy::part_id> m_sharedParts;

    std::shared_ptr<attempt> m_attempt;
    endpoint_table::endpoint_pointer m_endpoint; ///< Of the attempt in progress.
    std::vector<endpoint_table::endpoint_pointer> m_tried;
    /// Of those tried, the ones that did not ask for a wait; they are not tried again.
    std::vector<endpoint_table::endpoint_pointer> m_excluded;
    std::optional<policy::written_request> m_written; ///< Of the attempt, until it is answered.
    placement_record m_placement; ///< Of the attempt.
    bool m_isCounted = false; ///< As a request that an endpoint began to run.
    int m_sentAttempts = 0; ///< Attempts whose connection opened.
    int m_possibleRuns = 0; ///< Sent attempts that may have run the request.
    bool m_holdsRetryToken = false; ///< Acquired from the retry budget, not used yet.

    http_head m_response; ///< Of the attempt in progress.
    std::string m_responseBody;
    policy::memory_charge m_answerCharge; ///< For the part that is not passed on yet.
    event_splitter m_events;
    std::uint64_t m_eventsBeforeAttempt = 0;
    bool m_responseStarted = false; ///< The head was passed to the caller.
    std::chrono::milliseconds m_timeToFirstPart{0}; ///< Arrival to the first part of the response.
    std::chrono::milliseconds m_longestPause{0}; ///< Between two parts of the response.
    core::instant m_lastPartTime;
    bool m_streamsBody = false; ///< The body is too long to buffer and is passed on as it arrives.
    bool m_isWaiting = false; ///< For a configuration or endpoint; counted in `m_owner`.
    bool m_isHeld = false; ///< No endpoint takes requests now.
    bool m_done = false;
};

} // namespace quetzalcleat::forward
