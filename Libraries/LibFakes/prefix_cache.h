#pragma once

#include "LibCore/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::fakes {

enum class cache_change { Stored, Evicted, Cleared };

struct cache_notice
{
    std::uint64_t sequence = 0;
    cache_change change = cache_change::Stored;
    std::uint64_t block = 0;
    core::instant at;
};

/// Prompt blocks that an engine keeps, least recently used first out.
class prefix_cache
{
public:
    /// Number of leading blocks that are cached. Marks them as used.
    std::size_t match(std::span<const std::uint64_t> blocks);

    bool contains(std::uint64_t block) const { return m_positions.contains(block); }
    void store(std::uint64_t block, core::instant now);

    /// Evicts until at most this many blocks are left.
    void shrinkTo(std::size_t blocks, core::instant now);
    void clear(core::instant now);

    std::size_t size() const { return m_positions.size(); }

    /// Changes with a sequence number above `after`, oldest first. Old ones are forgotten, which a
    /// reader sees as a gap in the sequence numbers.
    std::vector<cache_notice> noticesAfter(std::uint64_t after) const;
    std::uint64_t lastSequence() const { return m_lastSequence; }

private:
    void note(cache_change change, std::uint64_t block, core::instant now);

    std::list<std::uint64_t> m_leastRecentFirst;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::list<cache_notice> m_notices;
    std::uint64_t m_lastSequence = 0;
};

} // namespace quetzalcleat::fakes
