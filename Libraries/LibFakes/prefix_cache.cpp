#include "LibFakes/prefix_cache.h"

namespace quetzalcleat::fakes {

namespace {

constexpr std::size_t maximumNotices = 4096;

} // namespace

std::size_t prefix_cache::match(std::span<const std::uint64_t> blocks)
{
    std::size_t matched = 0;
    for (const auto block : blocks) {
        const auto position = m_positions.find(block);
        if (position == m_positions.end())
            break;
        m_leastRecentFirst.splice(m_leastRecentFirst.end(), m_leastRecentFirst, position->second);
        ++matched;
    }
    return matched;
}

void prefix_cache::store(std::uint64_t block, core::instant now)
{
    if (const auto position = m_positions.find(block); position != m_positions.end()) {
        m_leastRecentFirst.splice(m_leastRecentFirst.end(), m_leastRecentFirst, position->second);
        return;
    }
    m_positions[block] = m_leastRecentFirst.insert(m_leastRecentFirst.end(), block);
    note(cache_change::Stored, block, now);
}

void prefix_cache::shrinkTo(std::size_t blocks, core::instant now)
{
    while (m_positions.size() > blocks) {
        const auto block = m_leastRecentFirst.front();
        m_leastRecentFirst.pop_front();
        m_positions.erase(block);
        note(cache_change::Evicted, block, now);
    }
}

void prefix_cache::clear(core::instant now)
{
    m_leastRecentFirst.clear();
    m_positions.clear();
    note(cache_change::Cleared, 0, now);
}

std::vector<cache_notice> prefix_cache::noticesAfter(std::uint64_t after) const
{
    std::vector<cache_notice> notices;
    for (auto notice = m_notices.rbegin(); notice != m_notices.rend(); ++notice) {
        if (notice->sequence <= after)
            break;
        notices.push_back(*notice);
    }
    return {notices.rbegin(), notices.rend()};
}

void prefix_cache::note(cache_change change, std::uint64_t block, core::instant now)
{
    m_notices.push_back({++m_lastSequence, change, block, now});
    if (m_notices.size() > maximumNotices)
        m_notices.pop_front();
}

} // namespace quetzalcleat::fakes
