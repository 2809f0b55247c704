#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace quetzalcleat::policy {

/// Which list of endpoints is in force at a host: the one that was read from the platform last,
/// whether by this host or by a control host. Lists arrive in another order than they were read:
/// a control host that led before answers with what it read then, and a slow read of this host ends
/// after a newer list has come. Reads no clock.
class newest_list
{
public:
    /// Stands for the reads of this host. The lists of a control host have the epoch of its
    /// catalogue, which is not 0.
    static constexpr std::uint64_t ownReads = 0;

    /// A list has arrived whose read began at `readAt`, or later. Returns whether it is in force
    /// from now on. The lists of one control host arrive in order, whatever the estimate of their
    /// times.
    bool offer(std::uint64_t source, core::instant readAt);

    bool hasList() const { return m_readAt.has_value(); }

    /// Whether the list in force comes from there.
    bool isFrom(std::uint64_t source) const { return m_readAt && m_source == source; }

    /// An upper bound of the time since the list in force was read; the maximum if there is none.
    std::chrono::milliseconds age(core::instant now) const;

private:
    std::uint64_t m_source = ownReads;
    std::optional<core::instant> m_readAt;
};

} // namespace quetzalcleat::policy
