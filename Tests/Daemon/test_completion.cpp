#include "daemon_fixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalcleat::tests {

using completion_test = daemon_fixture;

// Guards against a break anywhere on the path from the caller to the engine and back.
TEST_F(completion_test, StreamsAnAnswer)
{
    auto &engine = addEngine();
    startDaemon();
    const auto answer = complete("hello", true, {{"X-Request-Id", "r-1"}});
    await(*answer);
    EXPECT_FALSE(answer->error);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->header("X-Request-Id"), "r-1");
    EXPECT_EQ(answer->streamedText(), fake_engine::expectedAnswer("hello", engine.tokensPerAnswer));
    EXPECT_TRUE(answer->hasDone());
}

// Guards against an answer that is put together wrongly when a caller asks for no stream.
TEST_F(completion_test, AnswersWhole)
{
    auto &engine = addEngine();
    startDaemon();
    const auto answer = complete("hello", false);
    await(*answer);
    const auto content = nlohmann::json::parse(answer->body);
    EXPECT_EQ(content["text"], fake_engine::expectedAnswer("hello", engine.tokensPerAnswer));
    EXPECT_EQ(content["finish_reason"], "stop");
    EXPECT_EQ(content["request_id"], answer->header("X-Request-Id"));
}

// Guards against answers that are swapped, cut or doubled when many are under way at once, also
// under request ids that the callers have made equal.
TEST_F(completion_test, KeepsManyConcurrentAnswersApart)
{
    constexpr int requests = 300;
    addEngine().tokensPerAnswer = 40;
    addEngine().tokensPerAnswer = 40;
    startDaemon();
    std::vector<std::shared_ptr<caller_answer>> answers;
    answers.reserve(requests);
    for (int number = 0; number < requests; ++number)
        answers.push_back(complete("p" + std::to_string(number), number % 3 != 0,
                                   {{"X-Request-Id", number % 2 == 0 ? "same" : "other"}}));
    await([&] { return std::ranges::all_of(answers, [](auto &answer) { return answer->ended; }); });
    for (int number = 0; number < requests; ++number) {
        const auto &answer = *answers[number];
        const auto expected = fake_engine::expectedAnswer("p" + std::to_string(number), 40);
        EXPECT_FALSE(answer.error);
        if (number % 3 != 0) {
            EXPECT_EQ(answer.streamedText(), expected);
            EXPECT_TRUE(answer.hasDone());
        } else {
            EXPECT_EQ(nlohmann::json::parse(answer.body)["text"], expected);
        }
    }
}

/// How an engine fails in the middle of an answer.
struct stream_fault
{
    std::string name;
    std::function<void(const fake_engine &, const engine_call &)> act;
    bool afterFirstToken = true;
};

std::vector<stream_fault> streamFaults()
{
    const auto begin = [](const engine_call &call, std::uint32_t tokens) {
        call.connection->send(chunkedHead(200));
        for (std::uint32_t index = 0; index < tokens; ++index)
            call.connection->send(fake_engine::event(call, index, false));
    };
    return {
        {"closes before the head", [](auto &, auto &call) { call.connection->close(); }, false},
        {"answers 500", [](auto &, auto &call) { call.connection->send(wholeAnswer(500, "{}")); },
         false},
        {"answers 429", [](auto &, auto &call) { call.connection->send(wholeAnswer(429, "{}")); },
         false},
        {"closes after the head",
         [](auto &, auto &call) {
             call.connection->send(chunkedHead(200));
             call.connection->close();
         },
         false},
        {"ends the body before the first token",
         [](auto &, auto &call) { call.connection->send(chunkedHead(200) + lastChunk()); }, false},
        {"sends a token of another request first",
         [](auto &, auto &call) {
             auto other = call;
             other.requestId = "other";
             call.connection->send(chunkedHead(200) + fake_engine::event(other, 0, false));
         },
         false},
        {"starts with the second token",
         [](auto &, auto &call) {
             call.connection->send(chunkedHead(200) + fake_engine::event(call, 1, false));
         },
         false},
        {"sends no JSON",
         [](auto &, auto &call) {
             call.connection->send(chunkedHead(200) + chunk("data: nonsense\n\n"));
         },
         false},
        {"sends an endless event",
         [](auto &, auto &call) {
             call.connection->send(chunkedHead(200) + chunk("data: " + std::string(9000, 'x')));
         },
         false},
        {"closes after two tokens",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->close();
         }},
        {"ends the body after two tokens",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(lastChunk());
         }},
        {"says done after two tokens without a finish reason",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(fake_engine::done() + lastChunk());
         }},
        {"skips a token",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(fake_engine::event(call, 3, false));
         }},
        {"repeats a token",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(fake_engine::event(call, 1, false));
         }},
        {"changes the generation",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(fake_engine::event(call, 2, false, "g2"));
         }},
        {"goes on with another request",
         [begin](auto &, auto &call) {
             begin(call, 2);
             auto other = call;
             other.requestId = "other";
             call.connection->send(fake_engine::event(other, 2, false));
         }},
        {"closes after the last token",
         [begin](auto &, auto &call) {
             begin(call, 2);
             call.connection->send(fake_engine::event(call, 2, true));
             call.connection->close();
         }},
    };
}

// Guards against a broken answer that looks complete, against two generations in one answer, and
// against a failed attempt before the first byte that reaches the caller.
TEST_F(completion_test, SurvivesAnEngineThatFailsAtAnyStep)
{
    auto &engine = addEngine();
    startDaemon();
    for (const auto &fault : streamFaults()) {
        SCOPED_TRACE(fault.name);
        bool failed = false;
        engine.onCompletion = [&](const engine_call &call) {
            if (std::exchange(failed, true)) {
                call.connection->send(chunkedHead(200));
                engine.sendRest(call, 0);
            } else {
                fault.act(engine, call);
            }
        };
        const auto answer = complete("q", true);
        await(*answer);
        EXPECT_EQ(answer->head.status, 200);
        if (fault.afterFirstToken) {
            EXPECT_FALSE(answer->hasDone());
            EXPECT_NE(answer->body.find("stream_broken"), std::string::npos) << answer->body;
            EXPECT_FALSE(answer->error);
        } else {
            EXPECT_TRUE(answer->hasDone());
            EXPECT_EQ(answer->streamedText(),
                      fake_engine::expectedAnswer("q", engine.tokensPerAnswer));
        }
    }
}

// Guards against a whole answer that is given up although no byte of it had reached the caller.
TEST_F(completion_test, RepeatsAWholeAnswerAfterAnyFault)
{
    auto &engine = addEngine();
    startDaemon();
    for (const auto &fault : streamFaults()) {
        SCOPED_TRACE(fault.name);
        bool failed = false;
        engine.onCompletion = [&](const engine_call &call) {
            if (std::exchange(failed, true)) {
                call.connection->send(chunkedHead(200));
                engine.sendRest(call, 0);
            } else {
                fault.act(engine, call);
            }
        };
        const auto answer = complete("q", false);
        await(*answer);
        EXPECT_EQ(answer->head.status, 200);
        EXPECT_EQ(nlohmann::json::parse(answer->body)["text"],
                  fake_engine::expectedAnswer("q", engine.tokensPerAnswer));
    }
}

// Guards against an answer without an outcome when no attempt succeeds.
TEST_F(completion_test, GivesUpWithATypedError)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) { call.connection->close(); };
    startDaemon();
    const auto answer = complete("q", true);
    await(*answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(answer->errorField("type"), "endpoint_failed");
    EXPECT_EQ(answer->errorField("outcome"), "unknown");
    EXPECT_EQ(answer->errorField("retryable"), "true");
    EXPECT_EQ(answer->errorField("request_id"), answer->header("X-Request-Id"));
}

// Guards against a request that the engine finds invalid being repeated or called retryable.
TEST_F(completion_test, PassesOnThatARequestIsInvalid)
{
    auto &engine = addEngine();
    engine.onCompletion
        = [](const engine_call &call) { call.connection->send(wholeAnswer(422, "{}")); };
    startDaemon();
    const auto answer = complete("q", true);
    await(*answer);
    EXPECT_EQ(answer->head.status, 400);
    EXPECT_EQ(answer->errorField("type"), "endpoint_rejected");
    EXPECT_EQ(answer->errorField("outcome"), "not_run");
    EXPECT_EQ(engine.calls().size(), 1U);
}

// Guards against an engine that goes on generating for a caller who has gone.
TEST_F(completion_test, CancelsAtTheEngineWhenTheCallerGoes)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    startDaemon();
    const auto answer = complete("q", true);
    await([&] { return !answer->body.empty(); });
    answer->transfer->cancel();
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled().front(), engine.calls().front().requestId);
}

// Guards against a stream that hangs on a connection that has gone silent.
TEST_F(completion_test, EndsAStreamOnASilentConnection)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.sessions.engine.progress = std::chrono::milliseconds(50);
    startDaemon();
    const auto answer = complete("q", true);
    await(*answer);
    EXPECT_FALSE(answer->hasDone());
    EXPECT_NE(answer->body.find("stream_broken"), std::string::npos);
    EXPECT_FALSE(answer->error);
    await([&] { return !engine.cancelled().empty(); });
}

// Guards against unbounded memory for a caller that reads slowly: the engine must be held back.
TEST_F(completion_test, HoldsTheEngineBackForASlowCaller)
{
    constexpr std::uint32_t events = 4000;
    auto &engine = addEngine();
    const std::string prompt(1000, 'p'); // Makes each event about 1 KB.
    std::uint32_t sent = 0;
    std::function<void(const engine_call &)> sendMore = [&](const engine_call &call) {
        if (sent == events)
            return;
        call.connection->sendThen(fake_engine::event(call, sent++, false),
                                  [&, call] { sendMore(call); });
    };
    engine.onCompletion = [&](const engine_call &call) {
        call.connection->send(chunkedHead(200));
        sendMore(call);
    };
    startDaemon();
    const auto answer = complete(prompt, true);
    answer->transfer->pause();
    // The kernel's buffers on both connections take some megabytes at most; after that the engine
    // must not get rid of more.
    std::uint32_t before = 0;
    const auto stands = [&] {
        const bool same = sent == before && sent > 0;
        before = sent;
        return same;
    };
    await([&] { return sent == events || stands(); });
    const auto whileSlow = sent;
    answer->transfer->resume();
    await([&] { return sent == events; });
    EXPECT_GT(whileSlow, 0U);
    engine.server().connections().front()->close();
    for (const auto &call : engine.calls())
        call.connection->close();
    await(*answer);
    EXPECT_EQ(answer->streamedText(), fake_engine::expectedAnswer(prompt, events));
}

// Guards against a resume that splices generations, and against a resume where none is possible.
TEST_F(completion_test, ResumesOnlyTheSameGeneration)
{
    auto &engine = addEngine(true);
    engine.onCompletion = [&](const engine_call &call) {
        call.connection->send(chunkedHead(200));
        if (!call.resumeFrom.empty()) {
            EXPECT_EQ(call.generationId, "g1");
            engine.sendRest(call, static_cast<std::uint32_t>(std::stoul(call.resumeFrom)));
            return;
        }
        call.connection->send(fake_engine::event(call, 0, false)
                              + fake_engine::event(call, 1, false));
        call.connection->close();
    };
    startDaemon();
    const auto answer = complete("q", true);
    await(*answer);
    const bool resumed = engine.calls().size() > 1;
    if (resumed) {
        EXPECT_EQ(engine.calls().back().resumeFrom, "2");
        EXPECT_EQ(answer->streamedText(), fake_engine::expectedAnswer("q", engine.tokensPerAnswer));
        EXPECT_TRUE(answer->hasDone());
    } else {
        EXPECT_NE(answer->body.find("stream_broken"), std::string::npos);
    }
}

/// A request that must be refused, and the refusal.
struct bad_request
{
    std::string name;
    std::string body;
    http::header_list headers;
    int status;
    std::string type;
};

// Guards against malformed bodies and headers that crash the daemon, reach an engine, or get an
// answer without a type.
TEST_F(completion_test, RefusesMalformedRequests)
{
    auto &engine = addEngine();
    startDaemon();
    const std::string good = R"({"model":"m1","prompt":"x"})";
    const std::vector<bad_request> table{
        {"empty body", "", {}, 400, "invalid_request"},
        {"no JSON", "{", {}, 400, "invalid_request"},
        {"a list", "[]", {}, 400, "invalid_request"},
        {"deep nesting", std::string(100000, '['), {}, 400, "invalid_request"},
        {"invalid UTF-8", "{\"model\":\"m1\",\"prompt\":\"\xff\"}", {}, 400, "invalid_request"},
        {"no model", R"({"prompt":"x"})", {}, 400, "invalid_request"},
        {"model of a wrong type", R"({"model":1,"prompt":"x"})", {}, 400, "invalid_request"},
        {"no prompt", R"({"model":"m1"})", {}, 400, "invalid_request"},
        {"prompt of a wrong type", R"({"model":"m1","prompt":[1]})", {}, 400, "invalid_request"},
        {"stream of a wrong type",
         R"({"model":"m1","prompt":"x","stream":"yes"})",
         {},
         400,
         "invalid_request"},
        {"no tokens", R"({"model":"m1","prompt":"x","max_tokens":0})", {}, 400, "invalid_request"},
        {"negative tokens",
         R"({"model":"m1","prompt":"x","max_tokens":-1})",
         {},
         400,
         "invalid_request"},
        {"too many tokens",
         R"({"model":"m1","prompt":"x","max_tokens":99999999999})",
         {},
         400,
         "invalid_request"},
        {"unknown model", R"({"model":"m9","prompt":"x"})", {}, 503, "no_endpoint"},
        {"unknown class", good, {{"X-Request-Class", "none"}}, 400, "unknown_class"},
        {"request id with a space", good, {{"X-Request-Id", "a b"}}, 400, "invalid_request"},
        {"request id too long",
         good,
         {{"X-Request-Id", std::string(200, 'a')}},
         400,
         "invalid_request"},
        {"two request ids",
         good,
         {{"X-Request-Id", "a"}, {"X-Request-Id", "b"}},
         400,
         "invalid_request"},
        {"key with a space", good, {{"Idempotency-Key", "a b"}}, 400, "invalid_request"},
        {"key too long",
         good,
         {{"Idempotency-Key", std::string(300, 'k')}},
         400,
         "invalid_request"},
        {"wrong token", good, {{"Authorization", "Bearer wrong"}}, 401, "unauthorized"},
        {"no scheme", good, {{"Authorization", "token-of-caller-one"}}, 401, "unauthorized"},
        {"empty token", good, {{"Authorization", "Bearer "}}, 401, "unauthorized"},
        {"body too large",
         R"({"model":"m1","prompt":")" + std::string(http::maximumRequestBytes, 'x') + "\"}",
         {},
         413,
         "request_too_large"},
    };
    for (const auto &request : table) {
        SCOPED_TRACE(request.name);
        const auto answer = send("POST", "/v1/completions", request.body, request.headers);
        await(*answer);
        EXPECT_EQ(answer->head.status, request.status);
        EXPECT_EQ(answer->errorField("type"), request.type);
        EXPECT_FALSE(answer->header("X-Request-Id").empty());
        const bool keyed = request.name.starts_with("key");
        EXPECT_EQ(answer->errorField("outcome"), keyed ? "undecided" : "not_run");
    }
    EXPECT_TRUE(engine.calls().empty());
}

} // namespace quetzalcleat::tests
