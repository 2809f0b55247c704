#include "LibPolicy/notice_control.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::policy {

namespace {

std::chrono::milliseconds toMilliseconds(core::instant::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

endpoint_use notice_control::use(const core_tables &tables, const endpoint_record &endpoint,
                                 core::instant now)
{
    if (!endpoint.isConfigured())
        return endpoint_use::Gone;
    return tables.notices.use(endpoint.noticeKey, now);
}

void notice_control::updateKey(endpoint_record &endpoint)
{
    endpoint.noticeKey = endpoint.name + '@' + endpoint.description.address.text() + '#'
        + std::to_string(endpoint.incarnation.number());
}

bool notice_control::reportIncarnation(core_tables &tables, endpoint_record &endpoint,
                                       std::uint64_t number)
{
    const auto change = endpoint.incarnation.report(number);
    if (change == endpoint_incarnation::change::None)
        return false;
    const auto before = endpoint.noticeKey;
    updateKey(endpoint);
    endpoint.leftUnnumbered = false;
    if (change == endpoint_incarnation::change::Restarted)
        return true;
    endpoint.leftUnnumbered = tables.notices.isLeaving(before);
    tables.notices.move(before, endpoint.noticeKey);
    return false;
}

void notice_control::reportLeaving(core_tables &tables, const endpoint_record &endpoint,
                                   notice_source source, core::instant now)
{
    auto &notices = tables.notices;
    // A source that lags must not shorten the time that the endpoint itself has begun.
    if (!notices.isLeaving(endpoint.noticeKey))
        notices.reportLeaving(endpoint.noticeKey, {now - notices.limits().drainTime, source, {}},
                              now);
}

bool notice_control::reportAnswer(core_tables &tables, request_record &record,
                                  const answer_notice &answer, core::instant now)
{
    const auto &endpoint = tables.endpoints[record.endpointIndex];
    const auto written = std::exchange(record.written, std::nullopt);
    if (!endpoint.incarnation.isCurrent(record.incarnation))
        return false;
    auto &notices = tables.notices;
    const auto &key = endpoint.noticeKey;
    if (answer.isLeaving)
        notices.reportLeaving(key, {now, notice_source::OwnAnswer, record.requestId}, now);
    if (answer.wait) {
        tables.markPoolsChanged(endpoint);
        return notices.reportWait(key, *answer.wait, record.requestId, now);
    }
    // A refusal counts at the end of the attempt, as one without an answer.
    const bool isAnswered = !answer.isInterim && !answer.isRefusal;
    if (!isAnswered)
        record.written = written;
    const bool moreMayFollow = isAnswered && written && notices.recordAnswer(key, *written);
    if (moreMayFollow || answer.isLeaving)
        tables.markPoolsChanged(endpoint);
    return false;
}

bool notice_control::mayStillSend(const core_tables &tables, const request_record &record,
                                  core::instant now)
{
    const auto &endpoint = tables.endpoints[record.endpointIndex];
    return !record.written || !endpoint.incarnation.isCurrent(record.incarnation)
        || tables.notices.mayStillWrite(endpoint.noticeKey, *record.written, now);
}

std::optional<core::instant>
notice_control::heldOffUntil(const core_tables &tables, const pool_record &pool, core::instant now)
{
    std::optional<core::instant> earliest;
    if (tables.notices.size() == 0)
        return earliest;
    for (const std::uint32_t index : pool.endpoints) {
        const auto &endpoint = tables.endpoints[index];
        const auto allowed = use(tables, endpoint, now);
        if (allowed == endpoint_use::Gone)
            continue;
        const auto wait = tables.notices.wait(endpoint.noticeKey, now);
        // After its wait, an endpoint takes requests one after another: they need not wait long.
        if (allowed != endpoint_use::HeldOff || !wait)
            return std::nullopt;
        earliest = std::min(earliest.value_or(wait->until), wait->until);
    }
    return earliest;
}

std::vector<notice_event> notice_control::takeEvents(core_tables &tables, core::instant now)
{
    std::vector<notice_event> events;
    auto &notices = tables.notices;
    if (notices.size() == 0)
        return events;
    for (auto &[endpoint, notice] : notices.takeNewLeaves())
        events.push_back({notice_event::what::Leaving, endpoint, notice.source, notice.request,
                          toMilliseconds(now - notice.since)});
    for (auto &[endpoint, wait] : notices.takeEndedWaits(now))
        events.push_back({notice_event::what::WaitEnded, endpoint, notice_source::OwnAnswer,
                          wait.request, toMilliseconds(now - wait.since)});
    // The next incarnation of an endpoint without a number cannot be told from the one that left,
    // so that its notices may not stay for good. It repeats them if they still hold.
    const auto isKnown = [&tables](const std::string &key) {
        return std::ranges::any_of(tables.endpoints, [&key](const endpoint_record &endpoint) {
            return endpoint.present && endpoint.noticeKey == key
                && endpoint.incarnation.number() != 0 && !endpoint.leftUnnumbered;
        });
    };
    for (auto &[endpoint, notice] : notices.forgetUnknown(isKnown, now))
        events.push_back({notice_event::what::Forgotten, endpoint, notice.source, notice.request,
                          toMilliseconds(now - notice.since)});
    return events;
}

} // namespace quetzalcleat::policy
