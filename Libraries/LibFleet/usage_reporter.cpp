#include "LibFleet/usage_reporter.h"

#include "LibState/replicated_state.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstBackoff{200};
constexpr milliseconds longestBackoff{2000};

std::uint64_t sum(const state::account_counts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[account, count] : counts)
        total += count;
    return total;
}

} // namespace

usage_reporter::usage_reporter(std::shared_ptr<peer::control_service> service,
                               std::shared_ptr<peer::local_proposer> proposer,
                               std::shared_ptr<duty_runner> runner,
                               std::shared_ptr<duty_reports> reports,
                               core::counter_registry &counters, forward::event_log &log,
                               policy::usage_ledger_options options, request_builder build)
    : m_service(std::move(service)), m_proposer(std::move(proposer)), m_runner(std::move(runner)),
      m_reports(std::move(reports)), m_counters(counters), m_log(log), m_options(options),
      m_build(std::move(build))
{
}

void usage_reporter::tick()
{
    updateMetrics();
    const auto &duties = m_service->replicatedState().duties();
    if (const auto newest = duties.newestClosedWindow())
        m_reports->ledger().closed(*newest);
    // The waiting time does not apply to the log, so that reports can begin right after it.
    if (m_runner->generation(state::duty::Usage) == 0)
        return;
    closeNext();
    if (m_runner->mayAct(state::duty::Usage))
        sendNext();
}

void usage_reporter::closeNext()
{
    const auto time = m_reports->time();
    if (m_isClosing || !time)
        return;
    const auto &duties = m_service->replicatedState().duties();
    auto next
        = m_reports->ledger().next(duties.newestClosedWindow(), *time, core::suspendAwareNow());
    if (!next)
        return;
    state::usage_close body;
    body.generation = m_runner->generation(state::duty::Usage);
    body.window = next->window;
    body.undeliveredWindows = m_options.keptWindows();
    body.counts = std::move(next->content);
    m_log.write("usage_closing",
                {{"window", std::to_string(body.window)},
                 {"generation", std::to_string(body.generation)},
                 {"accounts", std::to_string(body.counts.size())},
                 {"requests", std::to_string(sum(body.counts))},
                 {"reason", next->isComplete ? "all_hosts_reported" : "due"}});
    m_isClosing = true;
    m_proposer->propose(
        std::move(body),
        [weak = weak_from_this(), window = next->window](const core::result<void> &outcome) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->m_isClosing = false;
            self->m_log.write("usage_closed",
                              {{"window", std::to_string(window)},
                               {"outcome", outcome ? "agreed" : outcome.error().message()}});
            ++self->m_counters.counter("usage_windows_closed_total",
                                       outcome ? "outcome=\"agreed\"" : "outcome=\"refused\"");
            // Sends without waiting for the next tick.
            self->tick();
        });
}

void usage_reporter::sendNext()
{
    const auto &windows = m_service->replicatedState().duties().usageWindows();
    const auto next = std::find_if(windows.begin(), windows.end(),
                                   [](const auto &each) { return !each.second.isDelivered; });
    if (m_isSending || m_isRecording || next == windows.end()
        || core::suspendAwareNow() < m_nextCall)
        return;
    if (m_accepted == next->first) {
        recordDelivered(next->first);
        return;
    }
    m_isSending = true;
    m_runner->send(
        state::duty::Usage, m_build(next->first, next->second.counts),
        [weak = weak_from_this(), window = next->first](const core::result<int> &outcome) {
            if (const auto self = weak.lock())
                self->finishCall(window, outcome);
        });
}

void usage_reporter::finishCall(std::uint64_t window, const core::result<int> &outcome)
{
    constexpr int accepted = 200;
    m_isSending = false;
    if (outcome && outcome.value() == accepted) {
        m_backoff = milliseconds(0);
        m_accepted = window;
        recordDelivered(window);
        return;
    }
    m_backoff = std::clamp(2 * m_backoff, firstBackoff, longestBackoff);
    m_nextCall = core::suspendAwareNow() + m_backoff;
    m_log.write(
        "usage_send_failed",
        {{"window", std::to_string(window)},
         {"cause",
          outcome ? "status " + std::to_string(outcome.value()) : outcome.error().message()},
         {"retry_ms", std::to_string(m_backoff.count())}});
}

void usage_reporter::recordDelivered(std::uint64_t window)
{
    m_isRecording = true;
    m_proposer->propose(state::usage_delivered{window},
                        [weak = weak_from_this(), window](const core::result<void> &outcome) {
                            const auto self = weak.lock();
                            if (!self)
                                return;
                            self->m_isRecording = false;
                            self->m_log.write(
                                "usage_delivered",
                                {{"window", std::to_string(window)},
                                 {"outcome", outcome ? "recorded" : outcome.error().message()}});
                            if (outcome)
                                ++self->m_counters.counter("usage_windows_delivered_total");
                            self->tick();
                        });
}

void usage_reporter::updateMetrics()
{
    const auto &duties = m_service->replicatedState().duties();
    const auto outstanding
        = std::count_if(duties.usageWindows().begin(), duties.usageWindows().end(),
                        [](const auto &each) { return !each.second.isDelivered; });
    m_counters.gauge("usage_windows_outstanding") = static_cast<double>(outstanding);
    m_counters.counter("usage_requests_late_total") = m_reports->ledger().lateCount();
    const auto dropped = duties.droppedWindows();
    if (dropped > m_droppedSeen && m_service->isConfirmed())
        m_log.write("usage_windows_dropped",
                    {{"count", std::to_string(dropped - m_droppedSeen)},
                     {"reason", "not_delivered_in_time"}});
    m_droppedSeen = dropped;
    m_counters.counter("usage_windows_dropped_total") = dropped;
}

std::string usage_reporter::dump() const
{
    const auto text = [](const std::optional<std::uint64_t> &window) {
        return window ? std::to_string(*window) : std::string("-");
    };
    const auto &duties = m_service->replicatedState().duties();
    std::string outstanding;
    for (const auto &[window, record] : duties.usageWindows()) {
        if (!record.isDelivered)
            outstanding += std::to_string(window) + ',';
    }
    return "usage last_closed=" + text(duties.newestClosedWindow())
        + " last_delivered=" + text(duties.newestDeliveredWindow()) + " outstanding=" + outstanding
        + " dropped=" + std::to_string(duties.droppedWindows())
        + " entries=" + std::to_string(m_reports->ledger().size()) + '\n';
}

} // namespace quetzalcleat::fleet
