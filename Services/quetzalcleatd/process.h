#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibPeer/control_plane.h"
#include "quetzalcleatd/entry.h"
#include "quetzalcleatd/exit_code.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <system_error>

namespace quetzalcleat::daemon {

/// Runs the entry role until SIGTERM or SIGINT, then stops gracefully and returns the exit code of
/// the process. A second signal skips the wait for idle connections.
template <peer::control_plane Control>
class process
{
public:
    process(asio::io_context &context, Control &control, core::counter_registry &counters,
            entry_options options)
        : m_context(context), m_log("quetzalcleatd"),
          m_entry(context, control, counters, std::move(options)),
          m_signals(context, SIGTERM, SIGINT), m_claimResultTimer(context)
    {
    }

    int run()
    {
        if (const auto started = m_entry.start(); !started) {
            m_log.error("cannot listen: " + started.error().message());
            return exitFailed;
        }
        m_log.information("serving callers on port " + std::to_string(m_entry.callerPort())
                          + " and operators on port " + std::to_string(m_entry.operatorPort()));
        awaitSignal();
        m_context.run();
        m_entry.shutDown();
        return m_exitCode;
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](std::error_code error, int) {
            if (error)
                return;
            if (m_stopping) {
                m_entry.skipIdleWait();
            } else {
                m_stopping = true;
                m_entry.beginStop([this](bool complete) { awaitClaimResults(complete); });
            }
            awaitSignal();
        });
    }

    /// After the last response, results of claims may still be in transit to the ledger. A result
    /// that is lost leaves its call with an unknown outcome.
    void awaitClaimResults(bool complete)
    {
        constexpr std::chrono::milliseconds claimResultTime{500};
        m_exitCode = complete ? exitDone : exitFailed;
        m_claimResultTimer.expires_after(claimResultTime);
        m_claimResultTimer.async_wait([this](std::error_code) { m_context.stop(); });
    }

    asio::io_context &m_context;
    core::logger m_log;
    entry<Control> m_entry;
    asio::signal_set m_signals;
    asio::steady_timer m_claimResultTimer;
    bool m_stopping = false;
    int m_exitCode = exitDone;
};

} // namespace quetzalcleat::daemon
