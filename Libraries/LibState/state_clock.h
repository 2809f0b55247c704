#pragma once

#include "LibCore/time.h"

#include <algorithm>
#include <chrono>

namespace quetzalcleat::state {

/// The leader's source of command times.
///
/// Starts at the replicated state's time and advances with the monotonic clock, so a jump of the
/// wall clock cannot expire records or a lease. Time does not advance while there is no leader,
/// which only lengthens retention and leases.
class state_clock
{
public:
    /// To be created when a leader has applied every entry of earlier terms. `stateTime` is
    /// replicated_state::time(); `wall` is used only while the state has no time yet.
    state_clock(core::wall_time stateTime, core::wall_time wall, core::instant now)
        : m_base(stateTime == core::wall_time() ? wall : stateTime), m_start(now)
    {
    }

    core::wall_time at(core::instant now) const
    {
        const auto elapsed = std::max(now - m_start, core::instant::duration::zero());
        return m_base + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    }

private:
    core::wall_time m_base;
    core::instant m_start;
};

} // namespace quetzalcleat::state
