#pragma once

#include "LibPolicy/policy_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace quetzalcleat::policy {

/// Waiting requests of one class in one pool.
///
/// Callers take turns by start-time fair queueing over their work in tokens (Goyal, Vin, Cheng,
/// 1996), so that a large caller does not crowd out the others. Within a caller the earliest due
/// time goes first. Requests past their due time go after those that can still meet it, because
/// earliest-deadline order alone misses nearly every target in overload.
class fair_queue
{
public:
    struct waiting
    {
        core::instant due;
        request_id request;
        std::uint32_t callerSlot = 0;

        bool operator<(const waiting &other) const
        {
            return due != other.due ? due < other.due : request < other.request;
        }
    };

    using caller_filter = std::function<bool(std::uint32_t callerSlot)>;

    void push(const waiting &entry);
    void remove(const waiting &entry);

    /// Moves requests whose due time has passed behind the others.
    void demoteLate(core::instant now);

    /// The request whose turn it is, among the callers that pass the filter.
    std::optional<waiting> next(const caller_filter &allows) const;

    /// The request that arrived first, among the callers that pass the filter.
    std::optional<waiting> oldest(const caller_filter &allows) const;

    /// Id of the request that arrived first. Precondition: not empty.
    request_id firstArrival() const { return m_arrivals.begin()->request; }

    /// Counts work against a caller's turn; negative to correct an estimate.
    void charge(std::uint32_t callerSlot, double work);

    /// Notes that the caller's request was taken, which sets the virtual time for new callers.
    void noteTurn(std::uint32_t callerSlot);

    /// Earliest due time that can still be met, if there is one.
    std::optional<core::instant> earliestDue() const;

    struct caller_count
    {
        std::uint32_t callerSlot = 0;
        std::uint32_t queued = 0;
    };

    /// The caller with the most waiting requests. Cost: linear in the waiting callers.
    caller_count largestCaller() const;
    std::uint32_t queuedOf(std::uint32_t callerSlot) const;

    /// The caller's requests, the one whose removal costs least first. Precondition: it has some.
    template <typename Visitor>
    void visitFromLast(std::uint32_t callerSlot, Visitor visit) const
    {
        const auto &entry = m_callers.at(callerSlot);
        for (auto position = entry.timely.rbegin(); position != entry.timely.rend(); ++position)
            if (visit(*position))
                return;
        for (auto position = entry.late.rbegin(); position != entry.late.rend(); ++position)
            if (visit(*position))
                return;
    }

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_arrivals.size()); }
    bool empty() const { return m_arrivals.empty(); }

private:
    struct caller_entry
    {
        double virtualTime = 0;
        std::set<waiting> timely;
        std::set<waiting> late;

        std::uint32_t queued() const
        {
            return static_cast<std::uint32_t>(timely.size() + late.size());
        }
    };

    struct by_arrival
    {
        bool operator()(const waiting &left, const waiting &right) const
        {
            return left.request < right.request;
        }
    };

    struct turn
    {
        double virtualTime = 0;
        std::uint32_t callerSlot = 0;

        bool operator<(const turn &other) const
        {
            return virtualTime != other.virtualTime ? virtualTime < other.virtualTime
                                                    : callerSlot < other.callerSlot;
        }
    };

    void enterOrders(std::uint32_t callerSlot, const caller_entry &entry);
    void leaveOrders(std::uint32_t callerSlot, const caller_entry &entry);
    void forgetIdleCallers();

    std::unordered_map<std::uint32_t, caller_entry> m_callers;
    std::set<turn> m_timelyTurns;
    std::set<turn> m_lateTurns;
    std::set<waiting> m_timely;
    std::set<waiting, by_arrival> m_arrivals;
    double m_virtualTime = 0;
    std::size_t m_idleCallers = 0;
};

} // namespace quetzalcleat::policy
