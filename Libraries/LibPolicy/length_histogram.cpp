#include "LibPolicy/length_histogram.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

void length_histogram::add(std::uint32_t tokens)
{
    constexpr float decayFactor = 0.99F;
    for (float &bucket : m_buckets)
        bucket *= decayFactor;
    const double position = std::log2(std::max(1U, tokens)) * bucketsPerOctave;
    const auto index = std::min(bucketCount - 1, static_cast<std::size_t>(position));
    m_buckets[index] += 1;
    m_total = m_total * decayFactor + 1;
}

std::uint32_t length_histogram::quantile(double probability) const
{
    if (m_total <= 0)
        return 0;
    double sum = 0;
    std::size_t index = 0;
    for (; index + 1 < bucketCount; ++index) {
        sum += m_buckets[index];
        if (sum >= probability * m_total)
            break;
    }
    return static_cast<std::uint32_t>(std::exp2(static_cast<double>(index + 1) / bucketsPerOctave));
}

} // namespace quetzalcleat::policy
