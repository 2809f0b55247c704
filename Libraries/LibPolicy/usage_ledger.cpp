#include "LibPolicy/usage_ledger.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

using std::chrono::milliseconds;

/// A host without reports for longer is taken to be gone, and no window waits for it.
constexpr milliseconds hostLifetime{10'000};

milliseconds sinceEpoch(core::wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace

std::uint64_t usage_ledger_options::windowAt(core::wall_time time) const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch(time) / window, 0));
}

std::uint64_t usage_ledger_options::keptWindows() const
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(maximumAge / window, 1));
}

void usage_ledger::record(const std::string &host, std::uint64_t incarnation,
                          const std::vector<usage_entry> &entries, core::instant now)
{
    std::erase_if(m_lastReports,
                  [&](const auto &known) { return now - known.second > hostLifetime; });
    m_lastReports[host] = now;
    for (const auto &entry : entries) {
        const bool isClosed = m_newestClosed && entry.window <= *m_newestClosed;
        if (isClosed && !m_windows.contains(entry.window))
            continue;
        auto &known = m_windows[entry.window][entry.account];
        const process sender{host, incarnation};
        auto found = known.find(sender);
        if (found == known.end()) {
            if (m_size >= maximumEntries)
                continue;
            ++m_size;
            found = known.emplace(sender, 0).first;
        }
        if (isClosed && entry.count > found->second)
            m_lateCount += entry.count - found->second;
        found->second = std::max(found->second, entry.count);
    }
}

bool usage_ledger::haveAllReported(core::instant since, core::instant now) const
{
    return std::all_of(m_lastReports.begin(), m_lastReports.end(), [&](const auto &entry) {
        return entry.second >= since || now - entry.second > hostLifetime;
    });
}

std::optional<usage_ledger::closable_window>
usage_ledger::next(std::optional<std::uint64_t> newestClosed, core::wall_time time,
                   core::instant now) const
{
    const auto current = m_options.windowAt(time);
    const auto oldest = current - std::min(current, m_options.keptWindows());
    // Without an agreed window, the first one is that of the first count. What came before was not
    // counted.
    std::uint64_t window = newestClosed ? *newestClosed + 1 : current;
    if (!newestClosed && !m_windows.empty())
        window = std::min(current, m_windows.begin()->first);
    window = std::max(window, oldest);
    const auto end = m_options.window * static_cast<std::int64_t>(window + 1);
    const auto sinceEnd = sinceEpoch(time) - end;
    if (sinceEnd < m_options.collectionTime || now - m_begunAt < m_options.startTime)
        return std::nullopt;
    // Half a second covers a report that was sent before the end of the window and arrived after.
    constexpr milliseconds transit{500};
    closable_window result;
    result.window = window;
    result.isComplete = haveAllReported(now - sinceEnd + transit, now);
    if (!result.isComplete && sinceEnd < m_options.due - m_options.sendTime)
        return std::nullopt;
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return result;
    for (const auto &[account, processes] : found->second) {
        for (const auto &[sender, count] : processes)
            result.content[account] += count;
    }
    return result;
}

void usage_ledger::closed(std::uint64_t newestClosed)
{
    m_newestClosed = newestClosed;
    // The newest one is kept for lateCount().
    while (!m_windows.empty() && m_windows.begin()->first < newestClosed) {
        for (const auto &[account, processes] : m_windows.begin()->second)
            m_size -= processes.size();
        m_windows.erase(m_windows.begin());
    }
}

} // namespace quetzalcleat::policy
