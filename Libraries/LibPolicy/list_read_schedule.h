#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstdint>

namespace quetzalcleat::policy {

struct list_read_options
{
    /// Between two reads of the whole list, and after a failure for another reason than the limit.
    std::chrono::milliseconds interval{1000};
    /// After a page that was refused because of the source's limit of calls; doubled each time.
    std::chrono::milliseconds limitedDelay{5000};
    std::chrono::milliseconds longestDelay{20'000};
    /// A read that is older starts again from the first page, as the list has changed meanwhile.
    std::chrono::milliseconds resumeTime{10'000};
};

/// When to read the next page of a list whose source limits the calls of all its readers together.
///
/// Designed for hundreds of hosts that start at the same moment and each need many pages: if all of
/// them read again at once after a refusal, from the first page, none ever gets the last one. A
/// read goes on where it was refused, and hosts for which another one reads the list give way for
/// longer.
///
/// Reads no clock and draws no random numbers.
class list_read_schedule
{
public:
    explicit list_read_schedule(list_read_options options) : m_options(options) { }

    struct next_read
    {
        std::chrono::milliseconds delay{0};
        bool resumes = false; ///< With the page that failed; otherwise from the first page.
    };

    enum class page_failure {
        Limited, ///< The source's limit of calls is reached.
        Other,
    };

    void setInterval(std::chrono::milliseconds interval) { m_options.interval = interval; }
    std::chrono::milliseconds interval() const { return m_options.interval; }

    void handleStart(core::instant now) { m_started = now; }
    void handleWholeList() { m_refusals = 0; }

    /// `random` is at least 0 and below 1; it spreads hosts that were refused at the same moment.
    next_read handleFailure(page_failure failure, double random, core::instant now);

private:
    list_read_options m_options;
    core::instant m_started;
    std::uint32_t m_refusals = 0; ///< Since the last whole list.
};

} // namespace quetzalcleat::policy
