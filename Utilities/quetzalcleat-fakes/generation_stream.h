#pragma once

#include "LibFakes/generated_text.h"
#include "LibHttp/caller_server.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

/// One answer of an engine on its way to a client, as server-sent events or as one body.
class generation_stream : public std::enable_shared_from_this<generation_stream>
{
public:
    struct identity
    {
        std::string requestId;
        std::string generationId;
        std::string prompt;
        bool chat = false;
        bool streamed = false;
        std::uint32_t maximumTokens = 0;
        std::uint32_t outputTokens = 0;
    };

    generation_stream(std::shared_ptr<http::caller_exchange> exchange, identity self)
        : m_exchange(std::move(exchange)), m_identity(std::move(self))
    {
    }

    const identity &self() const { return m_identity; }

    void begin()
    {
        if (!m_identity.streamed)
            return;
        http::response_head head;
        head.status = 200;
        head.headers.push_back({"Content-Type", "text/event-stream"});
        head.headers.push_back({"X-Generation-Id", m_identity.generationId});
        m_exchange->startStream(std::move(head));
    }

    void addToken(std::uint32_t index)
    {
        const auto text = generatedToken(m_identity.prompt, index);
        m_text += text;
        ++m_tokens;
        if (!m_identity.streamed)
            return;
        enqueue("data: " + event(index, text).dump() + "\n\n");
    }

    void finish()
    {
        if (m_identity.streamed) {
            m_ended = true;
            enqueue("data: [DONE]\n\n");
            return;
        }
        http::response_head head;
        head.status = 200;
        head.headers.push_back({"Content-Type", "application/json"});
        head.headers.push_back({"X-Generation-Id", m_identity.generationId});
        m_exchange->respond(std::move(head), wholeAnswer().dump());
    }

    /// Ends without [DONE], as a crash does for a client.
    void abort()
    {
        if (!m_identity.streamed) {
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
        return m_identity.outputTokens < m_identity.maximumTokens ? "stop" : "length";
    }

    nlohmann::json event(std::uint32_t index, const std::string &text) const
    {
        nlohmann::json made = {{"id", m_identity.generationId},
                               {"request_id", m_identity.requestId},
                               {"index", index},
                               {"text", text},
                               {"finish_reason", nullptr}};
        if (index + 1 == m_identity.outputTokens)
            made["finish_reason"] = finishReason();
        return made;
    }

    nlohmann::json wholeAnswer() const
    {
        nlohmann::json choice = {{"index", 0}, {"finish_reason", finishReason()}};
        if (m_identity.chat)
            choice["message"] = {{"role", "assistant"}, {"content", m_text}};
        else
            choice["text"] = m_text;
        return {{"id", m_identity.generationId},
                {"request_id", m_identity.requestId},
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
    identity m_identity;
    std::string m_text;
    std::uint32_t m_tokens = 0;
    std::deque<std::string> m_pending;
    bool m_writing = false;
    bool m_ended = false;
};

} // namespace quetzalcleat::fakes
