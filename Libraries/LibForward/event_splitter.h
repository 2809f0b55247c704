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
    std::string take(std::string_view bytes);

    /// A new source continues the stream; the rest of the old one is dropped.
    void startSource() { m_rest.clear(); }

    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    bool hasGap() const { return m_hasGap; }
    /// Whether bytes of an event that is not whole are waiting.
    bool hasRest() const { return !m_rest.empty(); }
    std::uint64_t events() const { return m_events; }

private:
    static std::optional<std::uint64_t> idOf(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    bool m_hasGap = false;
};

} // namespace quetzalcleat::forward
