#pragma once

#include "fake_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::tests {

/// A completion that an engine was asked for.
struct engine_call
{
    std::shared_ptr<fake_connection> connection;
    std::string requestId;
    std::string priority;
    std::string resumeFrom; ///< X-Resume-From, empty without one.
    std::string generationId; ///< X-Generation-Id, empty without one.
    std::string prompt;
};

/// A fake engine. By default it answers every completion at once with the tokens of
/// expectedToken().
class fake_engine
{
public:
    explicit fake_engine(asio::io_context &context);

    core::socket_address address() const { return m_server.address(); }
    fake_server &server() { return m_server; }

    /// Replaces the default answer.
    std::function<void(const engine_call &)> onCompletion;
    std::uint32_t tokensPerAnswer = 8;
    std::string loadState = "live";
    std::uint64_t incarnation = 1;

    const std::vector<engine_call> &calls() const { return m_calls; }
    const std::vector<std::string> &cancelled() const { return m_cancelled; }

    /// One event of a stream, as a chunk.
    static std::string event(const engine_call &call, std::uint32_t index, bool last,
                             const std::string &generation = "g1");
    static std::string done();
    static std::string expectedToken(const std::string &prompt, std::uint32_t index);
    static std::string expectedAnswer(const std::string &prompt, std::uint32_t tokens);

    /// Sends the tokens from one index to the end, without the head.
    void sendRest(const engine_call &call, std::uint32_t from) const;

private:
    void handle(const std::shared_ptr<fake_connection> &connection,
                const http::caller_request &request);

    std::vector<engine_call> m_calls;
    std::vector<std::string> m_cancelled;
    fake_server m_server;
};

} // namespace quetzalcleat::tests
