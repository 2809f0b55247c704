#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace quetzalcleat::policy {

enum class duty_standing : std::uint8_t {
    MayAct,
    NotLeading, ///< This host does not lead the log, or cannot show that it still does.
    NotAcquired, ///< The newest acquisition in the log is not that of this process.
    Waiting, ///< Calls of the previous holder may still be on their way.
};

std::string_view toString(duty_standing standing);

/// Decides whether this process may make the calls of a duty.
///
/// The previous holder stops when its leader lease ends, which is before another host can lead. The
/// wait after the acquisition covers calls that it has written before. Does no I/O; time is passed
/// in and has to count suspended time.
class duty_lease
{
public:
    struct facts
    {
        /// This host leads with a valid lease, and the entries up to its read index are applied.
        bool isConfirmed = false;
        /// Generation number of the newest acquisition in the log, if it is that of this process.
        std::optional<std::uint64_t> ownGeneration;
    };

    explicit duty_lease(std::chrono::milliseconds wait) : m_wait(wait) { }

    /// To be called at least once per tick and directly before each write.
    duty_standing update(const facts &current, core::instant now);

    /// Whether the duty is to be acquired: this host leads and the newest acquisition is another.
    bool shouldAcquire() const { return m_standing == duty_standing::NotAcquired; }

    duty_standing standing() const { return m_standing; }
    /// Of the newest acquisition of this process; 0 if another one is newer.
    std::uint64_t generation() const { return m_generation; }
    /// Rest of the wait.
    std::chrono::milliseconds remaining(core::instant now) const;

private:
    std::chrono::milliseconds m_wait;
    duty_standing m_standing = duty_standing::NotLeading;
    std::uint64_t m_generation = 0;
    core::instant m_acquiredAt; ///< When the generation was first seen to be applied.
};

} // namespace quetzalcleat::policy
