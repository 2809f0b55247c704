#include "LibPolicy/leaving_streams.h"

#include <gtest/gtest.h>

namespace quetzalcleat::policy::test {

using namespace std::chrono_literals;

/// A stream with an event every 50 ms.
leaving_stream stream(std::uint64_t events, std::uint64_t expected, bool isResumable = true)
{
    const auto time = 50ms * static_cast<int>(events > 0 ? events - 1 : 0);
    return {isResumable, events, expected, time, time + 400ms};
}

/// Guards against a prefill elsewhere for a stream that would have ended in time, and against one
/// that runs a second time although it must not.
TEST(leaving_streams, MovesResumableStreamsThatOutlastTheNotice)
{
    EXPECT_TRUE(streamsToMove({stream(20, 40)}, 2s, 200ms).empty());
    EXPECT_EQ(streamsToMove({stream(10, 60)}, 2s, 200ms).size(), 1U);
    EXPECT_TRUE(streamsToMove({stream(10, 60, false)}, 2s, 200ms).empty());
    EXPECT_TRUE(streamsToMove({stream(60, 60)}, 0ms, 200ms).empty());
}

/// Guards against streams of unknown length or without events that break at the end of the notice.
TEST(leaving_streams, MovesStreamsOfUnknownLength)
{
    EXPECT_EQ(streamsToMove({stream(10, 0)}, 2s, 200ms).size(), 1U);
    EXPECT_TRUE(streamsToMove({{true, 0, 40, 0ms, 300ms}}, 2s, 200ms).empty());
    EXPECT_EQ(streamsToMove({{true, 0, 40, 0ms, 800ms}}, 2s, 200ms).size(), 1U);
}

/// Guards against all streams of an endpoint that reach the others at the same time.
TEST(leaving_streams, SpreadsTheMovesOverTheTimeLeft)
{
    std::vector<leaving_stream> streams(40, stream(2, 200));
    streams[17] = stream(2, 300);
    auto left = 2500ms;
    auto chosen = streamsToMove(streams, left, 200ms);
    EXPECT_EQ(chosen.size(), 4U);
    EXPECT_EQ(chosen.front(), 17U);
    for (; left > 500ms; left -= 200ms)
        streams.resize(streams.size() - streamsToMove(streams, left, 200ms).size());
    EXPECT_TRUE(streams.empty());
}

} // namespace quetzalcleat::policy::test
