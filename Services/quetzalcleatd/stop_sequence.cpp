#include "quetzalcleatd/stop_sequence.h"

namespace quetzalcleat::daemon {

namespace {

constexpr std::chrono::milliseconds checkInterval{20};

/// New callers may fill the queue of the listener for as long as it is open.
constexpr std::chrono::milliseconds maximumAcceptTime{500};

} // namespace

stop_sequence::stop_sequence(session_environment &environment, http::caller_server &server,
                             const entry_options &options)
    : m_environment(environment), m_server(server), m_noticeTime(options.balancerNoticeTime),
      m_graceTime(options.stopGraceTime), m_idleCloseTime(options.idleCloseTime),
      m_timer(environment.context)
{
}

void stop_sequence::begin(std::function<void(bool)> stopped)
{
    if (leaving())
        return;
    m_stopped = std::move(stopped);
    m_phase = phase::NoticePeriod;
    m_environment.log.information(
        "stopping; still accepting requests until the balancer has noticed");
    wait(m_noticeTime, &stop_sequence::acceptWaiting);
}

void stop_sequence::abandon()
{
    if (m_phase == phase::Live || m_phase == phase::Stopped)
        return;
    m_phase = phase::Stopped;
    m_stopped = nullptr;
    m_timer.cancel();
}

void stop_sequence::wait(std::chrono::milliseconds time, void (stop_sequence::*next)())
{
    m_timer.expires_after(time);
    m_timer.async_wait([self = shared_from_this(), next](std::error_code error) {
        // The timer may have expired before it was cancelled.
        if (!error && self->m_phase != phase::Stopped)
            (self.get()->*next)();
    });
}

void stop_sequence::acceptWaiting()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_phase == phase::NoticePeriod) {
        m_phase = phase::Accepting;
        m_noticeEnd = now;
    }
    if (m_server.hasWaitingConnections() && now - m_noticeEnd < maximumAcceptTime)
        wait(std::chrono::milliseconds(1), &stop_sequence::acceptWaiting);
    else
        stopAccepting();
}

void stop_sequence::stopAccepting()
{
    m_phase = phase::Draining;
    m_drainingSince = std::chrono::steady_clock::now();
    m_environment.stopEnd = m_drainingSince + m_graceTime;
    m_server.closeListener();
    m_server.closeConnectionsAfterResponses();
    m_environment.log.information("listener closed; requests in flight: "
                                  + std::to_string(m_server.openExchanges()));
    check();
}

void stop_sequence::check()
{
    const auto now = std::chrono::steady_clock::now();
    const bool busy = m_server.openExchanges() > 0 || m_environment.decisions.openRequests() > 0;
    if (busy && now - m_drainingSince > m_graceTime) {
        finish(false);
        return;
    }
    if (busy)
        m_phase = phase::Draining;
    else if (m_phase == phase::Draining) {
        m_phase = phase::ClosingIdle;
        m_idleSince = now;
    }
    const bool idleTimeIsOver
        = m_skipIdleWait || m_server.openConnections() == 0 || now - m_idleSince >= m_idleCloseTime;
    if (!busy && idleTimeIsOver) {
        finish(true);
        return;
    }
    wait(checkInterval, &stop_sequence::check);
}

void stop_sequence::finish(bool complete)
{
    m_phase = phase::Stopped;
    m_environment.stopEnd = core::instant::min();
    if (complete)
        m_environment.log.information("all requests in flight are complete");
    else
        m_environment.log.error("stop grace time has expired; aborted requests: "
                                + std::to_string(m_server.openExchanges()));
    m_server.interruptExchanges();
    m_stopped(complete);
}

} // namespace quetzalcleat::daemon
