#pragma once

#include "LibCore/time.h"
#include "LibPolicy/usage_counter.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzalcleat::policy {

struct usage_ledger_options
{
    std::chrono::milliseconds window{5000};
    std::chrono::milliseconds due{10'000}; ///< A report is due so long after its window.
    /// After the end of a window, for the last reports of the hosts. Hosts report at least every
    /// second, and one report may be lost.
    std::chrono::milliseconds collectionTime{3000};
    /// A new leader waits so long for the hosts to report to it.
    std::chrono::milliseconds startTime{3000};
    /// Reserved before a report is due for agreeing on the counts and sending them.
    std::chrono::milliseconds sendTime{3000};
    /// Windows that ended earlier are not closed any more.
    std::chrono::milliseconds maximumAge{60'000};

    std::uint64_t windowAt(core::wall_time time) const;
    /// Windows within maximumAge, at least 1.
    std::uint64_t keptWindows() const;
};

/// Sums the counts of all hosts at the leader, and decides when a window is complete.
///
/// Does no I/O; time is passed in.
class usage_ledger
{
public:
    using counts = std::map<std::string, std::uint64_t>;

    struct closable_window
    {
        std::uint64_t window = 0;
        counts content;
        bool isComplete = false; ///< All hosts have reported since its end.
    };

    /// Of all hosts; a report beyond it is cut off.
    static constexpr std::size_t maximumEntries = 400'000;

    explicit usage_ledger(usage_ledger_options options) : m_options(options) { }

    /// This host has begun to lead. What it knows from an earlier time as the leader is kept: it
    /// may be too low, never too high.
    void begin(core::instant now) { m_begunAt = now; }

    /// A report of a process of a host, which arrived now, at this true time if that is known.
    void record(const std::string &host, std::uint64_t incarnation,
                const std::vector<usage_entry> &entries, core::instant now);

    /// The next window to close at this true time, if it is time for it. `newestClosed` is the one
    /// agreed on last.
    std::optional<closable_window> next(std::optional<std::uint64_t> newestClosed,
                                        core::wall_time time, core::instant now) const;

    /// Forgets what was counted in windows that are closed, up to this one.
    void closed(std::uint64_t newestClosed);

    /// Requests that were reported too late to be in the agreed counts, as far as they arrived
    /// before the next window was closed.
    std::uint64_t lateCount() const { return m_lateCount; }

    std::size_t size() const { return m_size; }

private:
    using process = std::pair<std::string, std::uint64_t>; ///< Host and incarnation.

    bool haveAllReported(core::instant since, core::instant now) const;

    usage_ledger_options m_options;
    core::instant m_begunAt;
    std::optional<std::uint64_t> m_newestClosed;
    /// By window, account and process.
    std::map<std::uint64_t, std::map<std::string, std::map<process, std::uint64_t>>> m_windows;
    std::map<std::string, core::instant> m_lastReports; ///< By host.
    std::size_t m_size = 0;
    std::uint64_t m_lateCount = 0;
};

} // namespace quetzalcleat::policy
