#pragma once

#include "LibHttp/caller_server.h"
#include "LibHttp/event_parser.h"
#include "quetzalcleatd/admission.h"
#include "quetzalcleatd/completion_request.h"
#include "quetzalcleatd/generation_stream.h"
#include "quetzalcleatd/session_environment.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace quetzalcleat::daemon {

/// Handles a request for a completion, from its arrival to the last byte of its response.
///
/// The callbacks that it registers keep it alive. It buffers at most 16 KiB of a stream; then it
/// pauses the transfer from the engine.
class completion_session : public std::enable_shared_from_this<completion_session>
{
public:
    completion_session(session_environment &environment,
                       std::shared_ptr<http::caller_exchange> exchange, std::string requestId);

    void start(completion_kind kind);

private:
    enum class phase { New, Queued, Running, Ended };

    bool parse(completion_kind kind);
    void submit();
    void onDecision(const policy::decision &decision);
    void dispatch(const policy::decision &decision);
    http::endpoint_request engineRequest(const policy::decision &decision, bool resumes) const;
    void onHead(const http::response_head &head);
    bool readNotice(const http::response_head &head);
    void onBody(std::string_view chunk);
    void onEnd(const http::transfer_result &end);
    bool onEvent(std::string_view data);
    void skip(std::size_t bytes);
    void relay(const generation_event &event);
    void collect(const generation_event &event);
    void flush();
    void onWritten(std::error_code error, std::uint32_t tokens);
    void updateBackPressure();
    void complete();
    void respondWhole();
    void attemptFailed(std::error_code error, bool mayResume = true);
    void rejectedByEngine();
    void refuse(error_response error);
    void sendStreamError(const error_response &error);
    void onCallerGone();
    void onInterrupt();
    void cancelTransfer();
    bool isStalled() const;
    void abandonStalledAttempt();
    void cancelReplacedAttempt();
    void end(std::string_view result);

    /// An attempt that may go on at its engine.
    struct engine_attempt
    {
        inventory::endpoint engine;
        std::string id;
    };
    void cancelAtEngine(const engine_attempt &cancelled);

    session_environment &m_environment;
    std::shared_ptr<http::caller_exchange> m_exchange;
    std::string m_requestId;
    std::string m_path;
    core::instant m_arrival;
    request_identity m_identity;
    completion_request m_request;
    policy::class_id m_class;
    std::string m_className;
    phase m_phase = phase::New;
    policy::request_id m_decisionId;

    std::uint32_t m_attempts = 0;
    std::string m_attemptId; ///< X-Request-Id of the current attempt.
    inventory::endpoint m_engine;
    std::shared_ptr<http::endpoint_transfer> m_transfer;
    std::optional<generation_stream> m_generation;
    http::event_parser m_events;
    std::uint16_t m_engineStatus = 0;
    std::size_t m_unusedBytes = 0; ///< Of the body of the current attempt.
    bool m_maybeSent = false;
    bool m_isHeldOff = false; ///< The engine refused the attempt and asked for a wait.
    bool m_engineMayStillRun = false; ///< The failed attempt may go on at the engine.
    std::optional<engine_attempt> m_replaced; ///< To be cancelled once the next one has begun.
    bool m_firstTokenReported = false;
    core::instant m_lastToken; ///< Or the start of the attempt, or the end of a pause.

    bool m_streaming = false; ///< The streamed response has begun.
    bool m_responseComplete = false;
    bool m_writing = false;
    bool m_paused = false;
    std::string m_pending; ///< Bytes for the caller that are not being written yet.
    std::uint32_t m_pendingTokens = 0;
    std::size_t m_bytesInFlight = 0;
    std::string m_collected; ///< Text of a response that is not streamed.
    std::string m_finishReason;
};

} // namespace quetzalcleat::daemon
