#include "LibPolicy/leaving_streams.h"

#include <algorithm>
#include <limits>

namespace quetzalcleat::policy {

namespace {

/// Until the end of the stream; the largest value if that is not known.
std::chrono::milliseconds remainingTime(const leaving_stream &stream, const leave_limits &limits)
{
    constexpr auto unknown = std::chrono::milliseconds::max();
    if (stream.expectedEvents == 0)
        return unknown;
    if (stream.events >= stream.expectedEvents)
        return std::chrono::milliseconds(0);
    // Without two events the interval between events is not known.
    if (stream.events < 2)
        return stream.sinceSent < limits.firstEvent ? limits.firstEvent : unknown;
    const auto interval = stream.sinceFirstEvent / static_cast<std::int64_t>(stream.events - 1);
    return interval * static_cast<std::int64_t>(stream.expectedEvents - stream.events);
}

} // namespace

std::vector<std::size_t> streamsToMove(const std::vector<leaving_stream> &streams,
                                       std::chrono::milliseconds left,
                                       std::chrono::milliseconds interval,
                                       const leave_limits &limits)
{
    struct candidate
    {
        std::chrono::milliseconds remaining{0};
        std::size_t index = 0;
    };
    const auto usable = std::max(left - limits.margin, std::chrono::milliseconds(0));
    std::vector<candidate> late;
    for (std::size_t index = 0; index < streams.size(); ++index) {
        const auto remaining = remainingTime(streams[index], limits);
        if (streams[index].isResumable && remaining > usable)
            late.push_back({remaining, index});
    }
    std::stable_sort(late.begin(), late.end(), [](const candidate &one, const candidate &other) {
        return one.remaining > other.remaining;
    });
    const auto calls = static_cast<std::size_t>(
        std::max<std::int64_t>(usable / std::max(interval, std::chrono::milliseconds(1)), 1));
    const std::size_t count = (late.size() + calls - 1) / calls;
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < std::min(count, late.size()); ++index)
        chosen.push_back(late[index].index);
    return chosen;
}

} // namespace quetzalcleat::policy
