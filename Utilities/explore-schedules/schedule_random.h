#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace quetzalcleat::explore {

/// Random choices of one schedule, equal for equal seeds on every platform.
class schedule_random
{
public:
    explicit schedule_random(std::uint64_t seed) : m_engine(seed) { }

    /// Uniform in 0 .. limit - 1. The modulo bias does not matter here.
    std::size_t below(std::size_t limit) { return static_cast<std::size_t>(m_engine() % limit); }
    std::size_t between(std::size_t low, std::size_t high) { return low + below(high - low + 1); }
    bool chance(std::size_t permille) { return below(1000) < permille; }
    std::uint64_t number() { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace quetzalcleat::explore
