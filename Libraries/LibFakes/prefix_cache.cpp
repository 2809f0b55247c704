#include "LibFakes/prefix_cache.h"

namespace quetzalcleat::fakes {

namespace {

constexpr std::size_t maximumEvents = 4096;

} // namespace

std::size_t prefix_cache::match(std::span<const std::uint64_t> blocks)
{
    std::size_t matched = 0;
    for (const auto block : blocks) {
        const auto position = m_positions.find(block);
        if (position == m_positions.end())
            break;
        m_leastRecentlyUsedFirst.splice(m_leastRecentlyUsedFirst.end(), m_leastRecentlyUsedFirst,
                                        position->second);
        ++matched;
    }
    return matched;
}

void prefix_cache::store(std::uint64_t block, core::instant now)
{
    if (const auto position = m_positions.find(block); position != m_positions.end()) {
        m_leastRecentlyUsedFirst.splice(m_leastRecentlyUsedFirst.end(), m_leastRecentlyUsedFirst,
                                        position->second);
        return;
    }
    m_positions[block] = m_leastRecentlyUsedFirst.insert(m_leastRecentlyUsedFirst.end(), block);
    recordEvent(cache_event_kind::Stored, block, now);
}

void prefix_cache::shrinkTo(std::size_t blocks, core::instant now)
{
    while (m_positions.size() > blocks) {
        const auto block = m_leastRecentlyUsedFirst.front();
        m_leastRecentlyUsedFirst.pop_front();
        m_positions.erase(block);
        recordEvent(cache_event_kind::Evicted, block, now);
    }
}

void prefix_cache::clear(core::instant now)
{
    m_leastRecentlyUsedFirst.clear();
    m_positions.clear();
    recordEvent(cache_event_kind::Cleared, 0, now);
}

std::vector<cache_event> prefix_cache::eventsAfter(std::uint64_t after) const
{
    std::vector<cache_event> events;
    for (auto event = m_events.rbegin(); event != m_events.rend(); ++event) {
        if (event->sequence <= after)
            break;
        events.push_back(*event);
    }
    return {events.rbegin(), events.rend()};
}

void prefix_cache::recordEvent(cache_event_kind change, std::uint64_t block, core::instant now)
{
    m_events.push_back({++m_lastSequence, change, block, now});
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

} // namespace quetzalcleat::fakes
