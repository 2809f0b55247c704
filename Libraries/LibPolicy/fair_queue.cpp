#include "LibPolicy/fair_queue.h"

#include <algorithm>

namespace quetzalcleat::policy {

void fair_queue::insertTurns(std::uint32_t callerSlot, const caller_entry &entry)
{
    if (!entry.timely.empty())
        m_timelyTurns.insert({entry.virtualTime, callerSlot});
    if (!entry.late.empty())
        m_lateTurns.insert({entry.virtualTime, callerSlot});
}

void fair_queue::eraseTurns(std::uint32_t callerSlot, const caller_entry &entry)
{
    m_timelyTurns.erase({entry.virtualTime, callerSlot});
    m_lateTurns.erase({entry.virtualTime, callerSlot});
}

void fair_queue::push(const queue_entry &entry)
{
    auto [position, isNew] = m_callers.try_emplace(entry.callerSlot);
    auto &caller = position->second;
    if (caller.queued() == 0) {
        // A caller earns no credit for the time without requests.
        caller.virtualTime = std::max(caller.virtualTime, m_virtualTime);
        if (!isNew)
            --m_idleCallers;
        caller.timely.insert(entry);
        insertTurns(entry.callerSlot, caller);
    } else {
        caller.timely.insert(entry);
        m_timelyTurns.insert({caller.virtualTime, entry.callerSlot});
    }
    m_timely.insert(entry);
    m_arrivals.insert(entry);
}

void fair_queue::remove(const queue_entry &entry)
{
    const auto position = m_callers.find(entry.callerSlot);
    if (position == m_callers.end() || m_arrivals.erase(entry) == 0)
        return;
    auto &caller = position->second;
    eraseTurns(entry.callerSlot, caller);
    if (caller.timely.erase(entry) > 0)
        m_timely.erase(entry);
    else
        caller.late.erase(entry);
    insertTurns(entry.callerSlot, caller);
    if (caller.queued() == 0) {
        ++m_idleCallers;
        forgetIdleCallers();
    }
}

void fair_queue::forgetIdleCallers()
{
    // An idle caller is kept while its virtual time is ahead, else it could erase the work charged
    // to it by leaving the queue empty for a moment.
    constexpr std::size_t idleCallersBeforeSweep = 64;
    if (m_idleCallers < idleCallersBeforeSweep)
        return;
    m_idleCallers -= std::erase_if(m_callers, [this](const auto &entry) {
        return entry.second.queued() == 0 && entry.second.virtualTime <= m_virtualTime;
    });
}

void fair_queue::demoteLate(core::instant now)
{
    while (!m_timely.empty() && m_timely.begin()->due < now) {
        const queue_entry entry = *m_timely.begin();
        m_timely.erase(m_timely.begin());
        auto &caller = m_callers.at(entry.callerSlot);
        eraseTurns(entry.callerSlot, caller);
        caller.timely.erase(entry);
        caller.late.insert(entry);
        insertTurns(entry.callerSlot, caller);
    }
}

std::optional<fair_queue::queue_entry> fair_queue::next(const caller_filter &allows) const
{
    for (const auto &[virtualTime, callerSlot] : m_timelyTurns)
        if (allows(callerSlot))
            return *m_callers.at(callerSlot).timely.begin();
    for (const auto &[virtualTime, callerSlot] : m_lateTurns)
        if (allows(callerSlot))
            return *m_callers.at(callerSlot).late.begin();
    return std::nullopt;
}

std::optional<fair_queue::queue_entry> fair_queue::oldest(const caller_filter &allows) const
{
    for (const auto &entry : m_arrivals)
        if (allows(entry.callerSlot))
            return entry;
    return std::nullopt;
}

void fair_queue::charge(std::uint32_t callerSlot, double work)
{
    const auto position = m_callers.find(callerSlot);
    if (position == m_callers.end())
        return;
    auto &caller = position->second;
    eraseTurns(callerSlot, caller);
    caller.virtualTime += work;
    insertTurns(callerSlot, caller);
}

void fair_queue::advanceVirtualTime(std::uint32_t callerSlot)
{
    const auto position = m_callers.find(callerSlot);
    if (position != m_callers.end())
        m_virtualTime = std::max(m_virtualTime, position->second.virtualTime);
}

std::optional<core::instant> fair_queue::earliestDue() const
{
    if (m_timely.empty())
        return std::nullopt;
    return m_timely.begin()->due;
}

fair_queue::caller_count fair_queue::largestCaller() const
{
    caller_count largest;
    for (const auto &[callerSlot, entry] : m_callers) {
        const std::uint32_t queued = entry.queued();
        // The second condition makes the result independent of the hash table's order.
        if (queued > largest.queued
            || (queued == largest.queued && callerSlot < largest.callerSlot))
            largest = {callerSlot, queued};
    }
    return largest;
}

std::uint32_t fair_queue::queuedOf(std::uint32_t callerSlot) const
{
    const auto found = m_callers.find(callerSlot);
    return found == m_callers.end() ? 0 : found->second.queued();
}

} // namespace quetzalcleat::policy
