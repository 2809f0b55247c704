#pragma once

#include "LibForward/placement.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace quetzalcleat::forward {

/// What is known of the placement of an attempt, and its part in the load of its endpoint.
class placement_record
{
public:
    /// The attempt is about to be sent to the endpoint.
    void begin(endpoint &target, const placement_choice &choice, core::instant now);
    /// The prompt no longer counts as waiting at the endpoint, whose speed is learnt from the time.
    void recordFirstByte(endpoint &target, core::instant now);
    /// The attempt has ended, with or without a first byte.
    void end(endpoint &target);

    std::chrono::microseconds expectedWait() const { return m_choice.expectedWait; }
    std::uint64_t uncachedTokens() const { return m_choice.uncachedTokens; }
    std::chrono::microseconds expectedPause() const { return m_choice.expectedPause; }
    placement_reason reason() const { return m_choice.reason; }
    /// Of the sums of other hosts when the endpoint was chosen; empty if there were none.
    std::optional<std::chrono::milliseconds> loadAge() const { return m_loadAge; }
    /// The same for the log; -1 if there were none.
    std::int64_t loadAgeMilliseconds() const { return m_loadAge ? m_loadAge->count() : -1; }

private:
    void removeWaiting(endpoint &target);

    placement_choice m_choice; ///< Without the endpoint.
    core::instant m_sentAt;
    std::optional<std::chrono::milliseconds> m_loadAge;
    bool m_awaitsFirstByte = false;
};

} // namespace quetzalcleat::forward
