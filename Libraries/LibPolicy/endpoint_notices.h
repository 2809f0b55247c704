#pragma once

#include "LibCore/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// Where the notice came from that an endpoint is leaving.
enum class notice_source {
    EndpointList,
    OwnAnswer, ///< Of the endpoint, to a request of a caller.
    HealthAnswer,
    OperatorEdit,
    OtherIncarnation, ///< Another incarnation answered at its address, so this one has ended.
};

std::string_view toString(notice_source source);

/// Whether an endpoint may be sent a request.
enum class endpoint_use {
    Free,
    /// It is leaving and takes requests only if no other endpoint can. Not if the endpoint list
    /// said so first, as it does not tell since when.
    LastResort,
    HeldOff, ///< It wants no request yet.
    Gone, ///< It is leaving and must not be sent anything anymore.
};

/// How the value of a Retry-After header was understood.
enum class wait_reading {
    Exact,
    Unreadable, ///< A date or no number; replaced by notice_limits::unreadableWait.
    Negative, ///< Replaced by notice_limits::unreadableWait.
    TooLong, ///< Shortened to notice_limits::longestWait.
};

std::string_view toString(wait_reading reading);

struct notice_limits
{
    /// After its notice, a leaving endpoint may be sent requests for this long, less the margin.
    std::chrono::milliseconds drainTime{4000};
    /// For the time between the decision to send a request and its arrival at the endpoint.
    std::chrono::milliseconds drainMargin{500};
    /// Time between the state that a list shows and the use of the list, at most.
    std::chrono::milliseconds listAge{3500};
    /// Bound of Retry-After, so that a faulty value does not take an endpoint out for good.
    std::chrono::milliseconds longestWait{60'000};
    /// Replaces a Retry-After that is not a number of seconds.
    std::chrono::milliseconds unreadableWait{1000};
    /// After a wait, the next request is sent without an answer to the one before after this time,
    /// so that a slow answer does not keep the endpoint out of use.
    std::chrono::milliseconds returnInterval{500};
    /// Unanswered requests at which an endpoint that accepts requests after a wait is free again.
    std::uint32_t returnedRequests = 8;
    /// Notices of incarnations that are no longer known are kept for this long, because a list that
    /// lags may name them again.
    std::chrono::milliseconds retention{600'000};
    /// Upper bound of the incarnations with notices; those heard of least recently are forgotten.
    std::size_t maximumRecords = 10'000;
};

/// A wait that an endpoint asked for by Retry-After.
struct announced_wait
{
    std::chrono::milliseconds length{0};
    wait_reading reading = wait_reading::Exact;
};

/// Reads a Retry-After in seconds, which may have fractions.
announced_wait readRetryAfter(std::string_view value, const notice_limits &limits);

struct leaving_notice
{
    /// Start of the drain time. For a notice that arrives late, the last time at which the endpoint
    /// was known not to be leaving.
    core::instant since;
    notice_source source = notice_source::EndpointList;
    std::string request; ///< Whose answer carried it, up to maximumRequestIdLength; may be empty.
};

struct wait_notice
{
    core::instant since; ///< When the endpoint first asked for it.
    core::instant until;
    std::string request; ///< Whose answer set `until`, up to maximumRequestIdLength.
};

/// A written request, from tryWrite() until it is answered or ends otherwise.
struct written_request
{
    std::uint64_t waits = 0; ///< Of its endpoint, before it was written.
    bool isLastResort = false; ///< Its endpoint was leaving.
};

/// What endpoints say of themselves: that they are leaving, and that they want no request for some
/// time. All decisions whether a request may be sent to an endpoint ask this table.
///
/// Keyed by the incarnation of an endpoint, so that a new incarnation begins without notices and a
/// late answer of an earlier one has no effect on it. If an endpoint starts again under the
/// identity that it had, reportList() finds out. The caller passes in only answers that name
/// their request. Does no I/O and reads no clock.
class endpoint_notices
{
public:
    /// Longer request ids are cut, as callers choose them.
    static constexpr std::size_t maximumRequestIdLength = 64;

    explicit endpoint_notices(notice_limits limits = {}) : m_limits(limits) { }

    const notice_limits &limits() const { return m_limits; }
    void setDrainTime(std::chrono::milliseconds drainTime) { m_limits.drainTime = drainTime; }

    /// Returns whether this is the first notice. The first one stays. A later one can only shorten
    /// the time in which the endpoint may be used: if it begins earlier, or if another incarnation
    /// has the address.
    bool reportLeaving(const std::string &incarnation, leaving_notice notice, core::instant now);

    /// The incarnation is known under another name from now on. Ignored if that has notices.
    void move(const std::string &from, const std::string &to);

    /// A shorter wait does not end a longer one. Returns whether the endpoint was not held off.
    bool reportWait(const std::string &incarnation, std::chrono::milliseconds wait,
                    std::string_view request, core::instant now);

    endpoint_use use(const std::string &incarnation, core::instant now) const;
    bool isLeaving(const std::string &incarnation) const;
    std::optional<leaving_notice> leaving(const std::string &incarnation) const;
    /// The wait in progress.
    std::optional<wait_notice> wait(const std::string &incarnation, core::instant now) const;

    /// When an endpoint that is held off takes the next request at the latest, if it says no more.
    core::instant nextUse(const std::string &incarnation, core::instant now) const;

    /// To be called when a request is placed at the endpoint. Empty if it must not be written.
    std::optional<written_request> tryWrite(const std::string &incarnation, core::instant now);
    /// Whether a request that was placed before may still be written. To be called directly before
    /// the write, as notices may arrive while a connection is opened.
    bool mayStillWrite(const std::string &incarnation, written_request request,
                       core::instant now) const;
    /// The answer to a written request began. To be called once, after the notices of the answer.
    /// Returns whether more requests may return after a wait.
    bool recordAnswer(const std::string &incarnation, written_request request);
    /// A written request ended without an answer, or was refused. Returns whether another request
    /// may follow it after a wait.
    bool recordLoss(const std::string &incarnation, written_request request);

    struct new_leave
    {
        std::string incarnation;
        leaving_notice notice;
    };
    /// First notices of leaving that were not returned before.
    std::vector<new_leave> takeNewLeaves();

    /// A wait that has ended and was not returned before, with its endpoint.
    struct ended_wait
    {
        std::string incarnation;
        wait_notice wait;
    };
    std::vector<ended_wait> takeEndedWaits(core::instant now);

    /// A leaving endpoint that was forgotten.
    struct ended_leave
    {
        std::string incarnation;
        leaving_notice notice;
    };
    /// Forgets the incarnations that are not known anymore and had no notice for the retention.
    std::vector<ended_leave>
    forgetUnknown(const std::function<bool(const std::string &incarnation)> &isKnown,
                  core::instant now);

    /// To be called for each list of endpoints, and when one is confirmed. `isStaying` returns
    /// whether it names the incarnation as not leaving, at the address that it had; `isRecent` says
    /// that it is not older than notice_limits::listAge.
    ///
    /// An endpoint that leaves does not stay again, but a list that lags may say so. Hence one that
    /// a recent list names as staying has started again under its identity if the last list that
    /// did not is older than listAge, and its drain time is over. Returns these; they begin without
    /// notices.
    std::vector<ended_leave>
    reportList(const std::function<bool(const std::string &incarnation)> &isStaying, bool isRecent,
               core::instant now);

    std::size_t size() const { return m_records.size(); }
    std::size_t leavingCount() const;
    std::size_t heldOffCount(core::instant now) const;

private:
    struct record
    {
        std::optional<leaving_notice> leaving;
        core::instant drainStart; ///< The earliest of all notices; only if leaving.
        bool hasEnded = false; ///< Another incarnation has its address.
        std::optional<core::instant> lastAbsence; ///< When a list last said that it does not stay.
        std::optional<wait_notice> wait; ///< Kept until requests have returned.
        bool waitEndTaken = false;
        std::uint64_t waits = 0;
        std::uint32_t unanswered = 0; ///< Written since the last wait.
        std::uint32_t allowed = 1; ///< Unanswered requests, after a wait.
        std::optional<core::instant> lastWritten; ///< Since the last wait.
        core::instant lastReport;
    };

    record &recordOf(const std::string &incarnation, core::instant now);
    void forgetOldest();
    bool isGone(const record &entry, core::instant now) const;
    core::instant nextUse(const record &entry, core::instant now) const;
    record *find(const std::string &incarnation, written_request request);

    notice_limits m_limits;
    std::map<std::string, record> m_records;
    std::vector<std::string> m_newLeaves; ///< Incarnations; bounded by maximumRecords.
};

} // namespace quetzalcleat::policy
