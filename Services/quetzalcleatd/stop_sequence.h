#pragma once

#include "LibHttp/caller_server.h"
#include "quetzalcleatd/entry_options.h"
#include "quetzalcleatd/session_environment.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace quetzalcleat::daemon {

/// Stops a process gracefully: the health check first reports "leaving" while the process still
/// accepts requests, until the balancer has noticed; then the requests in flight complete.
class stop_sequence : public std::enable_shared_from_this<stop_sequence>
{
public:
    stop_sequence(session_environment &environment, http::caller_server &server,
                  const entry_options &options);

    /// Calls back with true if all requests in flight have completed.
    void begin(std::function<void(bool)> stopped);

    /// Skips the wait for idle connections to close; requests in flight still complete.
    void skipIdleWait() { m_skipIdleWait = true; }

    /// Ends a stop in progress without calling back. The environment and the server are not used
    /// after this.
    void abandon();

    bool leaving() const { return m_phase != phase::Live; }

private:
    enum class phase { Live, NoticePeriod, Accepting, Draining, ClosingIdle, Stopped };

    void wait(std::chrono::milliseconds time, void (stop_sequence::*next)());
    void acceptWaiting();
    void stopAccepting();
    void check();
    void finish(bool complete);

    session_environment &m_environment;
    http::caller_server &m_server;
    std::chrono::milliseconds m_noticeTime;
    std::chrono::milliseconds m_graceTime;
    std::chrono::milliseconds m_idleCloseTime;
    asio::steady_timer m_timer;
    core::instant m_noticeEnd;
    core::instant m_drainingSince;
    core::instant m_idleSince;
    std::function<void(bool)> m_stopped;
    phase m_phase = phase::Live;
    bool m_skipIdleWait = false;
};

} // namespace quetzalcleat::daemon
