#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/logger.h"
#include "LibPeer/control_plane.h"
#include "quetzalcleatd/entry.h"
#include "quetzalcleatd/exit_code.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <system_error>

namespace quetzalcleat::daemon {

/// Runs the entry role until SIGTERM or SIGINT and the end of the work in flight, and returns the
/// exit code of the process.
template <peer::control_plane Control>
class process
{
public:
    process(asio::io_context &context, Control &control, core::counter_registry &counters,
            entry_options options)
        : m_context(context), m_log("quetzalcleatd"),
          m_entry(context, control, counters, std::move(options)),
          m_signals(context, SIGTERM, SIGINT)
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
                m_entry.hurryStop();
            } else {
                m_stopping = true;
                m_entry.beginStop([this](bool complete) {
                    m_exitCode = complete ? exitDone : exitFailed;
                    m_context.stop();
                });
            }
            awaitSignal();
        });
    }

    asio::io_context &m_context;
    core::logger m_log;
    entry<Control> m_entry;
    asio::signal_set m_signals;
    bool m_stopping = false;
    int m_exitCode = exitDone;
};

} // namespace quetzalcleat::daemon
