#include "LibPolicy/endpoint_notices.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzalcleat::policy {

namespace {

/// Share of the records that is forgotten at once when there are too many, so that the search for
/// the oldest does not run for each new one.
constexpr std::size_t forgottenShare = 8;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view spaces = " \t";
    const auto first = text.find_first_not_of(spaces);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(spaces) - first + 1);
}

} // namespace

std::string_view toString(notice_source source)
{
    switch (source) {
    case notice_source::EndpointList:
        return "list";
    case notice_source::OwnAnswer:
        return "answer";
    case notice_source::HealthAnswer:
        return "health_answer";
    case notice_source::OperatorEdit:
        return "operator";
    case notice_source::OtherIncarnation:
        return "other_incarnation";
    }
    return "unknown";
}

std::string_view toString(wait_reading reading)
{
    switch (reading) {
    case wait_reading::Exact:
        return "exact";
    case wait_reading::Unreadable:
        return "no_number_of_seconds";
    case wait_reading::Negative:
        return "negative";
    case wait_reading::TooLong:
        return "too_long";
    }
    return "unknown";
}

announced_wait readRetryAfter(std::string_view value, const notice_limits &limits)
{
    constexpr double millisecondsInSecond = 1000;
    const auto text = trimmed(value);
    double seconds = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (parsed.ec == std::errc::result_out_of_range && parsed.ptr == end)
        return {limits.longestWait, wait_reading::TooLong};
    // "nan" and "inf" are numbers for from_chars().
    const bool hasDigit = text.find_first_of("0123456789") != std::string_view::npos;
    if (parsed.ec != std::errc() || parsed.ptr != end || !hasDigit)
        return {limits.unreadableWait, wait_reading::Unreadable};
    if (seconds < 0)
        return {limits.unreadableWait, wait_reading::Negative};
    if (seconds * millisecondsInSecond > static_cast<double>(limits.longestWait.count()))
        return {limits.longestWait, wait_reading::TooLong};
    const std::chrono::duration<double, std::milli> exact(seconds * millisecondsInSecond);
    return {std::chrono::ceil<std::chrono::milliseconds>(exact), wait_reading::Exact};
}

bool endpoint_notices::reportLeaving(const std::string &incarnation, leaving_notice notice,
                                     core::instant now)
{
    auto &entry = recordOf(incarnation, now);
    entry.hasEnded = entry.hasEnded || notice.source == notice_source::OtherIncarnation;
    if (entry.leaving) {
        entry.drainStart = std::min(entry.drainStart, notice.since);
        return false;
    }
    notice.request.resize(std::min(notice.request.size(), maximumRequestIdLength));
    entry.drainStart = notice.since;
    entry.leaving = std::move(notice);
    if (m_newLeaves.size() < m_limits.maximumRecords)
        m_newLeaves.push_back(incarnation);
    return true;
}

void endpoint_notices::move(const std::string &from, const std::string &to)
{
    if (m_records.contains(to))
        return;
    auto node = m_records.extract(from);
    if (node.empty())
        return;
    node.key() = to;
    m_records.insert(std::move(node));
    std::replace(m_newLeaves.begin(), m_newLeaves.end(), from, to);
}

bool endpoint_notices::reportWait(const std::string &incarnation, std::chrono::milliseconds wait,
                                  std::string_view request, core::instant now)
{
    auto &entry = recordOf(incarnation, now);
    const auto until = now + std::clamp(wait, std::chrono::milliseconds(0), m_limits.longestWait);
    const bool begins = !entry.wait || entry.wait->until <= now;
    if (begins || entry.wait->until < until) {
        const auto since = begins ? now : entry.wait->since;
        entry.wait = {since, until, std::string(request.substr(0, maximumRequestIdLength))};
        entry.waitEndTaken = false;
    }
    ++entry.waits;
    entry.unanswered = 0;
    entry.allowed = 1;
    entry.lastWritten.reset();
    return begins;
}

endpoint_use endpoint_notices::use(const std::string &incarnation, core::instant now) const
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end())
        return endpoint_use::Free;
    const auto &entry = found->second;
    if (isGone(entry, now))
        return endpoint_use::Gone;
    if (nextUse(entry, now) > now)
        return endpoint_use::HeldOff;
    return entry.leaving ? endpoint_use::LastResort : endpoint_use::Free;
}

bool endpoint_notices::isLeaving(const std::string &incarnation) const
{
    const auto found = m_records.find(incarnation);
    return found != m_records.end() && found->second.leaving.has_value();
}

std::optional<leaving_notice> endpoint_notices::leaving(const std::string &incarnation) const
{
    const auto found = m_records.find(incarnation);
    return found == m_records.end() ? std::nullopt : found->second.leaving;
}

std::optional<wait_notice> endpoint_notices::wait(const std::string &incarnation,
                                                  core::instant now) const
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end() || !found->second.wait || found->second.wait->until <= now)
        return std::nullopt;
    return found->second.wait;
}

core::instant endpoint_notices::nextUse(const std::string &incarnation, core::instant now) const
{
    const auto found = m_records.find(incarnation);
    return found == m_records.end() ? now : nextUse(found->second, now);
}

core::instant endpoint_notices::nextUse(const record &entry, core::instant now) const
{
    if (!entry.wait)
        return now;
    if (entry.wait->until > now)
        return entry.wait->until;
    if (entry.unanswered < entry.allowed || !entry.lastWritten)
        return now;
    return std::max(now, *entry.lastWritten + m_limits.returnInterval);
}

std::optional<written_request> endpoint_notices::tryWrite(const std::string &incarnation,
                                                          core::instant now)
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end())
        return written_request{};
    const auto allowed = use(incarnation, now);
    if (allowed == endpoint_use::Gone || allowed == endpoint_use::HeldOff)
        return std::nullopt;
    auto &entry = found->second;
    ++entry.unanswered;
    entry.lastWritten = now;
    return written_request{entry.waits, entry.leaving.has_value()};
}

bool endpoint_notices::mayStillWrite(const std::string &incarnation, written_request request,
                                     core::instant now) const
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end())
        return true;
    const auto &entry = found->second;
    return entry.waits == request.waits && entry.leaving.has_value() == request.isLastResort
        && !isGone(entry, now);
}

bool endpoint_notices::recordAnswer(const std::string &incarnation, written_request request)
{
    auto *entry = find(incarnation, request);
    if (entry == nullptr)
        return false;
    --entry->unanswered;
    const bool isReturning = entry->wait.has_value();
    // Doubles the number within the time of an answer.
    if (++entry->allowed > m_limits.returnedRequests && entry->waitEndTaken)
        entry->wait.reset();
    return isReturning;
}

bool endpoint_notices::recordLoss(const std::string &incarnation, written_request request)
{
    auto *entry = find(incarnation, request);
    if (entry == nullptr)
        return false;
    --entry->unanswered;
    return entry->wait.has_value();
}

/// Null if the endpoint has asked for a wait since the request was written.
endpoint_notices::record *endpoint_notices::find(const std::string &incarnation,
                                                 written_request request)
{
    const auto found = m_records.find(incarnation);
    if (found == m_records.end() || found->second.waits != request.waits
        || found->second.unanswered == 0)
        return nullptr;
    return &found->second;
}

std::vector<endpoint_notices::new_leave> endpoint_notices::takeNewLeaves()
{
    std::vector<new_leave> leaves;
    for (auto &incarnation : std::exchange(m_newLeaves, {})) {
        if (auto notice = leaving(incarnation))
            leaves.push_back({std::move(incarnation), std::move(*notice)});
    }
    return leaves;
}

std::vector<endpoint_notices::ended_wait> endpoint_notices::takeEndedWaits(core::instant now)
{
    std::vector<ended_wait> ended;
    for (auto &[incarnation, entry] : m_records) {
        if (!entry.wait || entry.waitEndTaken || entry.wait->until > now)
            continue;
        entry.waitEndTaken = true;
        ended.push_back({incarnation, *entry.wait});
        if (entry.allowed > m_limits.returnedRequests)
            entry.wait.reset();
    }
    return ended;
}

std::vector<endpoint_notices::ended_leave>
endpoint_notices::forgetUnknown(const std::function<bool(const std::string &incarnation)> &isKnown,
                                core::instant now)
{
    std::vector<ended_leave> ended;
    std::erase_if(m_records, [&](const auto &item) {
        const auto &[incarnation, entry] = item;
        const bool isHeldOff = entry.wait && entry.wait->until > now;
        if (isKnown(incarnation) || isHeldOff || now - entry.lastReport < m_limits.retention)
            return false;
        if (entry.leaving)
            ended.push_back({incarnation, *entry.leaving});
        return true;
    });
    return ended;
}

std::vector<endpoint_notices::ended_leave>
endpoint_notices::reportList(const std::function<bool(const std::string &incarnation)> &isStaying,
                             bool isRecent, core::instant now)
{
    std::vector<ended_leave> started;
    for (auto &[incarnation, entry] : m_records) {
        if (!entry.leaving)
            continue;
        if (!isStaying(incarnation))
            entry.lastAbsence = now;
        else if (isRecent && entry.lastAbsence && now - *entry.lastAbsence > m_limits.listAge
                 && now - entry.leaving->since > m_limits.drainTime + m_limits.listAge)
            started.push_back({incarnation, *entry.leaving});
    }
    for (const auto &entry : started)
        m_records.erase(entry.incarnation);
    return started;
}

std::size_t endpoint_notices::leavingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto &item) { return item.second.leaving.has_value(); }));
}

std::size_t endpoint_notices::heldOffCount(core::instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [&](const auto &item) {
            return item.second.wait && item.second.wait->until > now;
        }));
}

endpoint_notices::record &endpoint_notices::recordOf(const std::string &incarnation,
                                                     core::instant now)
{
    if (m_records.size() >= m_limits.maximumRecords && !m_records.contains(incarnation))
        forgetOldest();
    auto &entry = m_records[incarnation];
    entry.lastReport = now;
    return entry;
}

void endpoint_notices::forgetOldest()
{
    std::vector<core::instant> reports;
    reports.reserve(m_records.size());
    for (const auto &[incarnation, entry] : m_records)
        reports.push_back(entry.lastReport);
    auto count = reports.size() / forgottenShare + 1;
    const auto position = reports.begin() + static_cast<std::ptrdiff_t>(count - 1);
    std::nth_element(reports.begin(), position, reports.end());
    const auto newestForgotten = *position;
    std::erase_if(m_records, [&](const auto &item) {
        if (count == 0 || item.second.lastReport > newestForgotten)
            return false;
        --count;
        return true;
    });
}

bool endpoint_notices::isGone(const record &entry, core::instant now) const
{
    if (!entry.leaving)
        return false;
    return entry.hasEnded || entry.leaving->source == notice_source::EndpointList
        || now >= entry.drainStart
            + std::max(m_limits.drainTime - m_limits.drainMargin, std::chrono::milliseconds(0));
}

} // namespace quetzalcleat::policy
