#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace quetzalcleat::policy {

/// True time at the leader: the median of the clocks of the hosts that report to it. Up to three
/// tenths of them may be off, in any direction.
///
/// Reads no clock: the times are passed in.
class fleet_clock
{
public:
    /// Fewer samples may all come from clocks that are off.
    static constexpr std::size_t minimumSamples = 3;
    /// Hosts report at least every second, unless they are gone.
    static constexpr std::chrono::milliseconds sampleLifetime{10'000};
    static constexpr std::size_t maximumHosts = 8192;

    /// The time of day of a host, which arrived now. Replaces the last sample of the host.
    void record(const std::string &host, core::wall_time time, core::instant now);

    /// Empty with fewer samples than this.
    std::optional<core::wall_time> time(core::instant now,
                                        std::size_t samples = minimumSamples) const;

    std::size_t sampleCount(core::instant now) const;

private:
    struct sample
    {
        std::chrono::milliseconds offset{0}; ///< Time of day less monotonic time.
        core::instant receivedAt;
    };

    std::map<std::string, sample> m_samples;
};

/// True time at a host that reports to the leader.
class fleet_time
{
public:
    /// An answer with this true time, of 1970 on; 0 if the leader does not know it.
    void record(std::chrono::milliseconds answered, core::instant sentAt, core::instant now);

    /// The time of day of this host until an answer has told the true time.
    core::wall_time at(core::instant now, core::wall_time ownTime) const;

    bool isKnown() const { return m_offset.has_value(); }

private:
    std::optional<std::chrono::milliseconds> m_offset; ///< True time less monotonic time.
};

} // namespace quetzalcleat::policy
