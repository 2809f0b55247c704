#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

/// Requests of one client account in one usage window.
struct usage_entry
{
    std::uint64_t window = 0;
    std::string account;
    std::uint64_t count = 0;

    bool operator==(const usage_entry &) const = default;
};

/// Counts the requests that endpoints began to run for one entry host, by usage window and client
/// account. The counts are cumulative, so a report may be lost, repeated or overtaken.
class usage_counter
{
public:
    /// Of distinct windows and accounts; those beyond it are not counted. With 24 accounts and 12
    /// windows there are 288.
    static constexpr std::size_t maximumEntries = 20'000;

    /// `keptWindows`: how many windows are kept for a new leader, including the current one.
    explicit usage_counter(std::uint64_t keptWindows) : m_keptWindows(keptWindows) { }

    /// Returns false if there is no room for the entry.
    bool record(std::uint64_t window, const std::string &account);

    /// Forgets the windows that are no longer kept.
    void advance(std::uint64_t currentWindow);

    /// Entries that changed since the acknowledged ones, the oldest windows first.
    std::vector<usage_entry> changes(std::size_t maximum) const;

    /// The receiver has these entries.
    void acknowledge(const std::vector<usage_entry> &entries);

    /// The receiver has changed and needs all of them.
    void reportAgain();

    std::size_t size() const { return m_size; }

private:
    struct counter
    {
        std::uint64_t count = 0;
        std::uint64_t acknowledged = 0;
    };

    std::uint64_t m_keptWindows;
    std::map<std::uint64_t, std::map<std::string, counter>> m_windows;
    std::size_t m_size = 0;
};

} // namespace quetzalcleat::policy
