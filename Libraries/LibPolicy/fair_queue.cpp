#include "LibPolicy/fair_queue.h"

#include <algorithm>

namespace quetzalcleat::policy {

void fair_queue::insertTurns(std::uint32_t accountIndex, const account_entry &entry)
{
    if (!entry.timely.empty())
        m_timelyTurns.insert({entry.virtualTime, accountIndex});
    if (!entry.late.empty())
        m_lateTurns.insert({entry.virtualTime, accountIndex});
}

void fair_queue::eraseTurns(std::uint32_t accountIndex, const account_entry &entry)
{
    m_timelyTurns.erase({entry.virtualTime, accountIndex});
    m_lateTurns.erase({entry.virtualTime, accountIndex});
}

void fair_queue::push(const queue_entry &entry)
{
    auto [position, isNew] = m_accounts.try_emplace(entry.accountIndex);
    auto &account = position->second;
    if (account.queued() == 0) {
        // An account earns no credit for the time without requests.
        account.virtualTime = std::max(account.virtualTime, m_virtualTime);
        if (!isNew)
            --m_idleAccounts;
        account.timely.insert(entry);
        insertTurns(entry.accountIndex, account);
    } else {
        account.timely.insert(entry);
        m_timelyTurns.insert({account.virtualTime, entry.accountIndex});
    }
    m_timely.insert(entry);
    m_arrivals.insert(entry);
}

void fair_queue::remove(const queue_entry &entry)
{
    const auto position = m_accounts.find(entry.accountIndex);
    if (position == m_accounts.end() || m_arrivals.erase(entry) == 0)
        return;
    auto &account = position->second;
    eraseTurns(entry.accountIndex, account);
    if (account.timely.erase(entry) > 0)
        m_timely.erase(entry);
    else
        account.late.erase(entry);
    insertTurns(entry.accountIndex, account);
    if (account.queued() == 0) {
        ++m_idleAccounts;
        forgetIdleAccounts();
    }
}

void fair_queue::forgetIdleAccounts()
{
    // An idle account is kept while its virtual time is ahead; otherwise emptying its queue briefly
    // would reset the work charged to it.
    constexpr std::size_t idleAccountsBeforeSweep = 64;
    if (m_idleAccounts < idleAccountsBeforeSweep)
        return;
    m_idleAccounts -= std::erase_if(m_accounts, [this](const auto &entry) {
        return entry.second.queued() == 0 && entry.second.virtualTime <= m_virtualTime;
    });
}

void fair_queue::moveLateRequestsBack(core::instant now)
{
    while (!m_timely.empty() && m_timely.begin()->due < now) {
        const queue_entry entry = *m_timely.begin();
        m_timely.erase(m_timely.begin());
        auto &account = m_accounts.at(entry.accountIndex);
        eraseTurns(entry.accountIndex, account);
        account.timely.erase(entry);
        account.late.insert(entry);
        insertTurns(entry.accountIndex, account);
    }
}

std::optional<fair_queue::queue_entry> fair_queue::next(const account_filter &allows) const
{
    for (const auto &[virtualTime, accountIndex] : m_timelyTurns)
        if (allows(accountIndex))
            return *m_accounts.at(accountIndex).timely.begin();
    for (const auto &[virtualTime, accountIndex] : m_lateTurns)
        if (allows(accountIndex))
            return *m_accounts.at(accountIndex).late.begin();
    return std::nullopt;
}

std::optional<fair_queue::queue_entry> fair_queue::oldest(const account_filter &allows) const
{
    for (const auto &entry : m_arrivals)
        if (allows(entry.accountIndex))
            return entry;
    return std::nullopt;
}

void fair_queue::charge(std::uint32_t accountIndex, double work)
{
    const auto position = m_accounts.find(accountIndex);
    if (position == m_accounts.end())
        return;
    auto &account = position->second;
    eraseTurns(accountIndex, account);
    account.virtualTime += work;
    insertTurns(accountIndex, account);
}

void fair_queue::advanceVirtualTime(std::uint32_t accountIndex)
{
    const auto position = m_accounts.find(accountIndex);
    if (position != m_accounts.end())
        m_virtualTime = std::max(m_virtualTime, position->second.virtualTime);
}

std::optional<core::instant> fair_queue::earliestDue() const
{
    if (m_timely.empty())
        return std::nullopt;
    return m_timely.begin()->due;
}

std::vector<fair_queue::account_count> fair_queue::accounts() const
{
    std::vector<account_count> counts;
    for (const auto &[accountIndex, entry] : m_accounts) {
        if (entry.queued() > 0)
            counts.push_back({accountIndex, entry.queued()});
    }
    return counts;
}

std::uint32_t fair_queue::queuedOf(std::uint32_t accountIndex) const
{
    const auto found = m_accounts.find(accountIndex);
    return found == m_accounts.end() ? 0 : found->second.queued();
}

} // namespace quetzalcleat::policy
