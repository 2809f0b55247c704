#pragma once

#include "LibPolicy/policy_types.h"

#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>

namespace quetzalcleat::policy {

/// Estimated content of the prefix cache of one engine: the blocks of this host's dispatches,
/// corrected by the engine's cache events. Bounded; the least recently stored block goes first.
class prefix_cache_view
{
public:
    void setBound(std::uint32_t blocks);

    /// Applies an event. An event that is not newer than the last one is ignored. A gap in the
    /// sequence clears the view, because an eviction may have been missed; the event is applied
    /// then.
    void apply(const cache_event &event);

    /// Adds blocks that a finished prefill has most likely stored.
    void assumeStored(std::span<const std::uint64_t> blocks);

    /// Number of leading blocks that are probably cached. Assumes that a block's predecessors are
    /// cached with it, so that a binary search over the chained hashes suffices.
    std::uint32_t cachedPrefix(std::span<const std::uint64_t> blocks) const;

    bool holds(std::uint64_t block) const { return m_positions.contains(block); }

    /// Forgets everything, including the sequence: the engine was restarted.
    void reset();

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_positions.size()); }
    std::uint64_t gaps() const { return m_gaps; }

private:
    void store(std::uint64_t block);
    void clearBlocks();

    std::uint32_t m_bound = 0;
    std::list<std::uint64_t> m_order; ///< Newest first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
    std::optional<std::uint64_t> m_lastSequence;
    std::uint64_t m_gaps = 0;
};

} // namespace quetzalcleat::policy
