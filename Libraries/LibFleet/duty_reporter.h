#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/time.h"
#include "LibForward/work_counters.h"
#include "LibPeer/peer_network.h"
#include "LibPolicy/fleet_clock.h"
#include "LibPolicy/usage_counter.h"
#include "LibPolicy/usage_ledger.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::fleet {

/// Counts the requests of an entry host by usage window, and reports them and the work sent to
/// engines to the leader. Only for deployments whose settings name duties.
class duty_reporter : public std::enable_shared_from_this<duty_reporter>
{
public:
    struct handlers
    {
        std::function<std::string()> leader; ///< Empty if unknown.
        std::function<std::chrono::milliseconds()> interval; ///< Between two reports.
        /// Endpoints that will leave, from the newest answer. May be empty.
        std::function<void(const std::vector<peer::endpoint_leave> &)> leaving;
    };

    /// To be called before the network starts. Enables the counters.
    static std::shared_ptr<duty_reporter> create(std::shared_ptr<peer::peer_network> network,
                                                 forward::work_counters &work,
                                                 core::counter_registry &counters,
                                                 policy::usage_ledger_options options,
                                                 handlers handlers);

    void start();
    void stop();

    /// One line.
    std::string dump() const;

private:
    struct sent_report
    {
        core::instant at;
        std::vector<policy::usage_entry> entries;
    };

    duty_reporter(std::shared_ptr<peer::peer_network> network, forward::work_counters &work,
                  core::counter_registry &counters, policy::usage_ledger_options options,
                  handlers handlers);

    void recordRun(const std::string &account);
    void report();
    void receive(const std::string &host, const peer::duty_report_answer &answer);
    std::uint64_t currentWindow() const;

    std::shared_ptr<peer::peer_network> m_network;
    forward::work_counters &m_work;
    core::counter_registry &m_counters;
    policy::usage_ledger_options m_options;
    handlers m_handlers;
    policy::usage_counter m_usage;
    policy::fleet_time m_time;
    asio::steady_timer m_timer;
    std::string m_leader; ///< That the last report was sent to.
    std::uint64_t m_leaderIncarnation = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, sent_report> m_sent; ///< Not answered yet.
    bool m_stopped = false;
};

} // namespace quetzalcleat::fleet
