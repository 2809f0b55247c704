#include "LibPolicy/usage_counter.h"

#include <algorithm>

namespace quetzalcleat::policy {

bool usage_counter::record(std::uint64_t window, const std::string &account)
{
    const auto accounts = m_windows.find(window);
    const bool isKnown = accounts != m_windows.end() && accounts->second.contains(account);
    if (!isKnown) {
        if (m_size >= maximumEntries)
            return false;
        ++m_size;
    }
    ++m_windows[window][account].count;
    return true;
}

void usage_counter::advance(std::uint64_t currentWindow)
{
    // Windows that lie far ahead come from a clock that was off, and would never be reported.
    const auto isKept = [&](std::uint64_t window) {
        return window + m_keptWindows > currentWindow && window < currentWindow + m_keptWindows;
    };
    for (auto entry = m_windows.begin(); entry != m_windows.end();) {
        if (isKept(entry->first)) {
            ++entry;
            continue;
        }
        m_size -= entry->second.size();
        entry = m_windows.erase(entry);
    }
}

std::vector<usage_entry> usage_counter::changes(std::size_t maximum) const
{
    std::vector<usage_entry> entries;
    for (const auto &[window, accounts] : m_windows) {
        for (const auto &[account, each] : accounts) {
            if (each.count == each.acknowledged)
                continue;
            if (entries.size() >= maximum)
                return entries;
            entries.push_back({window, account, each.count});
        }
    }
    return entries;
}

void usage_counter::acknowledge(const std::vector<usage_entry> &entries)
{
    for (const auto &entry : entries) {
        const auto accounts = m_windows.find(entry.window);
        if (accounts == m_windows.end())
            continue;
        const auto found = accounts->second.find(entry.account);
        if (found != accounts->second.end())
            found->second.acknowledged = std::max(found->second.acknowledged, entry.count);
    }
}

void usage_counter::reportAgain()
{
    for (auto &[window, accounts] : m_windows) {
        for (auto &[account, each] : accounts)
            each.acknowledged = 0;
    }
}

} // namespace quetzalcleat::policy
