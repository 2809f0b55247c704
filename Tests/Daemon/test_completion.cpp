#include "daemon_fixture.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalcleat::tests {

using completion_test = daemon_fixture;

// Guards against a failure anywhere on the path from the caller to the engine and back.
TEST_F(completion_test, StreamsAResponse)
{
    auto &engine = addEngine();
    startDaemon();
    const auto response = complete("hello", true, {{"X-Request-Id", "r-1"}});
    await(*response);
    EXPECT_FALSE(response->error);
    EXPECT_EQ(response->head.status, 200);
    EXPECT_EQ(response->header("X-Request-Id"), "r-1");
    EXPECT_EQ(response->streamedText(),
              fake_engine::expectedText("hello", engine.tokensPerCompletion));
    EXPECT_TRUE(response->endsWithDone());
}

// Guards against a response that is assembled wrongly if the caller does not ask for a stream.
TEST_F(completion_test, CollectsTheStreamIntoOneResponse)
{
    auto &engine = addEngine();
    startDaemon();
    const auto response = complete("hello", false);
    await(*response);
    const auto content = nlohmann::json::parse(response->body);
    EXPECT_EQ(content["text"], fake_engine::expectedText("hello", engine.tokensPerCompletion));
    EXPECT_EQ(content["finish_reason"], "stop");
    EXPECT_EQ(content["request_id"], response->header("X-Request-Id"));
}

// Guards against responses that are swapped, truncated or duplicated when many are in flight, even
// if callers use the same request id.
TEST_F(completion_test, DoesNotMixConcurrentResponses)
{
    constexpr int requests = 300;
    addEngine().tokensPerCompletion = 40;
    addEngine().tokensPerCompletion = 40;
    startDaemon();
    std::vector<std::shared_ptr<caller_response>> responses;
    responses.reserve(requests);
    for (int number = 0; number < requests; ++number)
        responses.push_back(complete("p" + std::to_string(number), number % 3 != 0,
                                     {{"X-Request-Id", number % 2 == 0 ? "same" : "other"}}));
    await([&] {
        return std::ranges::all_of(responses, [](auto &response) { return response->ended; });
    });
    for (int number = 0; number < requests; ++number) {
        const auto &response = *responses[number];
        const auto expected = fake_engine::expectedText("p" + std::to_string(number), 40);
        EXPECT_FALSE(response.error);
        if (number % 3 != 0) {
            EXPECT_EQ(response.streamedText(), expected);
            EXPECT_TRUE(response.endsWithDone());
        } else {
            EXPECT_EQ(nlohmann::json::parse(response.body)["text"], expected);
        }
    }
}

/// A way in which an engine fails to complete a response.
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
        {"responds with 500",
         [](auto &, auto &call) { call.connection->send(completeResponse(500, "{}")); }, false},
        {"responds with 429",
         [](auto &, auto &call) { call.connection->send(completeResponse(429, "{}")); }, false},
        {"responds with status 000",
         [](auto &, auto &call) {
             call.connection->send("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}");
         },
         false},
        {"responds with a blank in the name of a field",
         [](auto &, auto &call) {
             auto answer = chunkedHead(200) + fake_engine::event(call, 0, false);
             call.connection->send(answer.insert(answer.find("\r\n") + 2, "X Broken: 1\r\n"));
         },
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

// Guards against a broken response that looks complete, against two generations in one response,
// and against an attempt that fails before the first byte and is visible to the caller.
TEST_F(completion_test, HandlesAnEngineThatFailsAtAnyStep)
{
    auto &engine = addEngine();
    for (const auto &fault : streamFaults()) {
        SCOPED_TRACE(fault.name);
        // A new daemon for each fault, because many faults in a row exhaust the retry budget.
        startDaemon();
        bool failed = false;
        engine.onCompletion = [&](const engine_call &call) {
            if (std::exchange(failed, true)) {
                call.connection->send(chunkedHead(200));
                engine.sendRest(call, 0);
            } else {
                fault.act(engine, call);
            }
        };
        const auto response = complete("q", true);
        await(*response);
        EXPECT_EQ(response->head.status, 200);
        if (fault.afterFirstToken) {
            EXPECT_FALSE(response->endsWithDone());
            EXPECT_NE(response->body.find("stream_broken"), std::string::npos) << response->body;
            EXPECT_FALSE(response->error);
        } else {
            EXPECT_TRUE(response->endsWithDone());
            EXPECT_EQ(response->streamedText(),
                      fake_engine::expectedText("q", engine.tokensPerCompletion));
        }
    }
}

// Guards against giving up on a response of which the caller has not received any byte.
TEST_F(completion_test, RetriesAfterAnyFaultWithoutStreaming)
{
    auto &engine = addEngine();
    for (const auto &fault : streamFaults()) {
        SCOPED_TRACE(fault.name);
        // A new daemon for each fault, because many faults in a row exhaust the retry budget.
        startDaemon();
        bool failed = false;
        engine.onCompletion = [&](const engine_call &call) {
            if (std::exchange(failed, true)) {
                call.connection->send(chunkedHead(200));
                engine.sendRest(call, 0);
            } else {
                fault.act(engine, call);
            }
        };
        const auto response = complete("q", false);
        await(*response);
        EXPECT_EQ(response->head.status, 200);
        EXPECT_EQ(nlohmann::json::parse(response->body)["text"],
                  fake_engine::expectedText("q", engine.tokensPerCompletion));
    }
}

// Guards against an error without an outcome if no attempt succeeds.
TEST_F(completion_test, GivesUpWithATypedError)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) { call.connection->close(); };
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    EXPECT_EQ(response->head.status, 502);
    EXPECT_EQ(response->errorField("type"), "endpoint_failed");
    EXPECT_EQ(response->errorField("outcome"), "unknown");
    EXPECT_EQ(response->errorField("retryable"), "true");
    EXPECT_EQ(response->errorField("request_id"), response->header("X-Request-Id"));
}

// Guards against a request that the engine rejects as invalid being retried or reported as
// retryable.
TEST_F(completion_test, DoesNotRetryARequestThatTheEngineRejects)
{
    auto &engine = addEngine();
    engine.onCompletion
        = [](const engine_call &call) { call.connection->send(completeResponse(422, "{}")); };
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    EXPECT_EQ(response->head.status, 400);
    EXPECT_EQ(response->errorField("type"), "endpoint_rejected");
    EXPECT_EQ(response->errorField("outcome"), "not_run");
    EXPECT_EQ(engine.calls().size(), 1U);
}

// Guards against an engine that continues to generate after the caller has disconnected.
TEST_F(completion_test, CancelsAtTheEngineWhenTheCallerGoes)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    startDaemon();
    const auto response = complete("q", true);
    await([&] { return !response->body.empty(); });
    response->transfer->cancel();
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled().front(), engine.calls().front().requestId);
}

// Guards against a stream that hangs on a connection that delivers nothing more.
TEST_F(completion_test, EndsAStalledStream)
{
    auto &engine = addEngine();
    engine.onCompletion = [](const engine_call &call) {
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
    };
    m_options.sessions.engine.progress = std::chrono::milliseconds(50);
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    EXPECT_FALSE(response->endsWithDone());
    EXPECT_NE(response->body.find("stream_broken"), std::string::npos);
    EXPECT_FALSE(response->error);
    await([&] { return !engine.cancelled().empty(); });
}

/// Records the response of a session and lets the test decide when the write of a chunk completes.
class manual_exchange final : public http::caller_exchange
{
public:
    explicit manual_exchange(http::caller_request request) : m_request(std::move(request)) { }

    const http::caller_request &request() const override { return m_request; }
    void releaseBody() override { }
    void respond(http::response_head head, std::string) override { m_status = head.status; }
    void startStream(http::response_head head) override { m_status = head.status; }
    void write(std::string chunk, written_callback written) override
    {
        EXPECT_FALSE(m_written) << "two chunks in flight at once";
        m_largestChunk = std::max(m_largestChunk, chunk.size());
        m_body += chunk;
        m_written = std::move(written);
    }
    void finishStream() override { m_finished = true; }
    void onDisconnect(std::function<void()>) override { }
    void onInterrupt(std::function<void()>) override { }

    bool completeWrite()
    {
        if (!m_written)
            return false;
        std::exchange(m_written, {})({});
        return true;
    }

    std::uint16_t m_status = 0;
    std::string m_body;
    std::size_t m_largestChunk = 0;
    bool m_finished = false;

private:
    http::caller_request m_request;
    written_callback m_written;
};

// Guards against unbounded memory for a caller that reads slowly, and against tokens that are lost
// while the transfer from the engine is paused.
TEST_F(completion_test, BuffersAtMost16KiBForASlowCaller)
{
    constexpr std::uint32_t events = 2000;
    auto &engine = addEngine();
    engine.tokensPerCompletion = events;
    const std::string prompt(500, 'p');
    startDaemon();
    core::logger log("test");
    daemon::dispatcher decisions(m_context, 1);
    decisions.start();
    auto parsed = inventory::parse(document(), "document");
    daemon::notice_recorder notices(decisions, m_counters, log);
    daemon::session_environment environment{
        m_context, m_client, decisions, notices, m_counters,
        log,       nullptr,  "h1",      1,       m_options.sessions};
    environment.routing = std::make_shared<const daemon::routing_table>(
        1, "", std::get<inventory::document>(std::move(parsed)));
    decisions.configure(environment.routing->document(), {"h1", "d1"});
    const auto exchange = std::make_shared<manual_exchange>(
        http::caller_request{"POST",
                             "/v1/completions",
                             "",
                             {{"Authorization", "Bearer token-of-caller-one"}},
                             R"({"model":"m1","stream":true,"prompt":")" + prompt + "\"}"});
    std::make_shared<daemon::completion_session>(environment, exchange, "r1")
        ->start(daemon::completion_kind::Text);
    while (!exchange->m_finished) {
        // Once the loop has no work left, everything that the engine can send while the caller
        // reads nothing has arrived.
        while (m_context.poll() > 0) { }
        if (!exchange->completeWrite()) {
            ASSERT_GT(m_context.run_one_for(std::chrono::minutes(1)), 0U);
        }
    }
    EXPECT_EQ(exchange->m_status, 200);
    EXPECT_LE(exchange->m_largestChunk, 16U * 1024U);
    EXPECT_GT(exchange->m_largestChunk, 1024U);
    caller_response response;
    response.head.headers = {{"X-Request-Id", "r1"}};
    response.body = exchange->m_body;
    EXPECT_EQ(response.streamedText(), fake_engine::expectedText(prompt, events));
    EXPECT_TRUE(response.endsWithDone());
    decisions.stop();
}

// Guards against keeping a stream open and an engine busy for a caller that has stopped reading.
TEST_F(completion_test, DisconnectsACallerThatStopsReading)
{
    auto &engine = addEngine();
    const std::string prompt(2000, 'p');
    std::uint32_t sent = 0;
    std::function<void(const engine_call &)> sendMore = [&](const engine_call &call) {
        call.connection->sendThen(fake_engine::event(call, sent++, false),
                                  [&, call] { sendMore(call); });
    };
    engine.onCompletion = [&](const engine_call &call) {
        call.connection->send(chunkedHead(200));
        sendMore(call);
    };
    m_options.callerProgressTimeout = std::chrono::milliseconds(100);
    startDaemon();
    const auto response = complete(prompt, true);
    response->transfer->pause();
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled().front(), engine.calls().front().requestId);
    engine.calls().front().connection->close();
}

// Guards against a resume that joins two generations, and against one where none is possible.
TEST_F(completion_test, ResumesOnlyTheSameGeneration)
{
    auto &engine = addEngine(true);
    engine.onCompletion = [&](const engine_call &call) {
        call.connection->send(chunkedHead(200));
        if (!call.resumeFrom.empty()) {
            EXPECT_EQ(call.generationId, fake_engine::generationId);
            engine.sendRest(call, static_cast<std::uint32_t>(std::stoul(call.resumeFrom)));
            return;
        }
        call.connection->send(fake_engine::event(call, 0, false)
                              + fake_engine::event(call, 1, false));
        call.connection->close();
    };
    startDaemon();
    const auto response = complete("q", true);
    await(*response);
    ASSERT_EQ(engine.calls().size(), 2U);
    EXPECT_EQ(engine.calls().back().resumeFrom, "2");
    // A late cancellation of the first attempt must not affect the second one.
    EXPECT_NE(engine.calls().back().requestId, engine.calls().front().requestId);
    EXPECT_EQ(response->streamedText(), fake_engine::expectedText("q", engine.tokensPerCompletion));
    EXPECT_TRUE(response->endsWithDone());
    await([&] { return !engine.cancelled().empty(); });
    EXPECT_EQ(engine.cancelled(), std::vector<std::string>{engine.calls().front().requestId});
}

/// A request that must be refused, and the expected error.
struct bad_request
{
    std::string name;
    std::string body;
    http::header_list headers;
    int status;
    std::string type;
};

// Guards against malformed bodies and headers that crash the daemon, reach an engine, or get an
// error without a type.
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
        const auto response = send("POST", "/v1/completions", request.body, request.headers);
        await(*response);
        EXPECT_EQ(response->head.status, request.status);
        EXPECT_EQ(response->errorField("type"), request.type);
        EXPECT_FALSE(response->header("X-Request-Id").empty());
        const bool keyed = request.name.starts_with("key");
        EXPECT_EQ(response->errorField("outcome"), keyed ? "undecided" : "not_run");
    }
    EXPECT_TRUE(engine.calls().empty());
}

// Guards against "not run" for a request that runs, because the engine writes an earlier refusal
// once more.
TEST_F(completion_test, RefusalWrittenOnceMoreRefusesNoOtherRequest)
{
    auto &engine = addEngine();
    std::string refusal;
    engine.onCompletion = [&](const engine_call &call) {
        if (refusal.empty())
            refusal = "HTTP/1.1 400 Status\r\nX-Request-Id: " + call.requestId
                + "\r\nContent-Length: 3\r\n\r\nbad";
        if (engine.calls().size() <= 2) {
            call.connection->send(refusal);
            return;
        }
        call.connection->send(chunkedHead(200));
        engine.sendRest(call, 0);
    };
    startDaemon();
    const auto first = complete("p", true);
    await(*first);
    EXPECT_EQ(first->errorField("type"), "endpoint_rejected");
    const auto second = complete("q", true);
    await(*second);
    ASSERT_GE(engine.calls().size(), 2U);
    EXPECT_EQ(engine.calls()[0].connection, engine.calls()[1].connection);
    EXPECT_TRUE(second->endsWithDone());
    EXPECT_EQ(second->streamedText(), fake_engine::expectedText("q", engine.tokensPerCompletion));
}

// Guards against an error of the next attempt within a stream that has begun, and against such a
// stream that ends as if it were whole.
TEST_F(completion_test, ErrorOfTheNextAttemptStaysOutOfTheStream)
{
    const std::string secret = "text of the error";
    const std::vector<std::string> errors{
        completeResponse(400, secret),
        completeResponse(500, secret),
        completeResponse(503, "data: " + secret + "\n\n"),
        completeResponse(200, "data: {\"error\":\"" + secret + "\"}\n\n"),
        completeResponse(200, "data: HTTP/1.1 500 " + secret + "\n\ndata: [DONE]\n\n"),
        completeResponse(200, secret + "\n\ndata: [DONE]\n\n")};
    auto &engine = addEngine(true);
    std::string error;
    engine.onCompletion = [&](const engine_call &call) {
        if (!call.resumeFrom.empty()) {
            call.connection->send(error);
            return;
        }
        call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, false));
        call.connection->close();
    };
    startDaemon();
    for (const auto &next : errors) {
        SCOPED_TRACE(next);
        error = next;
        const auto response = complete("p", true);
        await(*response);
        EXPECT_EQ(response->body.find(secret), std::string::npos) << response->body;
        EXPECT_EQ(response->body.find("HTTP/1.1"), std::string::npos) << response->body;
        EXPECT_FALSE(response->endsWithDone());
        EXPECT_NE(response->body.find("stream_broken"), std::string::npos) << response->body;
        EXPECT_NE(response->body.find(R"("outcome":"unknown")"), std::string::npos);
    }
}

// Guards against reading without end from an engine that goes on after the end of its stream, or
// whose error has no end.
TEST_F(completion_test, EndsResponsesWithoutEnd)
{
    constexpr std::size_t generousBytes = 32 * 1024 * 1024;
    const auto padding = chunk(": " + std::string(8000, 'x') + "\n\n");
    auto &engine = addEngine();
    engine.onCompletion = [&](const engine_call &call) {
        if (call.prompt == "refused") {
            call.connection->send(chunkedHead(400));
        } else {
            call.connection->send(chunkedHead(200) + fake_engine::event(call, 0, true)
                                  + fake_engine::done());
        }
        call.connection->sendEndlessly(padding, generousBytes);
    };
    startDaemon();
    const auto whole = complete("p", true);
    await(*whole);
    EXPECT_TRUE(whole->endsWithDone());
    const auto refused = complete("refused", true);
    await([&] {
        return engine.calls().size() == 2
            && std::ranges::all_of(engine.calls(), [](const engine_call &call) {
                   return call.connection->isClosed()
                       || call.connection->endlessBytes() >= generousBytes;
               });
    });
    for (const auto &call : engine.calls())
        EXPECT_LT(call.connection->endlessBytes(), generousBytes) << call.prompt;
    if (engine.calls()[1].connection->isClosed()) {
        await(*refused);
        EXPECT_EQ(refused->errorField("type"), "endpoint_rejected");
    }
}

} // namespace quetzalcleat::tests
