#include "answer_cases.h"
#include "scripted_socket.h"

#include "quetzalcleat/operator_client.h"
#include "quetzalcleat/tool_error.h"

#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>

namespace tool = quetzalcleat::tool;
using quetzalcleat::forward::test::scripted_listener;
using quetzalcleat::test::answer_case;

namespace {

std::string caseName(const testing::TestParamInfo<answer_case> &info)
{
    return info.param.name;
}

/// A host that answers one request with the bytes, and a second one that answers after it.
class operator_answer_test : public testing::Test
{
protected:
    static quetzalcleat::core::socket_address addressOf(const scripted_listener &host)
    {
        return {"127.0.0.1", host.port()};
    }

    static void answer(const scripted_listener &host, const std::string &bytes)
    {
        auto connection = host.accept();
        connection.readMessage();
        connection.send(bytes);
        connection.finishSending();
        connection.readAll();
    }

    tool::operator_client client(std::uint32_t transmissions)
    {
        tool::operator_client_options options;
        options.servers = {addressOf(m_first), addressOf(m_second)};
        options.key = "operator-key-of-the-test";
        options.transmissions = transmissions;
        options.pause = [](std::chrono::milliseconds) {};
        return tool::operator_client(std::move(options));
    }

    scripted_listener m_first;
    scripted_listener m_second;
};

class broken_operator_answer : public operator_answer_test,
                               public testing::WithParamInterface<answer_case>
{
};

/// Guards against a verdict that is read from bytes which are no response of HTTP/1.1.
TEST_P(broken_operator_answer, IsAskedForAgain)
{
    std::thread hosts([&] {
        answer(m_first, GetParam().bytes);
        if (!isAcceptedByLibcurl(GetParam()))
            answer(m_second, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
    });
    const auto verdict = client(2).post("/v1/edits", "edit");
    hosts.join();
    ASSERT_TRUE(verdict) << verdict.error().message();
    EXPECT_EQ(verdict.value().status, 200);
    EXPECT_EQ(verdict.value().body, isAcceptedByLibcurl(GetParam()) ? "ok" : "next");
}

/// Guards against an operator who is not told that the outcome of an edit is unknown.
TEST_P(broken_operator_answer, LeavesTheOutcomeUnknown)
{
    if (isAcceptedByLibcurl(GetParam()))
        return;
    std::thread host([&] { answer(m_first, GetParam().bytes); });
    const auto verdict = client(1).post("/v1/edits", "edit");
    host.join();
    ASSERT_FALSE(verdict);
    EXPECT_FALSE(verdict.error().message().empty());
}

INSTANTIATE_TEST_SUITE_P(kinds, broken_operator_answer,
                         testing::ValuesIn(quetzalcleat::test::brokenAnswers()), caseName);

/// Guards against a verdict, for example that an edit was refused, that is read from a head which
/// ended early.
TEST_F(operator_answer_test, HeadThatEndsEarlyIsNoVerdict)
{
    const std::string head = "HTTP/1.1 409 Conflict\r\nX-Sound: 1\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        std::thread host([&] { answer(m_first, head.substr(0, length)); });
        const auto verdict = client(1).post("/v1/edits", "edit");
        host.join();
        ASSERT_FALSE(verdict) << length;
        EXPECT_EQ(verdict.error(), tool::tool_error::AnswerLost) << length;
    }
}

/// Guards against a verdict of which only a part has arrived, because the connection was reset
/// while a long edit was still being written.
TEST_F(operator_answer_test, ResetWhileTheEditIsSentIsNoVerdict)
{
    constexpr std::size_t editBytes = std::size_t{24} * 1024 * 1024;
    constexpr int repetitions = 5;
    for (const std::string status : {"200 OK", "409 Conflict"}) {
        for (int count = 0; count < repetitions; ++count) {
            std::thread host([&] {
                auto connection = m_first.accept();
                connection.readUntil("\r\n\r\n");
                connection.send("HTTP/1.1 " + status + "\r\n\r\npart");
                std::this_thread::sleep_for(std::chrono::milliseconds(50 * (count % 2)));
                connection.reset();
            });
            const auto verdict = client(1).post("/v1/edits", std::string(editBytes, 'e'));
            host.join();
            ASSERT_FALSE(verdict) << status;
            EXPECT_EQ(verdict.error(), tool::tool_error::AnswerLost) << status;
        }
    }
}

class sound_operator_answer : public operator_answer_test,
                              public testing::WithParamInterface<answer_case>
{
};

/// Guards against checks that refuse what RFC 9112 allows a host to send.
TEST_P(sound_operator_answer, IsRead)
{
    std::thread host([&] { answer(m_first, GetParam().bytes); });
    const auto verdict = client(1).get("/v1/status");
    host.join();
    if (isRefusedByLibcurl(GetParam())) {
        EXPECT_FALSE(verdict);
        return;
    }
    ASSERT_TRUE(verdict) << verdict.error().message();
    EXPECT_EQ(verdict.value().status, 200);
    EXPECT_EQ(verdict.value().body, "ok");
}

INSTANTIATE_TEST_SUITE_P(kinds, sound_operator_answer,
                         testing::ValuesIn(quetzalcleat::test::soundAnswers()), caseName);

} // namespace
