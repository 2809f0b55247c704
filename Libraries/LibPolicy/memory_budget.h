#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace quetzalcleat::policy {

/// What memory is held for.
enum class memory_kind {
    Head, ///< Heads of requests.
    Body, ///< Bodies of requests.
    PipelinedInput, ///< Sent ahead of the answer to the request before.
    UnreadAnswer, ///< Waits for a caller to read it.
    StreamBuffer, ///< Parts of answers of endpoints that are not passed on yet.
    PromptParts, ///< Which prompt parts were sent to which engine.
};
constexpr std::size_t memoryKinds = 6;

/// Name for metrics, e.g. `pipelined_input`.
std::string_view toString(memory_kind kind);

/// Account of the memory that a process holds for callers and endpoints. A charge may exceed the
/// bound, since some memory is held already when its size is known; whoever charges checks fits()
/// before, or makes room after.
///
/// Used only on the thread of the event loop.
class memory_budget
{
public:
    explicit memory_budget(std::uint64_t bound) : m_bound(bound) { }

    /// The bound for a process that the platform ends at `memoryLimit` bytes (0: not stated).
    static std::uint64_t boundFor(std::uint64_t memoryLimit);

    std::uint64_t bound() const { return m_bound; }
    std::uint64_t used() const { return m_used; }
    std::uint64_t used(memory_kind kind) const { return m_byKind[static_cast<std::size_t>(kind)]; }
    std::uint64_t peak() const { return m_peak; }

    bool fits(std::uint64_t bytes) const { return m_used <= m_bound && bytes <= m_bound - m_used; }
    /// Bytes above the bound.
    std::uint64_t excess() const { return m_used > m_bound ? m_used - m_bound : 0; }
    /// Whether the bound is near, so that input that is not needed yet should not be read.
    bool isTight() const { return m_used >= m_bound - m_bound / tightShare; }

private:
    friend class memory_charge;

    /// The last eighth of the bound is left for requests that are almost complete.
    static constexpr std::uint64_t tightShare = 8;

    void change(memory_kind kind, std::uint64_t from, std::uint64_t to);

    std::uint64_t m_bound;
    std::uint64_t m_used = 0;
    std::uint64_t m_peak = 0;
    std::array<std::uint64_t, memoryKinds> m_byKind{};
};

/// A part of the budget, given back at the end of its life.
class memory_charge
{
public:
    /// Counts nothing.
    memory_charge() = default;
    /// Counts nothing if the budget is null.
    memory_charge(std::shared_ptr<memory_budget> budget, memory_kind kind)
        : m_budget(std::move(budget)), m_kind(kind)
    {
    }
    ~memory_charge() { resize(0); }

    memory_charge(memory_charge &&other) noexcept;
    memory_charge &operator=(memory_charge &&other) noexcept;
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    std::uint64_t bytes() const { return m_bytes; }
    /// Changes the size, beyond the bound too.
    void resize(std::uint64_t bytes);
    /// Changes nothing and returns false if the bound would be exceeded.
    bool tryResize(std::uint64_t bytes);

private:
    std::shared_ptr<memory_budget> m_budget;
    memory_kind m_kind = memory_kind::Body;
    std::uint64_t m_bytes = 0;
};

} // namespace quetzalcleat::policy
