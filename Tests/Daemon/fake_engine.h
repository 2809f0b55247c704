#pragma once

#include "fake_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::tests {

/// A completion request that an engine received.
struct engine_call
{
    std::shared_ptr<fake_connection> connection;
    std::string requestId;
    std::string priority;
    std::string resumeFrom; ///< X-Resume-From, or empty.
    std::string generationId; ///< X-Generation-Id, or empty.
    std::string prompt;
};

/// A fake engine. By default it responds to every completion immediately with the tokens of
/// expectedToken().
class fake_engine
{
public:
    explicit fake_engine(asio::io_context &context);

    core::socket_address address() const { return m_server.address(); }
    fake_server &server() { return m_server; }

    /// Replaces the default response.
    std::function<void(const engine_call &)> onCompletion;
    std::uint32_t tokensPerCompletion = 8;
    std::string loadState = "live";
    std::uint64_t incarnation = 1;

    const std::vector<engine_call> &calls() const { return m_calls; }
    const std::vector<std::string> &cancelled() const { return m_cancelled; }

    /// Too long for the small string optimisation, like the ids of real engines.
    inline static const std::string generationId = "generation-of-the-first-attempt";

    /// An event of a stream, as an HTTP chunk.
    static std::string event(const engine_call &call, std::uint32_t index, bool last,
                             const std::string &generation = generationId);
    static std::string done();
    static std::string expectedToken(const std::string &prompt, std::uint32_t index);
    static std::string expectedText(const std::string &prompt, std::uint32_t tokens);

    /// Sends the tokens from an index to the end, without the response head.
    void sendRest(const engine_call &call, std::uint32_t from) const;

private:
    void handle(const std::shared_ptr<fake_connection> &connection,
                const http::caller_request &request);

    std::vector<engine_call> m_calls;
    std::vector<std::string> m_cancelled;
    fake_server m_server;
};

} // namespace quetzalcleat::tests
