#include "daemon_fixture.h"

#include "LibHttp/http_error.h"

#include <array>
#include <functional>
#include <optional>

namespace quetzalcleat::tests {

namespace {

constexpr const char *leavingHeader = "Endpoint-Leaving: 1\r\n";

std::string idOf(const http::caller_request &request)
{
    return std::string(http::findHeader(request.headers, "X-Request-Id").value_or(""));
}

std::string namedHead(const std::string &status, const std::string &id, const std::string &headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + headers;
}

std::string answer(const std::string &id, const std::string &headers = {},
                   const std::string &status = "200 OK")
{
    return namedHead(status, id, headers) + "Content-Length: 4\r\n\r\ndone";
}

std::string refusal(const std::string &id, const std::string &wait)
{
    return answer(id, "Retry-After: " + wait + "\r\n", "503 Unavailable");
}

} // namespace

/// Two endpoints of one service. The test answers for the one that is called first; the other one
/// answers every call.
class notice_test : public daemon_fixture
{
protected:
    notice_test()
        : m_second(m_context, [this](const auto &connection, const auto &request) {
              respond(1, connection, request);
          })
    {
        m_onServiceCall = [this](const auto &connection, const auto &request) {
            respond(0, connection, request);
        };
    }

    void startWithTwo()
    {
        m_extraRules += "[[endpoint]]\nname = \"s1\"\nkind = \"service\"\ndata_centre = \"d1\"\n"
                        "address = \""
            + m_second.address().text()
            + "\"\nservice = \"booking\"\ncapacity = 1000\n[[endpoint.non_repeatable]]\n"
              "method = \"POST\"\npath_prefix = \"/orders\"\n";
        startDaemon();
    }

    std::shared_ptr<caller_response> call(http::header_list headers = {})
    {
        return send("GET", "/services/booking/state", "", std::move(headers));
    }

    std::vector<std::shared_ptr<caller_response>> callFiveTimes(const http::header_list &headers
                                                                = {})
    {
        constexpr std::size_t parallelCalls = 5;
        std::vector<std::shared_ptr<caller_response>> calls;
        calls.reserve(parallelCalls);
        while (calls.size() < parallelCalls)
            calls.push_back(call(headers));
        return calls;
    }

    void awaitAll(const std::vector<std::shared_ptr<caller_response>> &calls, int status = 200)
    {
        for (const auto &entry : calls) {
            await(*entry);
            EXPECT_EQ(entry->head.status, status);
        }
    }

    std::size_t toFirst() const { return m_first ? m_calls.at(*m_first) : 0; }
    std::size_t toOther() const { return m_first ? m_calls.at(1 - *m_first) : 0; }

    /// Takes the requests to the endpoint that got the first one.
    fake_connection::request_handler m_onFirst;
    core::instant m_lastToFirst;
    std::optional<std::size_t> m_first;
    std::array<std::size_t, 2> m_calls{};
    fake_server m_second;

private:
    void respond(std::size_t index, const std::shared_ptr<fake_connection> &connection,
                 const http::caller_request &request)
    {
        m_first = m_first.value_or(index);
        ++m_calls.at(index);
        if (index == *m_first) {
            m_lastToFirst = std::chrono::steady_clock::now();
            m_onFirst(connection, request);
        } else {
            connection->send(answer(idOf(request)));
        }
    }
};

struct leaving_case
{
    std::string name;
    std::function<std::string(const std::string &id)> response;
};

class leaving_test : public notice_test, public ::testing::WithParamInterface<leaving_case>
{
};

// Guards against new requests for a service that said in an answer that it leaves.
TEST_P(leaving_test, NewRequestsGoElsewhere)
{
    m_onFirst = [this](const auto &connection, const auto &request) {
        connection->send(toFirst() == 1 ? GetParam().response(idOf(request))
                                        : answer(idOf(request)));
    };
    startWithTwo();
    await(*call());
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 1U);
    EXPECT_EQ(toOther(), 5U);
    EXPECT_EQ(m_counters.counter("quetzalcleat_endpoints_leaving_total", "source=\"answer\""), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    notices, leaving_test,
    ::testing::Values(
        leaving_case{"success", [](const auto &id) { return answer(id, leavingHeader); }},
        leaving_case{"refusal",
                     [](const auto &id) { return answer(id, leavingHeader, "503 Unavailable"); }},
        leaving_case{"error",
                     [](const auto &id) { return answer(id, leavingHeader, "500 Failed"); }},
        leaving_case{"not_found",
                     [](const auto &id) { return answer(id, leavingHeader, "404 Not Found"); }},
        leaving_case{"interim",
                     [](const auto &id) {
                         return namedHead("103 Early Hints", id, leavingHeader) + "\r\n"
                             + answer(id);
                     }}),
    [](const auto &instance) { return instance.param.name; });

// Guards against calls that follow a refusal with a wait inside it, and against a repeatable call
// that fails although another endpoint is free.
TEST_F(notice_test, NothingFollowsAWait)
{
    m_onFirst = [](const auto &connection, const auto &request) {
        connection->send(refusal(idOf(request), "30"));
    };
    startWithTwo();
    const auto refused = call();
    await(*refused);
    EXPECT_EQ(refused->head.status, 200);
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 1U);
    EXPECT_EQ(toOther(), 6U);
    const auto first = m_daemon->dump().endpoints.at(*m_first);
    EXPECT_GT(first.heldOffFor, std::chrono::seconds(20));
}

// Guards against a shorter wait that ends a longer one, with calls that run at the same time.
TEST_F(notice_test, ShorterWaitsDoNotEndALongerOne)
{
    std::vector<std::pair<std::shared_ptr<fake_connection>, std::string>> held;
    m_onFirst = [&](const auto &connection, const auto &request) {
        held.emplace_back(connection, idOf(request));
    };
    startWithTwo();
    std::vector<std::shared_ptr<caller_response>> calls;
    while (held.size() < 2) {
        calls.push_back(call());
        pass(std::chrono::milliseconds(20));
    }
    held.at(0).first->send(refusal(held.at(0).second, "30"));
    await([&] { return calls.size() == toOther() + 1; });
    held.at(1).first->send(refusal(held.at(1).second, "0.05"));
    awaitAll(calls);
    pass(std::chrono::milliseconds(100));
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 2U);
}

// Guards against a service without endpoints while its only one leaves, and against calls after its
// drain time.
TEST_F(notice_test, OnlyEndpointIsUsedInsideItsDrainTime)
{
    m_onFirst = [](const auto &connection, const auto &request) {
        connection->send(answer(idOf(request), leavingHeader));
    };
    startDaemon();
    await(*call());
    const auto noticed = m_lastToFirst;
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 6U);
    pass(std::chrono::milliseconds(3000));
    const auto late = callFiveTimes();
    pass(std::chrono::milliseconds(300));
    EXPECT_EQ(toFirst(), 6U);
    EXPECT_LT(m_lastToFirst - noticed, std::chrono::milliseconds(3000));
    for (const auto &entry : late)
        EXPECT_FALSE(entry->ended);
}

// Guards against calls that do not wait for the only endpoint, and against a herd after the wait.
TEST_F(notice_test, CallersWaitAndReturnOneAfterAnother)
{
    std::shared_ptr<fake_connection> returned;
    std::string returnedId;
    core::instant refusedAt;
    m_onFirst = [&](const auto &connection, const auto &request) {
        if (toFirst() == 1) {
            refusedAt = std::chrono::steady_clock::now();
            connection->send(refusal(idOf(request), "0.4"));
        } else if (!returned) {
            returned = connection;
            returnedId = idOf(request);
        } else {
            connection->send(answer(idOf(request)));
        }
    };
    startDaemon();
    std::vector<std::shared_ptr<caller_response>> calls{call()};
    await([&] { return m_daemon->dump().endpoints.at(0).heldOffFor.count() > 0; });
    for (auto &later : callFiveTimes())
        calls.push_back(std::move(later));
    await([&] { return returned != nullptr; });
    const auto arrived = m_lastToFirst;
    EXPECT_GE(arrived - refusedAt, std::chrono::milliseconds(400));
    returned->send(answer(returnedId));
    awaitAll(calls);
}

// Guards against callers that wait for longer than their target, and against a Retry-After before
// the end of the wait.
TEST_F(notice_test, CallersAreTurnedAwayUntilTheEndOfALongWait)
{
    m_onFirst = [](const auto &connection, const auto &request) {
        connection->send(refusal(idOf(request), "30"));
    };
    m_extraRules = "[[class]]\nname = \"quick\"\ntier = \"top\"\ndeadline_ms = 600000\n"
                   "maximum_wait_ms = 600000\nqueue_length = 100\ntime_to_first_token_ms = 1000\n";
    startDaemon();
    const http::header_list quick{{"X-Request-Class", "quick"}};
    for (int round = 0; round < 2; ++round) {
        const auto refused = call(quick);
        await(*refused);
        EXPECT_EQ(refused->head.status, 503);
        EXPECT_EQ(refused->errorField("type"), "no_endpoint");
        EXPECT_EQ(refused->errorField("outcome"), "not_run");
        EXPECT_GE(std::stoi('0' + refused->header("Retry-After")), 30 - round);
        EXPECT_EQ(toFirst(), 1U);
    }
}

// Guards against an endpoint that is put out of use by an answer to another request.
TEST_F(notice_test, AnswersThatDoNotNameTheirRequestAreNotObeyed)
{
    m_onFirst = [this](const auto &connection, const auto &request) {
        const auto signals = std::string(leavingHeader) + "Retry-After: 30\r\n";
        if (toFirst() == 1)
            connection->send("HTTP/1.1 503 Unavailable\r\n" + signals
                             + "Content-Length: 4\r\n\r\ndone");
        else if (toFirst() == 2)
            connection->send(answer("another", signals, "503 Unavailable"));
        else
            connection->send(answer(idOf(request)));
    };
    startDaemon();
    const auto unnamed = call();
    await(*unnamed);
    EXPECT_EQ(unnamed->head.status, 503);
    await(*call());
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 8U);
    EXPECT_EQ(m_daemon->dump().endpoints.at(0).state, policy::endpoint_state::Live);
}

// Guards against a call that must not run twice but is sent again after a refusal.
TEST_F(notice_test, ANonRepeatableCallKeepsItsRefusal)
{
    m_onFirst = [](const auto &connection, const auto &request) {
        connection->send(refusal(idOf(request), "30"));
    };
    startWithTwo();
    const auto order
        = send("POST", "/services/booking/orders", "wire 7", {{"Idempotency-Key", "k1"}});
    await(*order);
    EXPECT_EQ(order->head.status, 503);
    EXPECT_EQ(toFirst() + toOther(), 1U);
    ASSERT_EQ(m_control.finished.size(), 1U);
    awaitAll(callFiveTimes());
    EXPECT_EQ(toFirst(), 1U);
}

class engine_notice_test : public daemon_fixture
{
protected:
    engine_notice_test()
    {
        for (int index = 0; index < 2; ++index) {
            auto &engine = addEngine(true);
            engine.onCompletion = [this, &engine](const engine_call &call) {
                if (!m_first)
                    m_first = &engine;
                if (m_first == &engine && m_onFirst)
                    m_onFirst(call);
                else if (m_holds)
                    m_held.emplace_back(&engine, call);
                else
                    sendTokens(engine, call);
            };
        }
    }

    static void sendTokens(const fake_engine &engine, const engine_call &call)
    {
        call.connection->send(chunkedHead(200));
        engine.sendRest(call, 0);
    }

    void expectFiveElsewhere()
    {
        for (int index = 0; index < 5; ++index) {
            const auto next = complete("next", false);
            await(*next);
            EXPECT_EQ(next->head.status, 200);
        }
        EXPECT_EQ(m_first->calls().size(), 1U);
    }

    fake_engine *m_first = nullptr; ///< That got the first request.
    std::function<void(const engine_call &)> m_onFirst;
    bool m_holds = false; ///< The other engine does not answer yet.
    std::vector<std::pair<fake_engine *, engine_call>> m_held;
};

// Guards against new requests for an engine whose running stream began with the notice, and against
// a stream that is ended by it.
TEST_F(engine_notice_test, HeadOfARunningStreamSaysLeaving)
{
    std::optional<engine_call> running;
    m_onFirst = [&](const engine_call &call) {
        running = call;
        call.connection->send(
            namedHead("200 OK", call.requestId,
                      std::string(leavingHeader) + "Transfer-Encoding: chunked\r\n\r\n")
            + fake_engine::event(call, 0, false));
    };
    startDaemon();
    const auto stream = complete("first", true);
    await([&] { return !stream->body.empty(); });
    // By their load alone, the first engine would get some of them.
    m_holds = true;
    std::vector<std::shared_ptr<caller_response>> others;
    for (std::size_t index = 0; index < 8; ++index) {
        others.push_back(complete("next", false));
        await([&] { return m_held.size() + m_first->calls().size() == index + 2; });
    }
    EXPECT_EQ(m_first->calls().size(), 1U);
    for (const auto &[engine, call] : m_held)
        sendTokens(*engine, call);
    for (const auto &entry : others)
        await(*entry);
    m_first->sendRest(*running, 1);
    await(*stream);
    EXPECT_TRUE(stream->endsWithDone());
    EXPECT_EQ(stream->streamedText(),
              fake_engine::expectedText("first", m_first->tokensPerCompletion));
}

// Guards against requests that follow the refusal of an engine, and against a caller who sees it.
TEST_F(engine_notice_test, NothingFollowsAWait)
{
    m_onFirst
        = [](const engine_call &call) { call.connection->send(refusal(call.requestId, "30")); };
    startDaemon();
    const auto refused = complete("first", true);
    await(*refused);
    EXPECT_TRUE(refused->endsWithDone());
    expectFiveElsewhere();
    EXPECT_TRUE(m_first->cancelled().empty());
}

// Guards against an engine that is taken to leave for good once it was restarted.
TEST_F(engine_notice_test, ANewIncarnationStartsClean)
{
    m_onFirst = [](const engine_call &call) {
        call.connection->send(answer(call.requestId, leavingHeader, "500 Failed"));
    };
    m_options.observer.interval = std::chrono::milliseconds(20);
    startDaemon();
    const auto stateOfFirst = [this] {
        const auto index = m_first == m_engines.at(0).get() ? 0U : 1U;
        return m_daemon->dump().endpoints.at(index).state;
    };
    const auto first = complete("first", false);
    await(*first);
    EXPECT_EQ(first->head.status, 200);
    EXPECT_EQ(stateOfFirst(), policy::endpoint_state::Leaving);
    pass(std::chrono::milliseconds(100));
    EXPECT_EQ(stateOfFirst(), policy::endpoint_state::Leaving);
    ++m_first->incarnation;
    await([&] { return stateOfFirst() == policy::endpoint_state::Live; });
}

} // namespace quetzalcleat::tests
