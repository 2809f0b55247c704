#include "LibForward/http_reader.h"
#include "answer_cases.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace quetzalcleat::forward;

namespace {

using kind = http_reader::message_kind;

/// Reads a text in pieces of the given size. Returns the body, or nothing if the text was refused.
std::optional<std::string> readInPieces(http_reader &reader, std::string_view text,
                                        std::size_t size)
{
    std::string body;
    while (!text.empty() && !reader.complete()) {
        const auto used = reader.read(text.substr(0, size), body);
        if (!used)
            return std::nullopt;
        text.remove_prefix(used.value());
    }
    return body;
}

} // namespace

/// Guards against parsing that depends on how the network splits the message.
TEST(http_reader, ParsesMessagesSplitAnywhere)
{
    const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                             "X-Long: one two\r\n\r\nhello";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        http_reader reader(kind::Request);
        const auto body = readInPieces(reader, text, size);
        ASSERT_TRUE(body) << size;
        EXPECT_EQ(*body, "hello");
        EXPECT_TRUE(reader.complete());
        EXPECT_EQ(reader.head().method, "POST");
        EXPECT_EQ(reader.head().target, "/a/b?c=1");
        EXPECT_EQ(reader.head().path(), "/a/b");
        EXPECT_EQ(reader.head().value("x-long"), "one two");
    }
}

/// Guards against a second request inside the body of the first (request smuggling).
TEST(http_reader, RefusesAmbiguousLengths)
{
    for (const auto *headers :
         {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: -1\r\n",
          "Content-Length: 5x\r\n"}) {
        http_reader reader(kind::Request);
        const auto text = std::string("POST / HTTP/1.1\r\nHost: x\r\n") + headers + "\r\nhello";
        EXPECT_FALSE(readInPieces(reader, text, text.size())) << headers;
    }
}

/// Guards against bytes of the next message that become part of this one.
TEST(http_reader, StopsAtTheEndOfTheMessage)
{
    http_reader reader(kind::Response);
    std::string body;
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 X\r\n";
    const auto used = reader.read(text, body);
    ASSERT_TRUE(used);
    EXPECT_EQ(text.substr(used.value()), "HTTP/1.1 500 X\r\n");
    EXPECT_EQ(body, "ok");
}

/// Guards against a truncated response that counts as complete.
TEST(http_reader, ResponseWithoutLengthEndsOnlyWithAClose)
{
    http_reader reader(kind::Response);
    std::string body;
    ASSERT_TRUE(reader.read("HTTP/1.1 200 OK\r\n\r\npart", body));
    EXPECT_FALSE(reader.complete());
    EXPECT_TRUE(reader.endsWithConnection());
    EXPECT_TRUE(reader.finish());

    http_reader withLength(kind::Response);
    ASSERT_TRUE(withLength.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", body));
    EXPECT_FALSE(withLength.endsWithConnection());
    EXPECT_FALSE(withLength.finish());
}

/// Guards against a look-up of the body length after the headers have been moved away, which kept
/// connections to endpoints from being reused.
TEST(http_reader, RemembersHowTheResponseEnds)
{
    http_reader reader(kind::Response);
    std::string body;
    ASSERT_TRUE(reader.read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", body));
    const auto taken = std::move(reader.head());
    ASSERT_TRUE(reader.read("ok", body));
    EXPECT_TRUE(reader.complete());
    EXPECT_FALSE(reader.endsWithConnection());
    EXPECT_TRUE(reader.keepsConnection());
}

/// Guards against a check that depends on how the network splits the answer.
TEST(http_reader, RefusesBrokenAnswersSplitAnywhere)
{
    for (const auto &answer : quetzalcleat::test::brokenAnswers()) {
        for (std::size_t size = 1; size <= answer.bytes.size(); ++size) {
            http_reader reader(kind::Response);
            std::string_view rest = answer.bytes;
            std::optional<std::string> body;
            // Interim responses come before the answer.
            do {
                reader.restart();
                std::string unread(rest);
                body = readInPieces(reader, unread, size);
                rest.remove_prefix(std::min(rest.find("\r\n\r\n") + 4, rest.size()));
            } while (body && reader.head().status / 100 == 1 && !rest.empty());
            EXPECT_FALSE(body && reader.complete()) << answer.name << ' ' << size;
        }
    }
}

/// The same for answers that RFC 9112 allows.
TEST(http_reader, ReadsSoundAnswersSplitAnywhere)
{
    for (const auto &answer : quetzalcleat::test::soundAnswers()) {
        if (answer.bytes.starts_with("HTTP/1.1 1"))
            continue;
        for (std::size_t size = 1; size <= answer.bytes.size(); ++size) {
            http_reader reader(kind::Response);
            const auto body = readInPieces(reader, answer.bytes, size);
            EXPECT_TRUE(reader.complete()) << answer.name << ' ' << size;
            EXPECT_EQ(body, "ok") << answer.name << ' ' << size;
        }
    }
}

/// Guards against unbounded memory use by a header.
TEST(http_reader, RefusesLargeHeaders)
{
    http_reader reader(kind::Request);
    reader.limitHeader(1000);
    const auto text = "GET / HTTP/1.1\r\nHost: x\r\nX-Large: " + std::string(2000, 'a');
    std::string body;
    const auto used = reader.read(text, body);
    ASSERT_FALSE(used);
    EXPECT_EQ(used.error(), forward_error::HeaderTooLarge);
}

/// Guards against hop-by-hop headers that are forwarded.
TEST(http_head, RecognisesHopByHopHeaders)
{
    EXPECT_TRUE(isHopByHop("connection", ""));
    EXPECT_TRUE(isHopByHop("Transfer-Encoding", ""));
    EXPECT_TRUE(isHopByHop("X-Mine", "close, x-mine"));
    EXPECT_FALSE(isHopByHop("X-Other", "close, x-mine"));
    EXPECT_FALSE(parseNumber("12x"));
    EXPECT_FALSE(parseNumber(""));
    EXPECT_EQ(parseNumber("120"), 120U);
}
