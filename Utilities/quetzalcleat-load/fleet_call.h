#pragma once

#include "LibHttp/endpoint_client.h"
#include "LibHttp/event_parser.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::experiment {

/// One request to a running fleet.
struct fleet_request
{
    core::socket_address address;
    std::string token; ///< Empty for a request sent directly to an engine.
    std::string requestId;
    std::string requestClass;
    std::string model; ///< Empty for a call to a service.
    std::string service;
    std::string prompt;
    std::string idempotencyKey;
    std::uint32_t outputTokens = 0; ///< Length that the fake engine is asked to generate.
    std::uint32_t maximumTokens = 0;
    std::chrono::milliseconds deadline{60000};
};

enum class fleet_outcome {
    Correct, ///< Identical to the expected answer.
    Refused, ///< An error before the first token.
    Broken, ///< An error or a lost connection after the first token.
    Wrong, ///< Different content, or a shorter answer that ended as if complete.
};

struct fleet_measurement
{
    fleet_outcome outcome = fleet_outcome::Broken;
    std::uint16_t status = 0;
    std::uint32_t tokens = 0;
    std::chrono::nanoseconds firstToken{0}; ///< Since the request was sent.
    std::chrono::nanoseconds lastToken{0}; ///< Since the request was sent.
    std::vector<std::chrono::nanoseconds> gaps; ///< Between tokens, sampled.
    std::string errorType; ///< From the JSON error, if there was one.
};

/// Sends a request and compares its answer with the one that the fake engine must generate.
class fleet_call : public std::enable_shared_from_this<fleet_call>
{
public:
    using end_callback = std::function<void(const fleet_request &, const fleet_measurement &)>;

    fleet_call(http::endpoint_client &client, fleet_request request, end_callback onEnd);

    void start();

private:
    http::endpoint_request makeRequest() const;
    void onHead(const http::response_head &head);
    void onBody(std::string_view chunk);
    void onToken(std::string_view data);
    void onEnd(const http::transfer_result &end);
    fleet_outcome classify(const http::transfer_result &end) const;

    http::endpoint_client &m_client;
    fleet_request m_request;
    end_callback m_onEnd;
    http::event_parser m_parser;
    std::chrono::steady_clock::time_point m_sentAt;
    std::string m_text;
    std::string m_body; ///< Body of a response that is not a stream of tokens.
    bool m_sawDone = false; ///< The final event [DONE] was received.
    bool m_invalidEvent = false;
    fleet_measurement m_measurement;
};

} // namespace quetzalcleat::experiment
