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

/// One request for a completion, from its arrival to the last byte of its answer.
///
/// Keeps itself alive through the handlers that it registers. At most 16 KiB of a stream are
/// buffered; then the transfer from the engine is paused.
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
    void onPiece(std::string_view piece);
    void onEnd(const http::transfer_end &end);
    bool onEvent(std::string_view data);
    void relay(const generation_event &event);
    void collect(const generation_event &event);
    void flush();
    void onWritten(std::error_code error, std::uint32_t tokens);
    void updateBackPressure();
    void complete();
    void respondWhole();
    void attemptFailed(std::error_code error);
    void rejectedByEngine();
    void refuse(error_answer error);
    void breakStream(const error_answer &error);
    void onCallerGone();
    void leaveEngine();
    void cancelAtEngine();
    void end(std::string_view result);

    session_environment &m_environment;
    std::shared_ptr<http::caller_exchange> m_exchange;
    std::string m_requestId;
    std::string m_path;
    core::instant m_arrival;
    admission m_admission;
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
    bool m_maybeSent = false;
    bool m_firstTokenReported = false;

    bool m_streaming = false; ///< The first byte of the answer has gone to the caller.
    bool m_answerComplete = false;
    bool m_writing = false;
    bool m_paused = false;
    std::string m_pending; ///< Bytes for the caller that are not under way yet.
    std::uint32_t m_pendingTokens = 0;
    std::size_t m_bytesUnderWay = 0;
    std::string m_collected; ///< Text of an answer that is sent whole.
    std::string m_finishReason;
};

} // namespace quetzalcleat::daemon
