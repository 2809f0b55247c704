#include "LibPolicy/fair_queue.h"

#include <algorithm>

namespace quetzalcleat::policy {

void fair_queue::enterOrders(std::uint32_t callerSlot, const caller_entry &entry)
{
    if (!entry.timely.empty())
        m_timelyTurns.insert({entry.virtualTime, callerSlot});
    if (!entry.late.empty())
        m_lateTurns.insert({entry.virtualTime, callerSlot});
}

void fair_queue::leaveOrders(std::uint32_t callerSlot, const caller_entry &entry)
{
    m_timelyTurns.erase({entry.virtualTime, callerSlot});
    m_lateTurns.erase({entry.virtualTime, callerSlot});
}

void fair_queue::push(const waiting &entry)
{
    auto [position, isNew] = m_callers.try_emplace(entry.callerSlot);
    auto &caller = position->second;
    if (caller.queued() == 0) {
        // An idle caller gets no credit for the time in which it asked for nothing.
        caller.virtualTime = std::max(caller.virtualTime, m_virtualTime);
        if (!isNew)
            --m_idleCallers;
        caller.timely.insert(entry);
        enterOrders(entry.callerSlot, caller);
    } else {
        caller.timely.insert(entry);
        m_timelyTurns.insert({caller.virtualTime, entry.callerSlot});
    }
    m_timely.insert(entry);
    m_arrivals.insert(entry);
}

void fair_queue::remove(const waiting &entry)
{
    const auto position = m_callers.find(entry.callerSlot);
    if (position == m_callers.end() || m_arrivals.erase(entry) == 0)
        return;
    auto &caller = position->second;
    leaveOrders(entry.callerSlot, caller);
    if (caller.timely.erase(entry) > 0)
        m_timely.erase(entry);
    else
        caller.late.erase(entry);
    enterOrders(entry.callerSlot, caller);
    if (caller.queued() == 0) {
        ++m_idleCallers;
        forgetIdleCallers();
    }
}

void fair_queue::forgetIdleCallers()
{
    // An idle caller is kept while it is ahead of the others, else leaving the queue empty for a
    // moment would wipe out the work that it has had.
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
        const waiting entry = *m_timely.begin();
        m_timely.erase(m_timely.begin());
        auto &caller = m_callers.at(entry.callerSlot);
        leaveOrders(entry.callerSlot, caller);
        caller.timely.erase(entry);
        caller.late.insert(entry);
        enterOrders(entry.callerSlot, caller);
    }
}

std::optional<fair_queue::waiting> fair_queue::next(const caller_filter &allows) const
{
    for (const auto &[virtualTime, callerSlot] : m_timelyTurns)
        if (allows(callerSlot))
            return *m_callers.at(callerSlot).timely.begin();
    for (const auto &[virtualTime, callerSlot] : m_lateTurns)
        if (allows(callerSlot))
            return *m_callers.at(callerSlot).late.begin();
    return std::nullopt;
}

std::optional<fair_queue::waiting> fair_queue::oldest(const caller_filter &allows) const
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
    leaveOrders(callerSlot, caller);
    caller.virtualTime += work;
    enterOrders(callerSlot, caller);
}

void fair_queue::noteTurn(std::uint32_t callerSlot)
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
