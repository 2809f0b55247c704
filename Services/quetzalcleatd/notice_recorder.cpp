#include "quetzalcleatd/notice_recorder.h"

#include <string>

namespace quetzalcleat::daemon {

namespace {

constexpr std::uint16_t unavailableStatus = 503;
constexpr std::uint16_t firstFinalStatus = 200;
constexpr std::uint16_t firstErrorStatus = 500;

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

bool notice_recorder::readAnswer(const answered_attempt &attempt, const http::response_head &head)
{
    if (http::findHeader(head.headers, "X-Request-Id") != attempt.attemptId)
        return false;
    policy::answer_notice notice;
    notice.isInterim = head.status < firstFinalStatus;
    notice.isRefusal = head.status >= firstErrorStatus;
    notice.isLeaving = http::findHeader(head.headers, "Endpoint-Leaving") == "1";
    const auto retryAfter = http::findHeader(head.headers, "Retry-After");
    if (head.status == unavailableStatus && retryAfter)
        notice.wait = readWait(attempt, *retryAfter);
    if (m_decisions.answered(attempt.request, notice))
        m_log.information("endpoint_held_off endpoint=" + attempt.endpoint.name
                              + " source=answer wait_ms=" + std::to_string(notice.wait->count()),
                          attempt.requestId);
    if (notice.isLeaving)
        update();
    return notice.wait.has_value();
}

std::chrono::milliseconds notice_recorder::readWait(const answered_attempt &attempt,
                                                    std::string_view value)
{
    // For the log line about a faulty value, which has no bound of its own.
    constexpr std::size_t maximumLoggedValue = 40;
    const auto wait = policy::readRetryAfter(value, m_decisions.core().noticeLimits());
    ++m_counters.counter("quetzalcleat_endpoint_waits_total",
                         "endpoint=\"" + attempt.endpoint.name + '"');
    if (wait.reading != policy::wait_reading::Exact)
        m_log.warning("endpoint_wait_bounded endpoint=" + attempt.endpoint.name
                          + " reason=" + std::string(policy::toString(wait.reading)) + " value=\""
                          + std::string(value.substr(0, maximumLoggedValue))
                          + "\" wait_ms=" + std::to_string(wait.length.count()),
                      attempt.requestId);
    return wait.length;
}

void notice_recorder::update()
{
    using what = policy::notice_event::what;
    for (const auto &event : m_decisions.core().takeNoticeEvents(now())) {
        const std::string source(policy::toString(event.source));
        std::string label = "source=\"";
        label.append(source).push_back('"');
        std::string line = "endpoint_leaving";
        if (event.kind == what::WaitEnded)
            line = "endpoint_wait_ended";
        else if (event.kind == what::Forgotten)
            line = "endpoint_left";
        else
            ++m_counters.counter("quetzalcleat_endpoints_leaving_total", label);
        line.append(" endpoint=").append(event.endpoint);
        line.append(" source=").append(source);
        line.append(" age_ms=").append(std::to_string(event.age.count()));
        m_log.information(line, event.request);
    }
}

} // namespace quetzalcleat::daemon
