#pragma once

#include "LibCore/counter_registry.h"

#include <array>
#include <chrono>
#include <string>
#include <string_view>

namespace quetzalcleat::core {

/// A histogram of durations in the Prometheus form: cumulative buckets, sum in ms and count.
class latency_histogram
{
public:
    latency_histogram(counter_registry &counters, std::string_view name, std::string_view labels);

    void observe(std::chrono::milliseconds value);

private:
    /// Upper bounds in ms. They cover the users' latency objectives, which go from 200 ms to 15 s.
    static constexpr std::array<std::int64_t, 11> bounds{10,  25,   50,   100,  200,  500,
                                                         800, 1500, 2500, 5000, 15000};

    std::array<std::uint64_t *, bounds.size()> m_buckets{};
    std::uint64_t *m_infiniteBucket;
    std::uint64_t *m_count;
    std::uint64_t *m_sum;
};

} // namespace quetzalcleat::core
