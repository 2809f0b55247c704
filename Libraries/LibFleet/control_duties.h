#pragma once

#include "LibFleet/duty_reports.h"
#include "LibFleet/duty_runner.h"
#include "LibFleet/node_settings.h"
#include "LibFleet/usage_reporter.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::fleet {

/// How the platform's calls are written.
struct duty_formats
{
    std::function<std::vector<forward::header_field>(const duty_caller &)> headers;
    usage_reporter::request_builder usageReport;
};

/// The duties on a control host. Only for deployments whose settings name duties.
class control_duties : public std::enable_shared_from_this<control_duties>
{
public:
    /// To be called before the network starts.
    static std::shared_ptr<control_duties>
    create(std::shared_ptr<peer::peer_network> network,
           std::shared_ptr<peer::control_service> service,
           std::shared_ptr<forward::connection_pool> pool, core::counter_registry &counters,
           forward::event_log &log, const node_settings &settings, duty_formats formats);

    void start();
    void stop();
    std::string dump();

    const std::shared_ptr<duty_runner> &runner() { return m_runner; }
    const std::shared_ptr<duty_reports> &reports() { return m_reports; }
    const std::shared_ptr<peer::local_proposer> &proposer() { return m_proposer; }

private:
    explicit control_duties(asio::io_context &context) : m_timer(context) { }

    std::shared_ptr<peer::local_proposer> m_proposer;
    std::shared_ptr<duty_runner> m_runner;
    std::shared_ptr<duty_reports> m_reports;
    std::shared_ptr<usage_reporter> m_usage; ///< Null without that duty.
    asio::steady_timer m_timer;
    bool m_stopped = false;
};

/// As the entry hosts and the leader use them.
policy::usage_ledger_options usageOptions(const node_settings::duty_settings &settings);

} // namespace quetzalcleat::fleet
