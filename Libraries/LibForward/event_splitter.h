#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Splits the body of an event stream (text/event-stream) into complete events, so that a broken
/// stream can be resumed after its last complete event.
class event_splitter
{
public:
    /// Adds received bytes and returns all events that are now complete. Drops events with an id
    /// not above the last one. An id that leaves a gap sets `hasGap` and stops the splitting.
    std::string append(std::string_view bytes);

    /// To be called before the stream is resumed from another endpoint.
    void discardPartialEvent() { m_partialEvent.clear(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasGap() const { return m_hasGap; }
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    std::size_t partialBytes() const { return m_partialEvent.size(); }
    /// Whether the incomplete event is so large that it is taken to have no end.
    bool hasOversizedEvent() const;
    /// Events with an id or data; comments do not count.
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    static std::optional<std::uint64_t> idOf(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount = 0;
    bool m_hasGap = false;
};

} // namespace quetzalcleat::forward
