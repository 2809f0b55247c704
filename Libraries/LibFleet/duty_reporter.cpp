#include "LibFleet/duty_reporter.h"

#include <utility>

namespace quetzalcleat::fleet {

namespace {

/// Entries of one report; the rest follows with the next one.
constexpr std::size_t maximumEntries = 1000;
/// Reports whose answers are awaited.
constexpr std::size_t maximumSent = 16;

std::uint64_t milliseconds(core::wall_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

} // namespace

duty_reporter::duty_reporter(std::shared_ptr<peer::peer_network> network,
                             forward::work_counters &work, core::counter_registry &counters,
                             policy::usage_ledger_options options, handlers handlers)
    : m_network(std::move(network)), m_work(work), m_counters(counters), m_options(options),
      m_handlers(std::move(handlers)), m_usage(options.keptWindows()), m_timer(m_network->context())
{
}

std::shared_ptr<duty_reporter> duty_reporter::create(std::shared_ptr<peer::peer_network> network,
                                                     forward::work_counters &work,
                                                     core::counter_registry &counters,
                                                     policy::usage_ledger_options options,
                                                     handlers handlers)
{
    std::shared_ptr<duty_reporter> self(
        new duty_reporter(std::move(network), work, counters, options, std::move(handlers)));
    const std::weak_ptr<duty_reporter> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const peer::message &content) {
        const auto *answer = std::get_if<peer::duty_report_answer>(&content);
        const auto reporter = weak.lock();
        if (answer != nullptr && reporter)
            reporter->receive(host, *answer);
    });
    work.enable([weak](const std::string &account) {
        if (const auto reporter = weak.lock())
            reporter->recordRun(account);
    });
    return self;
}

void duty_reporter::start()
{
    m_timer.expires_after(m_handlers.interval());
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->m_stopped)
            return;
        self->report();
        self->start();
    });
}

void duty_reporter::stop()
{
    // The last counts, as far as they still reach the leader.
    if (!std::exchange(m_stopped, true))
        report();
    m_timer.cancel();
}

std::uint64_t duty_reporter::currentWindow() const
{
    return m_options.windowAt(m_time.at(core::suspendAwareNow(), std::chrono::system_clock::now()));
}

void duty_reporter::recordRun(const std::string &account)
{
    ++m_counters.counter("usage_requests_counted_total");
    if (!m_usage.record(currentWindow(), account))
        ++m_counters.counter("usage_requests_uncounted_total");
}

void duty_reporter::report()
{
    const auto leader = m_handlers.leader();
    if (leader.empty())
        return;
    m_usage.advance(currentWindow());
    if (std::exchange(m_leader, leader) != leader) {
        m_sent.clear();
        m_usage.reportAgain();
    }
    peer::duty_report content;
    content.incarnation = m_network->incarnation();
    content.sequence = ++m_sequence;
    content.dataCentre = m_network->options().dataCentre;
    content.wallMilliseconds = milliseconds(std::chrono::system_clock::now());
    auto entries = m_usage.changes(maximumEntries);
    for (const auto &each : entries)
        content.usage.push_back({each.window, each.account, each.count});
    for (const auto &[service, work] : m_work.services())
        content.demand.push_back({service, work.requests, work.prefillTokens, work.outputTokens});
    m_sent[content.sequence] = {core::suspendAwareNow(), std::move(entries)};
    if (m_sent.size() > maximumSent)
        m_sent.erase(m_sent.begin());
    // If sending fails, the next report has the same entries.
    (void)m_network->send(leader, content);
}

void duty_reporter::receive(const std::string &host, const peer::duty_report_answer &answer)
{
    const auto found = m_sent.find(answer.sequence);
    if (host != m_leader || found == m_sent.end())
        return;
    const auto sent = std::move(found->second);
    m_sent.erase(found);
    // A restarted leader has lost the counts.
    if (std::exchange(m_leaderIncarnation, answer.incarnation) != answer.incarnation)
        m_usage.reportAgain();
    m_usage.acknowledge(sent.entries);
    m_time.record(std::chrono::milliseconds(answer.fleetMilliseconds), sent.at,
                  core::suspendAwareNow());
    if (m_handlers.leaving)
        m_handlers.leaving(answer.leaving);
}

std::string duty_reporter::dump() const
{
    return "duty_reports leader=" + m_leader + " sequence=" + std::to_string(m_sequence)
        + " usage_entries=" + std::to_string(m_usage.size())
        + " fleet_time=" + (m_time.isKnown() ? "known" : "own") + '\n';
}

} // namespace quetzalcleat::fleet
