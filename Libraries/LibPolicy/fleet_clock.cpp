#include "LibPolicy/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace quetzalcleat::policy {

namespace {

using std::chrono::milliseconds;

/// The error of an interpolated time is up to half of the round trip. A later answer is better.
constexpr milliseconds longestRoundTrip{500};

milliseconds sinceEpoch(core::instant now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

milliseconds sinceEpoch(core::wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace

void fleet_clock::record(const std::string &host, core::wall_time time, core::instant now)
{
    std::erase_if(m_samples, [&](const auto &entry) {
        return now - entry.second.receivedAt > sampleLifetime;
    });
    if (m_samples.size() >= maximumHosts && !m_samples.contains(host))
        return;
    m_samples[host] = {sinceEpoch(time) - sinceEpoch(now), now};
}

std::optional<core::wall_time> fleet_clock::time(core::instant now, std::size_t samples) const
{
    std::vector<milliseconds> offsets;
    offsets.reserve(m_samples.size());
    for (const auto &[host, each] : m_samples) {
        if (now - each.receivedAt <= sampleLifetime)
            offsets.push_back(each.offset);
    }
    if (offsets.empty() || offsets.size() < samples)
        return std::nullopt;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return core::wall_time(sinceEpoch(now) + *middle);
}

std::size_t fleet_clock::sampleCount(core::instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_samples.begin(), m_samples.end(), [&](const auto &entry) {
            return now - entry.second.receivedAt <= sampleLifetime;
        }));
}

void fleet_time::record(milliseconds answered, core::instant sentAt, core::instant now)
{
    if (answered.count() == 0)
        return;
    const auto roundTrip = std::chrono::duration_cast<milliseconds>(now - sentAt);
    if (roundTrip > longestRoundTrip && m_offset)
        return;
    m_offset = answered + roundTrip / 2 - sinceEpoch(now);
}

core::wall_time fleet_time::at(core::instant now, core::wall_time ownTime) const
{
    return m_offset ? core::wall_time(sinceEpoch(now) + *m_offset) : ownTime;
}

} // namespace quetzalcleat::policy
