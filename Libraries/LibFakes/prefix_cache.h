#pragma once

#include "LibCore/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::fakes {

enum class cache_event_kind { Stored, Evicted, Cleared };

struct cache_event
{
    std::uint64_t sequence = 0;
    cache_event_kind change = cache_event_kind::Stored;
    std::uint64_t block = 0;
    core::instant at;
};

/// Cached prompt blocks of an engine. The least recently used ones are evicted first.
class prefix_cache
{
public:
    /// Returns how many leading blocks are cached, and marks these as used.
    std::size_t match(std::span<const std::uint64_t> blocks);

    bool contains(std::uint64_t block) const { return m_positions.contains(block); }
    void store(std::uint64_t block, core::instant now);

    /// Evicts until at most this many blocks are left.
    void shrinkTo(std::size_t blocks, core::instant now);
    void clear(core::instant now);

    std::size_t size() const { return m_positions.size(); }

    /// Events with a sequence number above `after`, oldest first. Old ones are dropped, which a
    /// reader sees as a gap in the sequence numbers.
    std::vector<cache_event> eventsAfter(std::uint64_t after) const;
    std::uint64_t lastSequence() const { return m_lastSequence; }

private:
    void recordEvent(cache_event_kind change, std::uint64_t block, core::instant now);

    std::list<std::uint64_t> m_leastRecentlyUsedFirst;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::list<cache_event> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace quetzalcleat::fakes
