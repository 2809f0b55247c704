#include "LibFleet/duty_reports.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::fleet {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds demandLifetime{60};
constexpr std::size_t maximumHosts = 8192;
/// Without enough hosts to tell a wrong clock for so long, the fleet has no more of them.
constexpr milliseconds fewClocksTime{10'000};

} // namespace

duty_reports::duty_reports(std::shared_ptr<peer::peer_network> network,
                           std::shared_ptr<peer::control_service> service,
                           policy::usage_ledger_options options, core::time_source now)
    : m_network(std::move(network)), m_service(std::move(service)), m_now(std::move(now)),
      m_ledger(options)
{
}

std::shared_ptr<duty_reports> duty_reports::create(std::shared_ptr<peer::peer_network> network,
                                                   std::shared_ptr<peer::control_service> service,
                                                   policy::usage_ledger_options options,
                                                   core::time_source now)
{
    std::shared_ptr<duty_reports> self(
        new duty_reports(std::move(network), std::move(service), options, std::move(now)));
    self->m_network->addReceiver(
        [weak = std::weak_ptr(self)](const std::string &host, const peer::message &content) {
            const auto *report = std::get_if<peer::duty_report>(&content);
            const auto reports = weak.lock();
            if (report != nullptr && reports)
                reports->receive(host, *report);
        });
    return self;
}

void duty_reports::tick()
{
    const auto now = m_now();
    // The clock of this host is one more sample, which small fleets need.
    m_clock.record(m_network->host(), std::chrono::system_clock::now(), now);
    const bool isConfirmed = m_service->isConfirmed();
    if (isConfirmed && !std::exchange(m_wasConfirmed, isConfirmed)) {
        m_confirmedSince = now;
        m_ledger.begin(now);
    }
    m_wasConfirmed = isConfirmed;
    std::erase_if(m_demand, [&](const auto &entry) {
        return now - entry.second.receivedAt > demandLifetime;
    });
}

std::optional<core::wall_time> duty_reports::time() const
{
    const auto now = m_now();
    if (const auto known = m_clock.time(now))
        return known;
    if (!m_wasConfirmed || now - m_confirmedSince < fewClocksTime)
        return std::nullopt;
    return m_clock.time(now, 1);
}

void duty_reports::receive(const std::string &host, const peer::duty_report &report)
{
    if (!m_service->isConfirmed() || (m_demand.size() >= maximumHosts && !m_demand.contains(host)))
        return;
    tick();
    const auto now = m_now();
    constexpr std::uint64_t latest = std::uint64_t{1} << 43U; // Sums stay far from overflow.
    if (report.wallMilliseconds < latest)
        m_clock.record(host, core::wall_time(milliseconds(report.wallMilliseconds)), now);
    std::vector<policy::usage_entry> entries;
    entries.reserve(report.usage.size());
    for (const auto &each : report.usage)
        entries.push_back({each.window, each.account, each.count});
    m_ledger.record(host, report.incarnation, entries, now);
    m_demand[host] = {report.incarnation, report.dataCentre, report.demand, now};
    peer::duty_report_answer answer;
    answer.incarnation = m_network->incarnation();
    answer.sequence = report.sequence;
    if (const auto known = m_clock.time(now))
        answer.fleetMilliseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(known->time_since_epoch()).count());
    if (m_leaving)
        answer.leaving = m_leaving();
    // If sending fails, the host reports the same again.
    (void)m_network->send(host, answer);
}

} // namespace quetzalcleat::fleet
