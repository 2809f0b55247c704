#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace quetzalcleat::policy {

/// A stream at an endpoint that leaves at a known time.
struct leaving_stream
{
    bool isResumable = false; ///< Another endpoint can continue it after its last event.
    std::uint64_t events = 0; ///< Received from the endpoint so far.
    std::uint64_t expectedEvents = 0; ///< Of the whole stream; 0 if not known.
    std::chrono::milliseconds sinceFirstEvent{0};
    std::chrono::milliseconds sinceSent{0}; ///< To this endpoint.
};

struct leave_limits
{
    /// Moves are complete this long before the endpoint is gone, since the announced time has
    /// travelled from the platform by way of a control host.
    std::chrono::milliseconds margin{500};
    /// Time to the first event that is expected of a stream that has none yet, from its start.
    std::chrono::milliseconds firstEvent{500};
};

/// The streams to continue elsewhere now, as indexes. Chosen are resumable streams that are
/// expected to run longer than the endpoint does. They are spread evenly over the time left, as
/// each one is another prefill for the other endpoints; those with the longest remaining time come
/// first. To be called once in each interval. Does no I/O and reads no clock.
std::vector<std::size_t> streamsToMove(const std::vector<leaving_stream> &streams,
                                       std::chrono::milliseconds left,
                                       std::chrono::milliseconds interval,
                                       const leave_limits &limits = {});

} // namespace quetzalcleat::policy
