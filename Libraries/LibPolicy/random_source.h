#pragma once

#include <cstdint>

namespace quetzalcleat::policy {

/// Mixes the bits of a number (the finalizer of SplitMix64; Steele, Lea, Flood, 2014).
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Seeded random numbers that are equal on every platform, unlike the standard distributions.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) { }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        return mixBits(m_state);
    }

    /// Below the bound; precondition: bound > 0. The bias is below 2^-32 for small bounds.
    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(((next() >> 32U) * bound) >> 32U);
    }

private:
    std::uint64_t m_state;
};

} // namespace quetzalcleat::policy
