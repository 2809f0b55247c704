#pragma once

#include "LibCore/counter_registry.h"
#include "LibFleet/duty_reports.h"
#include "LibFleet/duty_runner.h"
#include "LibForward/event_log.h"
#include "LibPeer/control_service.h"
#include "LibPeer/local_proposer.h"
#include "LibPolicy/usage_ledger.h"
#include "LibState/duties.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace quetzalcleat::fleet {

/// Reports to the platform how many requests of each account ran in each usage window.
///
/// The counts of a window are agreed on in the log before they are first sent, and every holder
/// sends exactly these, in the order of the windows. A call with an unknown outcome is repeated.
class usage_reporter : public std::enable_shared_from_this<usage_reporter>
{
public:
    /// The call for a window, in the platform's format.
    using request_builder
        = std::function<duty_request(std::uint64_t window, const state::account_counts &counts)>;

    usage_reporter(std::shared_ptr<peer::control_service> service,
                   std::shared_ptr<peer::local_proposer> proposer,
                   std::shared_ptr<duty_runner> runner, std::shared_ptr<duty_reports> reports,
                   core::counter_registry &counters, forward::event_log &log,
                   policy::usage_ledger_options options, request_builder build);

    /// To be called every few 10 ms.
    void tick();

    /// One line.
    std::string dump() const;

private:
    void closeNext();
    void sendNext();
    void finishCall(std::uint64_t window, const core::result<int> &outcome);
    void recordDelivered(std::uint64_t window);
    void updateMetrics();

    std::shared_ptr<peer::control_service> m_service;
    std::shared_ptr<peer::local_proposer> m_proposer;
    std::shared_ptr<duty_runner> m_runner;
    std::shared_ptr<duty_reports> m_reports;
    core::counter_registry &m_counters;
    forward::event_log &m_log;
    policy::usage_ledger_options m_options;
    request_builder m_build;
    bool m_isClosing = false; ///< A usage_close is proposed.
    bool m_isSending = false;
    bool m_isRecording = false; ///< A usage_delivered is proposed.
    std::optional<std::uint64_t> m_accepted; ///< By the platform, until the log says so.
    core::instant m_nextCall;
    std::chrono::milliseconds m_backoff{0};
    std::uint64_t m_droppedSeen = 0;
};

} // namespace quetzalcleat::fleet
