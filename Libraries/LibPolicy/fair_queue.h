#pragma once

#include "LibPolicy/policy_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace quetzalcleat::policy {

/// Waiting requests of one class in one pool.
///
/// Accounts take turns by start-time fair queueing over their work in tokens (Goyal, Vin, Cheng,
/// 1996), so that a large account does not crowd out the others. Within an account the earliest
/// due time goes first. Requests past their due time go after those that can still meet it, because
/// earliest-deadline order alone misses nearly every target in overload.
class fair_queue
{
public:
    struct queue_entry
    {
        core::instant due;
        request_id request;
        std::uint32_t accountIndex = 0;

        bool operator<(const queue_entry &other) const
        {
            return due != other.due ? due < other.due : request < other.request;
        }
    };

    using account_filter = std::function<bool(std::uint32_t accountIndex)>;

    void push(const queue_entry &entry);
    void remove(const queue_entry &entry);

    /// Moves requests whose due time has passed behind the others.
    void moveLateRequestsBack(core::instant now);

    /// The next request in the order of fair queueing, among the accounts that pass the filter.
    std::optional<queue_entry> next(const account_filter &allows) const;

    /// The request that arrived first, among the accounts that pass the filter.
    std::optional<queue_entry> oldest(const account_filter &allows) const;

    /// Id of the request that arrived first. Precondition: not empty.
    request_id firstArrival() const { return m_arrivals.begin()->request; }

    /// Adds work to the account's virtual time; a negative amount corrects an estimate.
    void charge(std::uint32_t accountIndex, double work);

    /// Advances the virtual time of the queue, at which new accounts start, to that of the account
    /// whose request is dispatched.
    void advanceVirtualTime(std::uint32_t accountIndex);

    /// Earliest due time of the requests that are not late, if there are any.
    std::optional<core::instant> earliestDue() const;

    struct account_count
    {
        std::uint32_t accountIndex = 0;
        std::uint32_t queued = 0;
    };

    /// All accounts that have waiting requests.
    std::vector<account_count> accounts() const;
    std::uint32_t queuedOf(std::uint32_t accountIndex) const;

    /// Visits the account's requests until `visit` returns true, the one whose removal costs least
    /// first: by latest due time, late requests last. Precondition: the account has requests.
    template <typename Visitor>
    void visitInSheddingOrder(std::uint32_t accountIndex, Visitor visit) const
    {
        const auto &entry = m_accounts.at(accountIndex);
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
    struct account_entry
    {
        double virtualTime = 0;
        std::set<queue_entry> timely;
        std::set<queue_entry> late;

        std::uint32_t queued() const
        {
            return static_cast<std::uint32_t>(timely.size() + late.size());
        }
    };

    struct by_arrival
    {
        bool operator()(const queue_entry &left, const queue_entry &right) const
        {
            return left.request < right.request;
        }
    };

    struct turn
    {
        double virtualTime = 0;
        std::uint32_t accountIndex = 0;

        bool operator<(const turn &other) const
        {
            return virtualTime != other.virtualTime ? virtualTime < other.virtualTime
                                                    : accountIndex < other.accountIndex;
        }
    };

    void insertTurns(std::uint32_t accountIndex, const account_entry &entry);
    void eraseTurns(std::uint32_t accountIndex, const account_entry &entry);
    void forgetIdleAccounts();

    std::unordered_map<std::uint32_t, account_entry> m_accounts;
    std::set<turn> m_timelyTurns;
    std::set<turn> m_lateTurns;
    std::set<queue_entry> m_timely;
    std::set<queue_entry, by_arrival> m_arrivals;
    double m_virtualTime = 0;
    std::size_t m_idleAccounts = 0;
};

} // namespace quetzalcleat::policy
