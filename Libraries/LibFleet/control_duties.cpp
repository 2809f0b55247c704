#include "LibFleet/control_duties.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::fleet {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};

} // namespace

policy::usage_ledger_options usageOptions(const node_settings::duty_settings &settings)
{
    policy::usage_ledger_options options;
    options.window = std::max(settings.usageWindow, std::chrono::milliseconds(1));
    options.due = settings.usageDelay;
    return options;
}

std::shared_ptr<control_duties> control_duties::create(
    std::shared_ptr<peer::peer_network> network, std::shared_ptr<peer::control_service> service,
    std::shared_ptr<forward::connection_pool> pool, core::counter_registry &counters,
    forward::event_log &log, const node_settings &settings, duty_formats formats)
{
    std::shared_ptr<control_duties> self(new control_duties(network->context()));
    const auto usage = usageOptions(settings.duties);
    self->m_proposer = peer::local_proposer::create(network);
    self->m_reports = duty_reports::create(network, service, usage);
    duty_runner_options options;
    if (settings.duties.reportsUsage)
        options.duties.push_back(state::duty::Usage);
    if (settings.duties.ordersEndpoints)
        options.duties.push_back(state::duty::Autoscale);
    options.address = settings.endpointListAddress;
    options.hostName = settings.hostName;
    options.incarnation = network->incarnation();
    options.leaseTime = settings.duties.leaseTime;
    options.requestRate = settings.duties.requestRate;
    options.headers = std::move(formats.headers);
    self->m_runner = std::make_shared<duty_runner>(service, self->m_proposer, std::move(pool),
                                                   counters, log, std::move(options));
    if (settings.duties.reportsUsage)
        self->m_usage = std::make_shared<usage_reporter>(service, self->m_proposer, self->m_runner,
                                                         self->m_reports, counters, log, usage,
                                                         std::move(formats.usageReport));
    return self;
}

void control_duties::start()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->m_stopped)
            return;
        self->m_reports->tick();
        self->m_runner->tick();
        if (self->m_usage)
            self->m_usage->tick();
        self->start();
    });
}

void control_duties::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_proposer->stop();
    m_runner->stop();
}

std::string control_duties::dump()
{
    return m_runner->dump() + (m_usage ? m_usage->dump() : std::string());
}

} // namespace quetzalcleat::fleet
