#include "LibForward/notice_recorder.h"

namespace quetzalcleat::forward {

namespace {

constexpr int misdirectedStatus = 421;
constexpr int unavailableStatus = 503;

std::string milliseconds(core::instant::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

bool notice_recorder::readAnswer(const endpoint &target, const http_head &answer,
                                 std::string_view request, core::instant now)
{
    // A misdirected request is answered by another incarnation, which speaks of itself.
    if (request.empty() || answer.value(m_names.requestId) != request
        || answer.status == misdirectedStatus)
        return false;
    if (answer.value(m_names.leaving) == "1"
        && m_endpoints.notices().reportLeaving(
            target.listed.incarnation,
            {now, policy::notice_source::OwnAnswer, std::string(request)}, now))
        logLeaving(now);
    if (answer.status != unavailableStatus || !answer.has("Retry-After"))
        return false;
    readWait(target, answer.value("Retry-After"), request, now);
    return true;
}

void notice_recorder::readWait(const endpoint &target, std::string_view value,
                               std::string_view request, core::instant now)
{
    // For the log line about a faulty value, which has no bound of its own.
    constexpr std::size_t maximumLoggedValue = 40;
    auto &notices = m_endpoints.notices();
    const auto &incarnation = target.listed.incarnation;
    const auto wait = policy::readRetryAfter(value, notices.limits());
    if (wait.reading != policy::wait_reading::Exact)
        m_log.write("endpoint_wait_bounded",
                    {{"id", std::string(request)},
                     {"endpoint", incarnation},
                     {"reason", std::string(policy::toString(wait.reading))},
                     {"value", std::string(value.substr(0, maximumLoggedValue))},
                     {"wait_ms", std::to_string(wait.length.count())}});
    ++m_counters.counter("endpoint_waits_total", "service=\"" + target.listed.service + '"');
    if (notices.reportWait(incarnation, wait.length, request, now))
        m_log.write("endpoint_held_off",
                    {{"id", std::string(request)},
                     {"endpoint", incarnation},
                     {"service", target.listed.service},
                     {"source", "answer"},
                     {"wait_ms", std::to_string(wait.length.count())}});
}

void notice_recorder::logLeaving(core::instant now)
{
    for (const auto &[incarnation, notice] : m_endpoints.notices().takeNewLeaves()) {
        ++m_counters.counter("endpoints_leaving_total",
                             "source=\"" + std::string(policy::toString(notice.source)) + '"');
        m_log.write("endpoint_leaving",
                    {{"id", notice.request.empty() ? std::string("-") : notice.request},
                     {"endpoint", incarnation},
                     {"source", std::string(policy::toString(notice.source))},
                     {"age_ms", milliseconds(now - notice.since)}});
    }
}

void notice_recorder::logStartedAgain(
    const std::vector<policy::endpoint_notices::ended_leave> &started, core::instant now)
{
    for (const auto &[incarnation, notice] : started) {
        ++m_counters.counter("endpoints_started_again_total");
        m_log.write("endpoint_started_again",
                    {{"id", notice.request.empty() ? std::string("-") : notice.request},
                     {"endpoint", incarnation},
                     {"source", std::string(policy::toString(notice.source))},
                     {"age_ms", milliseconds(now - notice.since)}});
    }
}

void notice_recorder::update(core::instant now)
{
    logLeaving(now);
    auto &notices = m_endpoints.notices();
    for (const auto &[incarnation, wait] : notices.takeEndedWaits(now))
        m_log.write("endpoint_wait_ended",
                    {{"id", wait.request},
                     {"endpoint", incarnation},
                     {"source", "answer"},
                     {"age_ms", milliseconds(now - wait.since)}});
    const auto isKnown
        = [&](const std::string &incarnation) { return m_endpoints.all().contains(incarnation); };
    for (const auto &[incarnation, notice] : notices.forgetUnknown(isKnown, now))
        m_log.write("endpoint_left",
                    {{"id", notice.request.empty() ? std::string("-") : notice.request},
                     {"endpoint", incarnation},
                     {"source", std::string(policy::toString(notice.source))},
                     {"age_ms", milliseconds(now - notice.since)}});
}

} // namespace quetzalcleat::forward
