#include "LibFleet/duty_runner.h"

#include "LibState/replicated_state.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

namespace quetzalcleat::fleet {

namespace {

using std::chrono::milliseconds;

/// Of the platform's limit. Calls of the holder before may count in the same second.
constexpr double rateShare = 0.5;
/// Calls per second if the platform states no limit.
constexpr double defaultRate = 5;
constexpr double burst = 4;
constexpr std::size_t maximumWaitingCalls = 4096;
constexpr std::size_t maximumConcurrentCalls = 16;
/// The platform normally answers within a few ms.
constexpr milliseconds longestCall{1000};
/// A call ends in this part of the lease time, so that its bytes arrive before the wait of the next
/// holder is over.
constexpr int callsPerLease = 3;

} // namespace

std::string_view toString(state::duty kind)
{
    return kind == state::duty::Usage ? "usage" : "autoscale";
}

duty_runner::duty_runner(std::shared_ptr<peer::control_service> service,
                         std::shared_ptr<peer::local_proposer> proposer,
                         std::shared_ptr<forward::connection_pool> pool,
                         core::counter_registry &counters, forward::event_log &log,
                         duty_runner_options options)
    : m_service(std::move(service)), m_proposer(std::move(proposer)), m_pool(std::move(pool)),
      m_counters(counters), m_log(log), m_options(std::move(options))
{
    for (const auto kind : m_options.duties)
        m_leases.emplace(kind, policy::duty_lease(m_options.leaseTime));
    const auto rate = m_options.requestRate > 0 ? m_options.requestRate * rateShare : defaultRate;
    m_calls.configure(rate, std::min(burst, std::max(rate, 1.0)), m_options.now());
}

milliseconds duty_runner::timeout() const
{
    return std::min(longestCall, m_options.leaseTime / callsPerLease);
}

void duty_runner::stop()
{
    m_stopped = true;
    m_waiting.clear();
    for (const auto &each : m_inProgress) {
        each->timer->cancel();
        if (each->attempt)
            each->attempt->cancel();
    }
    m_inProgress.clear();
}

void duty_runner::tick()
{
    if (m_stopped)
        return;
    for (auto &[kind, lease] : m_leases) {
        refresh(kind);
        if (lease.shouldAcquire())
            acquire(kind);
    }
    startWaitingCalls();
}

policy::duty_standing duty_runner::refresh(state::duty kind)
{
    const auto found = m_leases.find(kind);
    if (found == m_leases.end() || m_stopped)
        return policy::duty_standing::NotLeading;
    auto &lease = found->second;
    policy::duty_lease::facts facts;
    facts.isConfirmed = m_service->isConfirmed();
    const auto *newest = m_service->replicatedState().duties().holder(kind);
    if (newest != nullptr && newest->host == m_options.hostName
        && newest->incarnation == m_options.incarnation)
        facts.ownGeneration = newest->generation;
    const auto before = lease.standing();
    const auto generationBefore = lease.generation();
    const auto standing = lease.update(facts, m_options.now());
    if (standing != before)
        logChange(kind, before, generationBefore);
    return standing;
}

void duty_runner::logChange(state::duty kind, policy::duty_standing before,
                            std::uint64_t generationBefore)
{
    const auto &lease = m_leases.at(kind);
    const std::string name(toString(kind));
    const auto held = [](policy::duty_standing standing) {
        return standing == policy::duty_standing::MayAct
            || standing == policy::duty_standing::Waiting;
    };
    if (lease.standing() == policy::duty_standing::Waiting) {
        m_log.write("duty_acquired",
                    {{"duty", name},
                     {"generation", std::to_string(lease.generation())},
                     {"wait_ms", std::to_string(lease.remaining(m_options.now()).count())}});
        ++m_counters.counter("duty_acquisitions_total", "duty=\"" + name + '"');
    } else if (lease.standing() == policy::duty_standing::MayAct) {
        m_log.write("duty_held",
                    {{"duty", name},
                     {"generation", std::to_string(lease.generation())},
                     {"reason", std::string(policy::toString(before))}});
    } else if (held(before)) {
        m_log.write("duty_lost",
                    {{"duty", name},
                     {"generation", std::to_string(generationBefore)},
                     {"reason", std::string(policy::toString(lease.standing()))}});
    }
    const auto labels = "duty=\"" + name + '"';
    m_counters.gauge("duty_held", labels)
        = lease.standing() == policy::duty_standing::MayAct ? 1 : 0;
    m_counters.gauge("duty_generation", labels) = static_cast<double>(lease.generation());
}

void duty_runner::acquire(state::duty kind)
{
    if (!m_acquiring.insert(kind).second)
        return;
    const std::weak_ptr<duty_runner> weak = weak_from_this();
    m_proposer->propose(state::duty_acquire{kind, m_options.hostName, m_options.incarnation},
                        [weak, kind](const core::result<void> & /*outcome*/) {
                            if (const auto self = weak.lock())
                                self->m_acquiring.erase(kind);
                        });
}

bool duty_runner::mayAct(state::duty kind)
{
    return refresh(kind) == policy::duty_standing::MayAct;
}

std::uint64_t duty_runner::generation(state::duty kind)
{
    const auto standing = refresh(kind);
    const bool holds
        = standing == policy::duty_standing::MayAct || standing == policy::duty_standing::Waiting;
    return holds ? m_leases.at(kind).generation() : 0;
}

void duty_runner::send(state::duty kind, duty_request request, completion done)
{
    if (m_stopped)
        return;
    auto added = std::make_shared<call>();
    added->kind = kind;
    added->request = std::move(request);
    added->done = std::move(done);
    added->timer = std::make_unique<asio::steady_timer>(m_pool->context());
    auto &waiting = m_waiting[kind];
    if (waiting.size() >= maximumWaitingCalls) {
        m_inProgress.insert(added);
        asio::post(m_pool->context(), [weak = weak_from_this(), added] {
            if (const auto self = weak.lock())
                self->finish(added, duty_error::TooManyCalls);
        });
        return;
    }
    waiting.push_back(std::move(added));
    asio::post(m_pool->context(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->startWaitingCalls();
    });
}

void duty_runner::startWaitingCalls()
{
    // In the order of the enumeration, so usage reports, which are few and have a deadline, first.
    for (auto &[kind, calls] : m_waiting) {
        while (!m_stopped && !calls.empty()) {
            const bool holds = mayAct(kind);
            const auto now = m_options.now();
            if (holds && (!m_calls.allows(1, now) || m_inProgress.size() >= maximumConcurrentCalls))
                return;
            const auto next = calls.front();
            calls.pop_front();
            m_inProgress.insert(next);
            if (!holds) {
                finish(next, duty_error::NotHolder);
                continue;
            }
            m_calls.take(1, now);
            start(next);
        }
    }
}

std::string duty_runner::requestText(const call &started)
{
    forward::http_head head;
    head.method = started.request.method;
    head.target = started.request.target;
    head.headers.push_back({"Host", m_options.address.text()});
    head.headers.push_back({"Content-Type", "application/json"});
    head.headers.push_back({"Content-Length", std::to_string(started.request.body.size())});
    for (auto &field :
         m_options.headers({m_options.hostName, m_leases.at(started.kind).generation()}))
        head.headers.push_back(std::move(field));
    return head.requestText() + "\r\n" + started.request.body;
}

void duty_runner::start(const call_pointer &started)
{
    forward::attempt::request content;
    content.address = m_options.address;
    content.key = m_options.address.text();
    content.text = requestText(*started);
    const std::weak_ptr<duty_runner> weak = weak_from_this();
    const std::weak_ptr<call> weakCall = started;
    forward::attempt::handlers handlers;
    // The connection may have taken long, and the number in the text has to be the current one.
    handlers.mayWrite
        = [weak, kind = started->kind, generation = m_leases.at(started->kind).generation()] {
              const auto self = weak.lock();
              return self && self->mayAct(kind) && self->generation(kind) == generation;
          };
    handlers.head = [weakCall](const forward::http_head &head) {
        if (const auto current = weakCall.lock())
            current->status = head.status;
    };
    handlers.body = [](const std::string & /*bytes*/) {};
    handlers.ended = [weak, weakCall](const forward::attempt::ending &ending) {
        const auto self = weak.lock();
        const auto current = weakCall.lock();
        if (!self || !current)
            return;
        if (ending.wasWithdrawn)
            self->finish(current, duty_error::NotHolder);
        else if (ending.error)
            self->finish(current, ending.error);
        else
            self->finish(current, current->status);
    };
    started->timer->expires_after(timeout());
    started->timer->async_wait([weak, weakCall](std::error_code error) {
        const auto self = weak.lock();
        const auto current = weakCall.lock();
        if (error || !self || !current || !self->m_inProgress.contains(current))
            return;
        // What has not arrived must not arrive later, when another host may act.
        if (current->attempt)
            current->attempt->recall();
        self->finish(current, duty_error::TimedOut);
    });
    started->attempt = forward::attempt::start(m_pool, std::move(content), std::move(handlers));
}

void duty_runner::finish(const call_pointer &ended, core::result<int> outcome)
{
    if (m_inProgress.erase(ended) == 0 || m_stopped)
        return;
    ended->timer->cancel();
    const auto name = outcome ? std::to_string(outcome.value()) : outcome.error().message();
    ++m_counters.counter("duty_calls_total",
                         "duty=\"" + std::string(toString(ended->kind)) + "\",outcome=\"" + name
                             + '"');
    if (const auto done = std::exchange(ended->done, {}))
        done(outcome);
}

std::string duty_runner::dump()
{
    std::string text;
    for (auto &[kind, lease] : m_leases) {
        const auto standing = refresh(kind);
        const auto *newest = m_service->replicatedState().duties().holder(kind);
        text += "duty name=" + std::string(toString(kind))
            + " holder=" + (newest == nullptr ? "-" : newest->host)
            + " generation=" + std::to_string(newest == nullptr ? 0 : newest->generation)
            + " standing=" + std::string(policy::toString(standing))
            + " calls_waiting=" + std::to_string(m_waiting[kind].size()) + '\n';
    }
    return text;
}

} // namespace quetzalcleat::fleet
