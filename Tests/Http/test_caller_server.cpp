#include "event_loop.h"
#include "scripted_socket.h"

#include "LibHttp/caller_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace quetzalcleat::tests {

using quetzalcleat::forward::test::scripted_socket;

/// Guards against bodies that stay in memory while their answers wait for slow callers: their
/// memory is no longer charged.
TEST(caller_server, ReleasedBodyHoldsNoMemory)
{
    constexpr std::size_t bodyBytes = 50'000;
    asio::io_context context;
    std::size_t received = 0;
    std::optional<std::size_t> kept;
    http::caller_server server(context, {.address = {"127.0.0.1", 0}},
                               [&](const std::shared_ptr<http::caller_exchange> &exchange) {
                                   received = exchange->request().body.size();
                                   exchange->releaseBody();
                                   kept = exchange->request().body.capacity();
                                   exchange->respond({200, {}}, "done");
                               });
    ASSERT_TRUE(server.open());
    auto caller = scripted_socket::connectTo(server.port());
    caller.send("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
                + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b'));
    ASSERT_TRUE(runUntil(context, [&] { return kept.has_value(); }));
    EXPECT_EQ(received, bodyBytes);
    EXPECT_EQ(*kept, std::string().capacity());
}

} // namespace quetzalcleat::tests
