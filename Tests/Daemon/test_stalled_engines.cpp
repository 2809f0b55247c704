#include "daemon_fixture.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::tests {

using stalled_engine_test = daemon_fixture;

// Guards against an engine that generates the same response twice, because the attempt that another
// one replaced was never cancelled; and against a cancellation before the other one has begun, as
// it could end the generation that is to be resumed.
TEST_F(stalled_engine_test, ReplacedAttemptIsCancelledOnceTheNextOneHasBegun)
{
    auto &engine = addEngine(true);
    std::vector<std::string> cancelledBefore;
    engine.onCompletion = [&](const engine_call &call) {
        call.connection->send(chunkedHead(200));
        if (!call.resumeFrom.empty()) {
            cancelledBefore = engine.cancelled();
            engine.sendRest(call, static_cast<std::uint32_t>(std::stoul(call.resumeFrom)));
            return;
        }
        // Two tokens, then nothing more.
        call.connection->send(fake_engine::event(call, 0, false)
                              + fake_engine::event(call, 1, false));
    };
    m_options.sessions.engine.progress = std::chrono::milliseconds(50);
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    EXPECT_EQ(response->streamedText(), fake_engine::expectedText("q", engine.tokensPerCompletion));
    EXPECT_TRUE(response->endsWithDone());
    ASSERT_EQ(engine.calls().size(), 2U);
    EXPECT_TRUE(cancelledBefore.empty());
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled(), std::vector<std::string>{engine.calls().front().requestId});
}

// Guards against a replaced attempt that goes on after the last attempt has failed too.
TEST_F(stalled_engine_test, ReplacedAttemptIsCancelledIfTheNextOneFails)
{
    auto &engine = addEngine(true);
    engine.onCompletion = [&](const engine_call &call) {
        if (!call.resumeFrom.empty()) {
            call.connection->send(completeResponse(409, "{}"));
            return;
        }
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.sessions.engine.progress = std::chrono::milliseconds(50);
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    EXPECT_FALSE(response->endsWithDone());
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled(), std::vector<std::string>{engine.calls().front().requestId});
}

// Guards against a stream without end from an engine that sends bytes now and then, but no token.
TEST_F(stalled_engine_test, BytesWithoutTokensAreNoProgress)
{
    constexpr std::chrono::milliseconds pause{20};
    constexpr int generousChunks = 100; // They take ten times as long as the engine may pause.
    auto &engine = addEngine();
    m_options.sessions.engine.progress = std::chrono::milliseconds(200);
    for (const std::string bytes : {": still here\n\n", "x"}) {
        for (const std::uint32_t tokens : {0U, 2U}) {
            SCOPED_TRACE(bytes + " after " + std::to_string(tokens) + " tokens");
            m_options.sessions.engine.firstByte
                = std::chrono::milliseconds(tokens == 0 ? 200 : 9000);
            startDaemon();
            std::shared_ptr<fake_connection> connection;
            engine.onCompletion = [&](const engine_call &call) {
                if (connection)
                    return; // A second attempt waits until its time has passed.
                connection = call.connection;
                connection->send(chunkedHead(200));
                for (std::uint32_t index = 0; index < tokens; ++index)
                    connection->send(fake_engine::event(call, index, false));
                connection->sendSlowly(chunk(bytes), pause, generousChunks);
            };
            const auto response = complete("q", true);
            await([&] {
                return connection
                    && (connection->isClosed() || connection->slowTimes() == generousChunks);
            });
            EXPECT_LT(connection->slowTimes(), generousChunks);
            if (connection->slowTimes() == generousChunks)
                continue;
            await(*response);
            EXPECT_FALSE(response->endsWithDone());
        }
    }
}

// Guards against the opposite: a slow stream that is cut although its tokens arrive.
TEST_F(stalled_engine_test, SlowTokensAreProgress)
{
    constexpr std::chrono::milliseconds pause{60};
    auto &engine = addEngine();
    m_options.sessions.engine.progress = std::chrono::milliseconds(300);
    startDaemon();
    asio::steady_timer timer(m_context);
    std::optional<engine_call> call;
    std::uint32_t next = 0;
    const std::function<void(std::error_code)> sendToken = [&](std::error_code error) {
        if (error || next == engine.tokensPerCompletion)
            return;
        const bool last = ++next == engine.tokensPerCompletion;
        call->connection->send(fake_engine::event(*call, next - 1, last));
        if (last)
            call->connection->send(fake_engine::done() + lastChunk());
        timer.expires_after(pause);
        timer.async_wait(sendToken);
    };
    engine.onCompletion = [&](const engine_call &received) {
        call = received;
        received.connection->send(chunkedHead(200));
        sendToken({});
    };
    const auto response = complete("q", true);
    await(*response);
    EXPECT_TRUE(response->endsWithDone());
    EXPECT_EQ(engine.calls().size(), 1U);
    timer.cancel();
}

} // namespace quetzalcleat::tests
