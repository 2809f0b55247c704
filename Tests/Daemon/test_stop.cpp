#include "daemon_fixture.h"

#include <algorithm>

namespace quetzalcleat::tests {

using stop_test = daemon_fixture;

// Guards against a planned stop that cuts a stream, turns callers away before the balancer has
// noticed, or never ends.
TEST_F(stop_test, CutsNoneOfAHundredStreams)
{
    constexpr std::size_t streams = 100;
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(200);
    m_options.idleCloseTime = std::chrono::milliseconds(50);
    startDaemon();
    std::vector<std::shared_ptr<caller_answer>> answers;
    answers.reserve(streams + 1);
    for (std::size_t number = 0; number < streams; ++number)
        answers.push_back(complete("p" + std::to_string(number), true));
    await([&] {
        return std::ranges::all_of(answers, [](auto &answer) { return !answer->body.empty(); });
    });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    const auto health = send("GET", "/healthz", "");
    answers.push_back(complete("late", true));
    await(*health);
    EXPECT_EQ(health->head.status, 503);
    EXPECT_EQ(health->body, R"({"status":"leaving"})");
    m_daemon->skipIdleWait();
    await([&] { return engine.calls().size() == streams + 1; });
    // The listener closes at the end of the notice time; the streams are still open then.
    await([&] { return !answers.back()->body.empty(); });
    EXPECT_FALSE(stopped);
    for (const auto &call : engine.calls())
        engine.sendRest(call, 1);
    await([&] { return stopped.has_value(); });
    EXPECT_TRUE(*stopped);
    await([&] { return std::ranges::all_of(answers, [](auto &answer) { return answer->ended; }); });
    for (std::size_t number = 0; number <= streams; ++number) {
        const auto prompt = number < streams ? "p" + std::to_string(number) : std::string("late");
        EXPECT_FALSE(answers[number]->error);
        EXPECT_TRUE(answers[number]->hasDone());
        EXPECT_EQ(answers[number]->streamedText(),
                  fake_engine::expectedAnswer(prompt, engine.tokensPerAnswer));
    }
}

// Guards against a stop that hangs for ever on a stream that does not end.
TEST_F(stop_test, GivesUpAfterTheGraceTime)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.balancerNoticeTime = std::chrono::milliseconds(1);
    m_options.stopGraceTime = std::chrono::milliseconds(50);
    startDaemon();
    const auto answer = complete("p", true);
    await([&] { return !answer->body.empty(); });
    std::optional<bool> stopped;
    m_daemon->beginStop([&](bool complete) { stopped = complete; });
    await([&] { return stopped.has_value(); });
    EXPECT_FALSE(*stopped);
}

} // namespace quetzalcleat::tests
