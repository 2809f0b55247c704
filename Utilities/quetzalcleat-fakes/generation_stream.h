#pragma once

#include "LibFakes/generated_text.h"
#include "LibHttp/caller_server.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

/// Sends one answer of an engine to a client, as server-sent events or as one body.
class generation_stream : public std::enable_shared_from_this<generation_stream>
{
public:
    struct parameters
    {
        std::string requestId;
        std::string generationId;
        std::string prompt;
        bool chat = false;
        bool streamed = false;
        std::uint32_t maximumTokens = 0;
        std::uint32_t outputTokens = 0;
    };

    generation_stream(std::shared_ptr<http::caller_exchange> exchange, parameters streamParameters)
        : m_exchange(std::move(exchange)), m_parameters(std::move(streamParameters))
    {
    }

    const parameters &streamParameters() const { return m_parameters; }

    void begin()
    {
        if (!m_parameters.streamed)
            return;
        http::response_head head;
        head.status = 200;
        head.headers.push_back({"Content-Type", "text/event-stream"});
        head.headers.push_back({"X-Generation-Id", m_parameters.generationId});
        m_exchange->startStream(std::move(head));
    }

    void addToken(std::uint32_t index)
    {
        const auto text = generatedToken(m_parameters.prompt, index);
        m_text += text;
        ++m_tokens;
        if (!m_parameters.streamed)
            return;
        enqueue("data: " + event(index, text).dump() + "\n\n");
    }

    void finish()
    {
        if (m_parameters.streamed) {
            m_ended = true;
            enqueue("data: [DONE]\n\n");
            return;
        }
        http::response_head head;
        head.status = 200;
        head.headers.push_back({"Content-Type", "application/json"});
        head.headers.push_back({"X-Generation-Id", m_parameters.generationId});
        m_exchange->respond(std::move(head), wholeAnswer().dump());
    }

    /// Ends the answer as a crash of the engine does: without [DONE], or with an error.
    void abort()
    {
        if (!m_parameters.streamed) {
            http::response_head head;
            head.status = 500;
            head.headers.push_back({"Content-Type", "application/json"});
            m_exchange->respond(std::move(head), R"({"error":{"type":"engine_failed"}})");
            return;
        }
        m_ended = true;
        m_pending.clear();
        if (!m_writing)
            m_exchange->finishStream();
    }

private:
    const char *finishReason() const
    {
        return m_parameters.outputTokens < m_parameters.maximumTokens ? "stop" : "length";
    }

    nlohmann::json event(std::uint32_t index, const std::string &text) const
    {
        nlohmann::json content = {{"id", m_parameters.generationId},
                                  {"request_id", m_parameters.requestId},
                                  {"index", index},
                                  {"text", text},
                                  {"finish_reason", nullptr}};
        if (index + 1 == m_parameters.outputTokens)
            content["finish_reason"] = finishReason();
        return content;
    }

    nlohmann::json wholeAnswer() const
    {
        nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason()}};
        if (m_parameters.chat)
            choice["message"] = {{"role", "assistant"}, {"content", m_text}};
        else
            choice["text"] = m_text;
        return {{"id", m_parameters.generationId},
                {"request_id", m_parameters.requestId},
                {"choices", {choice}},
                {"usage", {{"completion_tokens", m_tokens}}}};
    }

    void enqueue(std::string chunk)
    {
        m_pending.push_back(std::move(chunk));
        if (!m_writing)
            writeNext();
    }

    void writeNext()
    {
        if (m_pending.empty()) {
            m_writing = false;
            if (m_ended)
                m_exchange->finishStream();
            return;
        }
        m_writing = true;
        auto chunk = std::move(m_pending.front());
        m_pending.pop_front();
        m_exchange->write(std::move(chunk), [self = shared_from_this()](std::error_code error) {
            if (!error)
                self->writeNext();
        });
    }

    std::shared_ptr<http::caller_exchange> m_exchange;
    parameters m_parameters;
    std::string m_text;
    std::uint32_t m_tokens = 0;
    std::deque<std::string> m_pending;
    bool m_writing = false;
    bool m_ended = false;
};

} // namespace quetzalcleat::fakes
