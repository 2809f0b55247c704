#include "LibPolicy/prefix_cache_view.h"

#include <algorithm>

namespace quetzalcleat::policy {

void prefix_cache_view::setBound(std::uint32_t blocks)
{
    m_bound = blocks;
    while (m_order.size() > m_bound) {
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
}

void prefix_cache_view::apply(const cache_event &event)
{
    if (m_lastSequence && event.sequence <= *m_lastSequence)
        return;
    if (m_lastSequence && event.sequence != *m_lastSequence + 1) {
        ++m_gaps;
        clearBlocks();
    }
    m_lastSequence = event.sequence;
    switch (event.kind) {
    case cache_event_kind::Stored:
        store(event.block);
        return;
    case cache_event_kind::Evicted:
        if (const auto found = m_positions.find(event.block); found != m_positions.end()) {
            m_order.erase(found->second);
            m_positions.erase(found);
        }
        return;
    case cache_event_kind::Cleared:
        clearBlocks();
        return;
    }
}

void prefix_cache_view::assumeStored(std::span<const std::uint64_t> blocks)
{
    // In reverse, so that the bound drops the end of a prefix before its start.
    for (std::size_t index = std::min<std::size_t>(blocks.size(), m_bound); index > 0; --index)
        store(blocks[index - 1]);
}

std::uint32_t prefix_cache_view::cachedPrefix(std::span<const std::uint64_t> blocks) const
{
    if (m_positions.empty())
        return 0;
    const auto end = std::ranges::partition_point(
        blocks, [this](std::uint64_t block) { return m_positions.contains(block); });
    return static_cast<std::uint32_t>(end - blocks.begin());
}

void prefix_cache_view::reset()
{
    clearBlocks();
    m_lastSequence.reset();
}

void prefix_cache_view::store(std::uint64_t block)
{
    if (m_bound == 0)
        return;
    if (const auto found = m_positions.find(block); found != m_positions.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    if (m_order.size() >= m_bound) {
        m_positions.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(block);
    m_positions.emplace(block, m_order.begin());
}

void prefix_cache_view::clearBlocks()
{
    m_order.clear();
    m_positions.clear();
}

} // namespace quetzalcleat::policy
