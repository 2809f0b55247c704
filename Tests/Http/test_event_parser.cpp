#include "LibHttp/event_parser.h"
#include "LibHttp/http_error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace quetzalcleat::tests {

namespace {

std::vector<std::string> parse(const std::string &text, std::size_t pieceBytes)
{
    std::vector<std::string> events;
    http::event_parser parser(1000);
    for (std::size_t begin = 0; begin < text.size(); begin += pieceBytes) {
        EXPECT_TRUE(parser.consume(std::string_view(text).substr(begin, pieceBytes),
                                   [&](std::string_view data) {
                                       events.emplace_back(data);
                                       return true;
                                   }));
    }
    return events;
}

} // namespace

// Guards against events that depend on how the network splits the stream.
RC_GTEST_PROP(EventParser, DoesNotDependOnTheSizeOfPieces, ())
{
    const std::string text = "data: one\n\n: comment\n\nid: 4\r\ndata:two\r\ndata: three\r\n\r\n"
                             "data: [DONE]\n\ndata: unfinished";
    const auto pieceBytes = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
    RC_ASSERT(parse(text, pieceBytes) == (std::vector<std::string>{"one", "two\nthree", "[DONE]"}));
}

// Guards against unbounded memory for a line that does not end.
TEST(EventParser, RejectsAnEventThatIsTooLarge)
{
    http::event_parser parser(100);
    const auto ignore = [](std::string_view) { return true; };
    EXPECT_TRUE(parser.consume("data: " + std::string(80, 'x'), ignore));
    EXPECT_EQ(parser.consume(std::string(80, 'x'), ignore).error(),
              http::http_error::EventTooLarge);
}

} // namespace quetzalcleat::tests
