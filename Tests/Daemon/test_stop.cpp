#include "daemon_fixture.h"

#include <algorithm>

namespace quetzalcleat::tests {

using stop_test = daemon_fixture;

// Guards against a graceful stop that cuts off a stream, refuses callers before the balancer has
// noticed, or never ends.
TEST_F(stop_test, CompletesAHundredStreams)
{
    constexpr std::size_t streams = 100;
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(200);
    m_options.idleCloseTime = std::chrono::milliseconds(50);
    startDaemon();
    std::vector<std::shared_ptr<caller_response>> responses;
    responses.reserve(streams + 1);
    for (std::size_t number = 0; number < streams; ++number)
        responses.push_back(complete("p" + std::to_string(number), true));
    await([&] {
        return std::ranges::all_of(responses,
                                   [](auto &response) { return !response->body.empty(); });
    });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    const auto health = send("GET", "/healthz", "");
    responses.push_back(complete("late", true));
    await(*health);
    EXPECT_EQ(health->head.status, 503);
    EXPECT_EQ(health->body, R"({"status":"leaving"})");
    m_daemon->skipIdleWait();
    await([&] { return engine.calls().size() == streams + 1; });
    // The listener closes at the end of the notice time, while the streams are still open.
    await([&] { return !responses.back()->body.empty(); });
    EXPECT_FALSE(stopped);
    for (const auto &call : engine.calls())
        engine.sendRest(call, 1);
    await([&] { return stopped.has_value(); });
    EXPECT_TRUE(*stopped);
    await([&] {
        return std::ranges::all_of(responses, [](auto &response) { return response->ended; });
    });
    for (std::size_t number = 0; number <= streams; ++number) {
        const auto prompt = number < streams ? "p" + std::to_string(number) : std::string("late");
        EXPECT_FALSE(responses[number]->error);
        EXPECT_TRUE(responses[number]->endsWithDone());
        EXPECT_EQ(responses[number]->streamedText(),
                  fake_engine::expectedText(prompt, engine.tokensPerCompletion));
    }
}

// Guards against a stop that waits forever for a stream that does not end.
TEST_F(stop_test, GivesUpAfterTheGraceTime)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(1);
    m_options.stopGraceTime = std::chrono::milliseconds(50);
    startDaemon();
    const auto response = complete("p", true);
    await([&] { return !response->body.empty(); });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    await([&] { return stopped.has_value(); });
    EXPECT_FALSE(*stopped);
}

} // namespace quetzalcleat::tests
