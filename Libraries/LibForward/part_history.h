#pragma once

#include "LibCore/time.h"
#include "LibPolicy/part_id.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace quetzalcleat::forward {

/// When each prompt part was last sent to an engine. Bounded, as callers choose the parts: entries
/// are dropped when they are older than the engine's cache keeps parts, and the oldest ones when
/// there are more than fit in it.
class part_history
{
public:
    using container = std::unordered_map<policy::part_id, core::instant>;

    /// As placement_options::cacheRetention.
    static constexpr std::chrono::milliseconds retention{60'000};
    /// The cache of an engine (about 580,000 tokens) holds about 520 of the shortest prompts (1,110
    /// tokens); requests of other hosts share it.
    static constexpr std::size_t maximumParts = 2048;
    /// Memory of an entry, with its share of the table.
    static constexpr std::size_t entryBytes = 48;

    /// Parts without an id are not kept, as they cannot be told apart.
    void record(policy::part_id part, core::instant now);

    container::const_iterator find(policy::part_id part) const { return m_times.find(part); }
    container::const_iterator end() const { return m_times.end(); }
    bool empty() const { return m_times.empty(); }
    std::size_t size() const { return m_times.size(); }

private:
    void dropOld(core::instant now);

    container m_times;
    core::instant m_dropped; ///< When old entries were last dropped.
};

} // namespace quetzalcleat::forward
