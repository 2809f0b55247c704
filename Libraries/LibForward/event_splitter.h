#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

/// Cuts the body of an event stream (text/event-stream) into whole events, so that a stream that
/// breaks off can be continued after its last whole event.
class event_splitter
{
public:
    /// Adds received bytes and returns all events that are now whole. Events with an id that is not
    /// above the last one are dropped. An id that leaves a gap sets `hasGap` and ends the reading.
    std::string append(std::string_view bytes);

    /// A new source continues the stream; the rest of the old one is dropped.
    void startSource() { m_partialEvent.clear(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasGap() const { return m_hasGap; }
    /// Whether bytes of an event that is not whole are waiting.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    static std::optional<std::uint64_t> idOf(std::string_view event);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount = 0;
    bool m_hasGap = false;
};

} // namespace quetzalcleat::forward
