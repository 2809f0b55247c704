#include "LibForward/http_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace quetzalcleat::forward;

namespace {

constexpr std::size_t headLimit = 2000;
constexpr std::size_t fieldLimit = 20;
/// Messages for each case, of which there are 100 by default.
constexpr int rounds = 20;

/// What a reader made of a text.
struct outcome
{
    bool isRefused = false;
    bool isComplete = false;
    bool keepsConnection = false;
    std::size_t used = 0;
    std::string target;
    std::string body;

    bool operator==(const outcome &) const = default;
};

outcome readAll(http_reader::message_kind kind, const std::string &text,
                const std::vector<std::size_t> &sizes)
{
    http_reader reader(kind);
    reader.limitHeader(headLimit);
    reader.limitFields(fieldLimit);
    outcome result;
    std::string_view rest = text;
    for (std::size_t piece = 0; !rest.empty() && !reader.complete(); ++piece) {
        const auto size = sizes.empty() ? rest.size() : sizes[piece % sizes.size()];
        const auto used = reader.read(rest.substr(0, size), result.body);
        RC_ASSERT(reader.head().headers.size() <= fieldLimit);
        if (!used) {
            result = {};
            result.isRefused = true;
            return result;
        }
        // No progress would be a loop without end in a session.
        RC_ASSERT(used.value() > 0U);
        rest.remove_prefix(used.value());
        result.used += used.value();
    }
    result.isComplete = reader.complete();
    result.keepsConnection = reader.headComplete() && reader.keepsConnection();
    result.target = reader.head().target;
    RC_ASSERT(result.body.size() <= text.size());
    RC_ASSERT(reader.headMemory() <= 2 * headLimit + 100 * 2 * fieldLimit);
    return result;
}

/// Pieces of messages, which a random order joins to messages that are almost right.
std::string fragment(http_reader::message_kind kind)
{
    static const std::vector<std::string> requests{"POST /a/b?c=1 HTTP/1.1\r\n",
                                                   "GET / HTTP/1.0\r\n", "PRI * HTTP/2.0\r\n"};
    static const std::vector<std::string> responses{
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 304 X\r\n"};
    static const std::vector<std::string> parts{"Host: x\r\n",
                                                "Content-Length: 5\r\n",
                                                "Content-Length: 18446744073709551616\r\n",
                                                "Transfer-Encoding: chunked\r\n",
                                                "Transfer-Encoding: chunked, x\r\n",
                                                "Connection: close\r\n",
                                                "Connection: Upgrade\r\n",
                                                "Upgrade: h2c\r\n",
                                                "X: y\r\n z\r\n",
                                                "a:b\r\n",
                                                "\r\n",
                                                "\n",
                                                "5\r\nhello\r\n",
                                                "0\r\n\r\n",
                                                "1;x=y\r\nz\r\n",
                                                "ffffffffffffffff\r\n",
                                                "0\r\nX: t\r\n\r\n",
                                                "hello"};
    const auto &starts = kind == http_reader::message_kind::Request ? requests : responses;
    const auto choice = *rc::gen::inRange<std::size_t>(0, parts.size() + 2);
    if (choice < parts.size())
        return parts[choice];
    if (choice == parts.size())
        return *rc::gen::elementOf(starts);
    return *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(0, 20),
                                            rc::gen::arbitrary<char>());
}

std::string message(http_reader::message_kind kind)
{
    std::string text = kind == http_reader::message_kind::Request
        ? "POST /a HTTP/1.1\r\nHost: x\r\n"
        : "HTTP/1.1 200 OK\r\n";
    const auto parts = *rc::gen::inRange(0, 30);
    for (int part = 0; part < parts; ++part)
        text += fragment(kind);
    if (*rc::gen::inRange(0, 4) == 0)
        text.insert(*rc::gen::inRange<std::size_t>(0, text.size() + 1), 1,
                    *rc::gen::arbitrary<char>());
    return text;
}

void checkPieces(http_reader::message_kind kind)
{
    const auto text = message(kind);
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
        *rc::gen::inRange<std::size_t>(1, 6), rc::gen::inRange<std::size_t>(1, 40));
    const auto whole = readAll(kind, text, {});
    const auto pieces = readAll(kind, text, sizes);
    // A text with an error after the end of its message is refused only if both are read at once.
    if (!whole.isRefused)
        RC_ASSERT(whole == pieces);
    // The same pieces give the same result.
    RC_ASSERT(readAll(kind, text, sizes) == pieces);
}

} // namespace

/// Guards against heads and chunks of uncontrolled callers that end the process, are read without
/// progress, take more memory than their limits, or mean something else if they come in pieces
/// (request smuggling). Seeds: RC_PARAMS="seed=N" repeats one; a failure prints its own.
RC_GTEST_PROP(http_reader_fuzz, RequestsMeanTheSameInAnyPieces, ())
{
    for (int round = 0; round < rounds; ++round)
        checkPieces(http_reader::message_kind::Request);
}

/// The same for the answers of endpoints.
RC_GTEST_PROP(http_reader_fuzz, ResponsesMeanTheSameInAnyPieces, ())
{
    for (int round = 0; round < rounds; ++round)
        checkPieces(http_reader::message_kind::Response);
}
