#include "LibPolicy/memory_budget.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::policy {

namespace {

constexpr std::uint64_t mebibyte = std::uint64_t{1024} * 1024;
/// Assumed if the platform states no limit: the memory of a control host.
constexpr std::uint64_t assumedMemoryLimit = 256 * mebibyte;
/// Code, configuration, lists of endpoints, the log and the buffers of peers.
constexpr std::uint64_t processBytes = 32 * mebibyte;
/// Holds a body of the largest default size (4 MiB) with room for other requests.
constexpr std::uint64_t minimumBound = 8 * mebibyte;

} // namespace

std::string_view toString(memory_kind kind)
{
    constexpr std::array<std::string_view, memoryKinds> names{
        "head", "body", "pipelined_input", "unread_answer", "stream_buffer", "prompt_parts"};
    return names[static_cast<std::size_t>(kind)];
}

std::uint64_t memory_budget::boundFor(std::uint64_t memoryLimit)
{
    const auto limit = memoryLimit == 0 ? assumedMemoryLimit : memoryLimit;
    // The other half is for the fragmentation of the heap and for what is not counted.
    return std::max(minimumBound, limit > processBytes ? (limit - processBytes) / 2 : 0);
}

void memory_budget::change(memory_kind kind, std::uint64_t from, std::uint64_t to)
{
    auto &ofKind = m_byKind[static_cast<std::size_t>(kind)];
    ofKind = ofKind - from + to;
    m_used = m_used - from + to;
    m_peak = std::max(m_peak, m_used);
}

memory_charge::memory_charge(memory_charge &&other) noexcept
    : m_budget(std::move(other.m_budget)), m_kind(other.m_kind),
      m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_charge &memory_charge::operator=(memory_charge &&other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    m_budget = std::move(other.m_budget);
    m_kind = other.m_kind;
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

void memory_charge::resize(std::uint64_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    if (m_budget && before != bytes)
        m_budget->change(m_kind, before, bytes);
}

bool memory_charge::tryResize(std::uint64_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->fits(bytes - m_bytes))
        return false;
    resize(bytes);
    return true;
}

} // namespace quetzalcleat::policy
