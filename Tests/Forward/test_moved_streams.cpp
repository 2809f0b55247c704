#include "forwarder_fixture.h"

namespace quetzalcleat::forward::test {

class moved_stream_test : public forwarder_test
{
protected:
    /// Begins a stream with one event and returns the connection of its endpoint.
    scripted_socket begin(scripted_socket &caller)
    {
        auto first = acceptAny();
        first.readMessage();
        first.send(streamHead() + chunk(event(1)));
        caller.readUntil(event(1) + "\r\n");
        return first;
    }

    /// Announces the end of the endpoint that the stream is at, or of all endpoints.
    void announce(bool isOfAll)
    {
        inLoop([&] {
            for (const auto &[incarnation, target] : m_forwarder->endpoints().all()) {
                if (isOfAll || target->running > 0)
                    m_forwarder->recordLeave(incarnation, std::chrono::seconds(30));
            }
        });
    }

    /// The stream goes on at its endpoint after some more ticks.
    void expectStays(scripted_socket &caller, const scripted_socket &first)
    {
        EXPECT_FALSE(anyConnection(std::chrono::milliseconds(600)));
        EXPECT_TRUE(first.send(chunk(event(2)) + "0\r\n\r\n"));
        EXPECT_NE(caller.readUntil("0\r\n\r\n").find(event(2)), std::string::npos);
    }
};

/// Guards against streams that break at the end of the notice instead of continuing elsewhere, and
/// against events that are lost or doubled on the way.
TEST_F(moved_stream_test, ResumableStreamContinuesElsewhere)
{
    auto caller = call("GET", "/resume/a", "X-Time-Left-Ms: 15000\r\n");
    auto first = begin(caller);
    announce(false);
    auto second = acceptAny();
    EXPECT_NE(second.readMessage().find("Last-Event-Id: 1"), std::string::npos);
    second.send(streamHead() + chunk(event(2)) + "0\r\n\r\n");
    EXPECT_EQ(caller.readUntil("0\r\n\r\n"), chunk(event(2)) + "0\r\n\r\n");
}

/// Guards against a second run of a stream that must not run twice.
TEST_F(moved_stream_test, OtherStreamsStay)
{
    auto caller = call("GET", "/stream/a", "X-Time-Left-Ms: 15000\r\n");
    const auto first = begin(caller);
    announce(false);
    expectStays(caller, first);
}

/// Guards against a stream that is ended early because no endpoint can continue it.
TEST_F(moved_stream_test, StreamsStayWithoutAnotherEndpoint)
{
    auto caller = call("GET", "/resume/a", "X-Time-Left-Ms: 15000\r\n");
    const auto first = begin(caller);
    announce(true);
    expectStays(caller, first);
}

} // namespace quetzalcleat::forward::test
