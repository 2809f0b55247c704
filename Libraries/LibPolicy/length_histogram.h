#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace quetzalcleat::policy {

/// Quantiles of recent output lengths, from a histogram with logarithmic buckets. Every sample
/// reduces the weight of the older ones, so that about the last hundred count.
class length_histogram
{
public:
    void add(std::uint32_t tokens);

    /// The estimate for 0 < probability < 1, at most 19% too high; 0 without samples.
    std::uint32_t quantile(double probability) const;

    /// Effective number of samples, after the loss of weight.
    double weight() const { return m_total; }

private:
    static constexpr std::size_t bucketsPerOctave = 4;
    static constexpr std::size_t bucketCount = 20 * bucketsPerOctave; ///< Up to 2^20 tokens.

    std::array<float, bucketCount> m_buckets{};
    double m_total = 0;
};

} // namespace quetzalcleat::policy
