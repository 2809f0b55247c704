#include "LibPolicy/decision_core.h"

#include "LibPolicy/admission_control.h"
#include "LibPolicy/configurator.h"
#include "LibPolicy/victim_selection.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::policy {

namespace {

notice_source sourceOf(state_source source)
{
    switch (source) {
    case state_source::Platform:
        return notice_source::EndpointList;
    case state_source::Endpoint:
        return notice_source::HealthAnswer;
    case state_source::Operator:
        break;
    }
    return notice_source::OperatorEdit;
}

} // namespace

template <routing_policy Routing>
basic_decision_core<Routing>::basic_decision_core(std::uint64_t seed, const policy_options &options)
    : m_tables(options), m_random(seed), m_journal(options.journalEntries)
{
}

template <routing_policy Routing>
void basic_decision_core<Routing>::configure(const inventory::document &document,
                                             const host_location &location, core::instant now)
{
    m_now = now;
    configurator::apply(m_tables, document, location, now);
}

template <routing_policy Routing>
core::result<request_id> basic_decision_core<Routing>::refuse(const request_spec &spec,
                                                              policy_error error, core::instant now)
{
    ++m_totals.refused;
    explained_step step;
    step.at = now;
    step.refusal = error;
    m_journal.add(spec.requestId, std::move(step));
    return error;
}

template <routing_policy Routing>
request_record basic_decision_core<Routing>::makeRecord(const request_spec &spec,
                                                        std::uint32_t accountIndex,
                                                        std::uint32_t classIndex,
                                                        std::uint32_t pool, core::instant now) const
{
    const auto &rules = m_tables.classes[classIndex].rules;
    request_record record;
    record.accountIndex = accountIndex;
    record.classIndex = classIndex;
    record.pool = pool;
    record.promptTokens = spec.promptTokens;
    record.bytes = spec.bytes;
    record.repeatable = spec.repeatable;
    record.submittedAt = now;
    record.deadline = now + std::min(rules.deadline, spec.deadline.value_or(rules.deadline));
    record.due = rules.timeToFirstToken ? std::min(record.deadline, now + *rules.timeToFirstToken)
                                        : record.deadline;
    if (spec.service.empty())
        record.expectedOutput = m_tables.outputLengths.quantile(classIndex, accountIndex, 0.5,
                                                                spec.maximumOutputTokens);
    return record;
}

template <routing_policy Routing>
core::result<request_id> basic_decision_core<Routing>::submit(request_spec spec, core::instant now)
{
    m_now = now;
    ++m_totals.submitted;
    const auto accountIndex = m_tables.accounts.indexOf(spec.account.value);
    if (!accountIndex)
        return refuse(spec, policy_error::UnknownAccount, now);
    const auto classIndex = m_tables.classes.indexOf(spec.requestClass.value);
    if (!classIndex)
        return refuse(spec, policy_error::UnknownClass, now);
    const auto pool = configurator::poolFor(m_tables, spec);
    if (!pool)
        return refuse(spec, policy_error::NoEndpoint, now);
    auto draft = makeRecord(spec, *accountIndex, *classIndex, *pool, now);
    if (const auto admitted = admission_control::check(m_tables, draft, now); !admitted)
        return refuse(spec, static_cast<policy_error>(admitted.error().value()), now);
    if (const auto end = notice_control::heldOffUntil(m_tables, m_tables.pools[*pool], now);
        end && *end > draft.due)
        return refuse(spec, policy_error::EndpointsHeldOff, now);
    std::optional<victim_selection::shed_victim> victim;
    if (!victim_selection::hasQueueSpace(m_tables, draft)) {
        if constexpr (Routing::usesTiers)
            victim = victim_selection::chooseToShed(m_tables, draft);
        if (!victim)
            return refuse(spec, policy_error::QueueFull, now);
    }
    auto &record = m_tables.requests.create();
    const request_id id = record.id;
    record = std::move(draft);
    record.id = id;
    record.requestId = std::move(spec.requestId);
    record.prefixBlocks = std::move(spec.prefixBlocks);
    if (victim)
        shed(victim->request, victim->reason, record, now);
    m_tables.enqueue(record);
    admission_control::charge(m_tables, record, now);
    return id;
}

template <routing_policy Routing>
std::chrono::milliseconds basic_decision_core<Routing>::retryAfter(const request_spec &spec,
                                                                   core::instant now) const
{
    constexpr std::chrono::milliseconds defaultDelay(1000);
    const auto accountIndex = m_tables.accounts.indexOf(spec.account.value);
    const auto classIndex = m_tables.classes.indexOf(spec.requestClass.value);
    const auto pool = m_tables.poolIndex.find(pool_key::of(spec));
    if (!accountIndex || !classIndex || pool == m_tables.poolIndex.end())
        return defaultDelay;
    auto record = makeRecord(spec, *accountIndex, *classIndex, pool->second, now);
    record.requestId = spec.requestId;
    return admission_control::retryAfter(m_tables, record, now);
}

template <routing_policy Routing>
decision basic_decision_core<Routing>::makeDecision(decision_kind kind,
                                                    const request_record &record,
                                                    decision_reason reason) const
{
    decision result;
    result.kind = kind;
    result.request = record.id;
    result.reason = reason;
    // A request dispatched by ageing or a minimum share must not wait again inside the engine.
    result.priority = record.promoted ? 0 : m_tables.classes[record.classIndex].rank;
    return result;
}

template <routing_policy Routing>
void basic_decision_core<Routing>::recordStep(const decision &decision,
                                              const request_record &record, core::instant now,
                                              const request_record *beneficiary,
                                              const routing_choice *choice)
{
    explained_step step;
    step.at = now;
    step.kind = decision.kind;
    step.reason = decision.reason;
    step.waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - record.submittedAt);
    if (decision.kind == decision_kind::Dispatch || decision.kind == decision_kind::Preempt)
        step.endpoint = m_tables.endpoints[record.endpointIndex].name;
    if (beneficiary != nullptr)
        step.beneficiary = beneficiary->requestId;
    if (choice != nullptr) {
        step.candidates.reserve(choice->scoreCount);
        for (std::uint32_t index = 0; index < choice->scoreCount; ++index)
            step.candidates.push_back({m_tables.endpoints[choice->scores[index].endpointIndex].name,
                                       choice->scores[index].score});
    }
    m_journal.add(record.requestId, std::move(step));
}

template <routing_policy Routing>
void basic_decision_core<Routing>::shed(request_id victim, decision_reason reason,
                                        const request_record &beneficiary, core::instant now)
{
    auto &record = *m_tables.requests.find(victim);
    auto decision = makeDecision(decision_kind::Shed, record, reason);
    decision.beneficiary = beneficiary.id;
    decision.retryAfter = admission_control::retryAfter(m_tables, record, now);
    recordStep(decision, record, now, &beneficiary, nullptr);
    m_decisions.push_back(decision);
    ++m_totals.shed;
    m_tables.dequeue(record);
    m_tables.requests.erase(victim);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::cancel(request_id request, core::instant now)
{
    m_now = now;
    auto *record = m_tables.requests.find(request);
    if (record == nullptr)
        return;
    if (record->running) {
        recordOutcome(*record, attempt_outcome::Cancelled, now);
        m_tables.endAttempt(*record, now);
    } else {
        m_tables.dequeue(*record);
    }
    m_tables.requests.erase(request);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::reportFirstToken(request_id request, core::instant now)
{
    m_now = now;
    auto *record = m_tables.requests.find(request);
    if (record == nullptr || !record->running || record->firstTokenSeen)
        return;
    record->firstTokenSeen = true;
    record->firstTokenAt = now;
    record->lastTokenAt = now;
    auto &endpoint = m_tables.endpoints[record->endpointIndex];
    const double sample = normalisedFirstToken(*record, now);
    endpoint.health.firstToken.add(sample);
    // The prefill is done, so the prompt's blocks are in the engine's cache now.
    if (endpoint.inSubset)
        endpoint.cache.assumeStored(record->prefixBlocks);
    if (record->probe
        && outlier_detector::evaluateProbeFirstToken(m_tables, m_tables.pools[record->pool],
                                                     record->endpointIndex, sample, now))
        record->probe = false;
}

template <routing_policy Routing>
void basic_decision_core<Routing>::reportTokens(request_id request, std::uint32_t count,
                                                core::instant now)
{
    m_now = now;
    auto *record = m_tables.requests.find(request);
    if (record == nullptr || !record->running || count == 0)
        return;
    if (!record->firstTokenSeen) {
        reportFirstToken(request, now);
    } else {
        const std::chrono::duration<double, std::milli> gap = now - record->lastTokenAt;
        m_tables.endpoints[record->endpointIndex].health.betweenTokens.add(gap.count() / count);
    }
    record->lastTokenAt = now;
    record->deliveredTokens += count;
}

template <routing_policy Routing>
void basic_decision_core<Routing>::countFailure(const request_record &record, core::instant now)
{
    auto &health = m_tables.endpoints[record.endpointIndex].health;
    health.countFailure();
    if (record.probe) {
        health.eject(m_tables.options, now);
        ++m_totals.ejected;
        return;
    }
    const bool isFailing
        = health.consecutiveFailures() >= m_tables.options.consecutiveFailuresToEject
        && health.usableFraction(m_tables.options, now) > 0;
    if (isFailing
        && outlier_detector::ejectIfAllowed(m_tables, m_tables.pools[record.pool],
                                            record.endpointIndex, now))
        ++m_totals.ejected;
}

template <routing_policy Routing>
void basic_decision_core<Routing>::recordOutcome(request_record &record, attempt_outcome outcome,
                                                 core::instant now)
{
    auto &health = m_tables.endpoints[record.endpointIndex].health;
    if (outcome == attempt_outcome::Cancelled || outcome == attempt_outcome::Refused) {
        if (record.probe)
            health.probeAbandoned();
    } else if (outcome == attempt_outcome::Completed) {
        // A service may have answered without a first token being reported.
        reportFirstToken(record.id, now);
        health.countSuccess();
        if (record.probe) {
            const std::chrono::duration<double, std::milli> generationTime
                = now - record.firstTokenAt;
            outlier_detector::evaluateProbeAnswer(
                m_tables, m_tables.pools[record.pool], record.endpointIndex,
                generationTime.count() / std::max(1U, record.deliveredTokens), now);
        }
        m_tables.pools[record.pool].serviceTime.add(
            std::chrono::duration<double, std::milli>(now - record.dispatchedAt).count());
        if (record.expectedOutput > 0) {
            m_tables.outputLengths.add(record.classIndex, record.accountIndex,
                                       record.deliveredTokens);
            admission_control::correctCharge(m_tables, record, now);
        }
    } else {
        countFailure(record, now);
    }
    record.probe = false;
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::allowRetry(const request_record &record, attempt_outcome outcome,
                                              core::instant now)
{
    const bool wanted = outcome == attempt_outcome::RetryBeforeFirstByte
        || outcome == attempt_outcome::Resume || outcome == attempt_outcome::Refused;
    if (!wanted || !record.repeatable || now >= record.deadline
        || record.failedAttempts + 1U >= m_tables.options.maximumAttempts)
        return false;
    auto &pool = m_tables.pools[record.pool];
    const bool resumes = outcome == attempt_outcome::Resume || record.mustResume;
    const bool possible = std::ranges::any_of(pool.endpoints, [&](std::uint32_t index) {
        const auto &endpoint = m_tables.endpoints[index];
        return notice_control::use(m_tables, endpoint, now) != endpoint_use::Gone
            && (!resumes || (index == record.endpointIndex && endpoint.description.canResume));
    });
    if (!possible)
        return false;
    if (!pool.retries.tryAcquire()) {
        ++m_totals.retriesDenied;
        return false;
    }
    return true;
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::reportFinished(request_id request, attempt_outcome outcome,
                                                  core::instant now)
{
    m_now = now;
    auto *record = m_tables.requests.find(request);
    if (record == nullptr || !record->running)
        return false;
    if (outcome == attempt_outcome::Withdrawn) {
        recordOutcome(*record, attempt_outcome::Cancelled, now);
        m_tables.endAttempt(*record, now);
        --record->attempts;
        m_tables.enqueue(*record);
        return true;
    }
    recordOutcome(*record, outcome, now);
    const bool isRetried = allowRetry(*record, outcome, now);
    m_tables.endAttempt(*record, now);
    if (!isRetried) {
        m_tables.requests.erase(request);
        return false;
    }
    ++record->failedAttempts;
    record->mustResume = record->mustResume || outcome == attempt_outcome::Resume;
    ++m_totals.retried;
    m_tables.enqueue(*record);
    return true;
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::reportAnswer(request_id request, const answer_notice &answer,
                                                core::instant now)
{
    m_now = now;
    auto *record = m_tables.requests.find(request);
    if (record == nullptr || !record->running)
        return false;
    return notice_control::reportAnswer(m_tables, *record, answer, now);
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::mayStillSend(request_id request, core::instant now) const
{
    const auto *record = m_tables.requests.find(request);
    return record == nullptr || !record->running
        || notice_control::mayStillSend(m_tables, *record, now);
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::acceptsCalls(std::string_view endpointName,
                                                core::instant now) const
{
    const auto index = m_tables.endpoints.indexOf(std::string(endpointName));
    return index
        && notice_control::accepts(notice_control::use(m_tables, m_tables.endpoints[*index], now));
}

template <routing_policy Routing>
std::vector<notice_event> basic_decision_core<Routing>::takeNoticeEvents(core::instant now)
{
    m_now = now;
    return notice_control::takeEvents(m_tables, now);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::resetAfterRestart(endpoint_record &endpoint, core::instant now)
{
    endpoint.health.beginSlowStart(now);
    endpoint.load.reset();
    endpoint.cache.reset();
    endpoint.reportedModels.clear();
}

template <routing_policy Routing>
void basic_decision_core<Routing>::reportLoad(endpoint_id endpoint, const load_report &report,
                                              core::instant now)
{
    m_now = now;
    const auto index = m_tables.endpoints.indexOf(endpoint.value);
    if (!index)
        return;
    auto &record = m_tables.endpoints[*index];
    if (record.incarnation.isOutdated(report.incarnation))
        return;
    if (notice_control::reportIncarnation(m_tables, record, report.incarnation))
        resetAfterRestart(record, now);
    record.load.report(report, now);
    record.reportedModels = report.models;
    m_tables.markPoolsChanged(record);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::reportCacheEvent(endpoint_id endpoint, const cache_event &event,
                                                    core::instant now)
{
    m_now = now;
    const auto index = m_tables.endpoints.indexOf(endpoint.value);
    if (index && m_tables.endpoints[*index].inSubset)
        m_tables.endpoints[*index].cache.apply(event);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::reportEndpointState(std::string_view endpointName,
                                                       state_source source, endpoint_state state,
                                                       std::uint64_t incarnation, core::instant now)
{
    m_now = now;
    const auto index = m_tables.endpoints.indexOf(std::string(endpointName));
    if (!index)
        return;
    auto &record = m_tables.endpoints[*index];
    if (record.incarnation.isOutdated(incarnation))
        return;
    if (notice_control::reportIncarnation(m_tables, record, incarnation))
        resetAfterRestart(record, now);
    if (state == endpoint_state::Leaving)
        notice_control::reportLeaving(m_tables, record, sourceOf(source), now);
    m_tables.markPoolsChanged(record);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::setShare(double share, core::instant now)
{
    m_now = now;
    configurator::setShare(m_tables, share, now);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::expire(core::instant now)
{
    while (!m_tables.deadlines.empty() && m_tables.deadlines.begin()->at <= now) {
        auto &record = *m_tables.requests.find(m_tables.deadlines.begin()->request);
        const auto &pool = m_tables.pools[record.pool];
        const bool isServed = std::ranges::any_of(pool.endpoints, [&](std::uint32_t index) {
            return notice_control::use(m_tables, m_tables.endpoints[index], now)
                != endpoint_use::Gone;
        });
        endQueued(record, isServed ? decision_reason::DeadlinePassed : decision_reason::NoEndpoint,
                  now);
    }
}

template <routing_policy Routing>
void basic_decision_core<Routing>::endQueued(request_record &record, decision_reason reason,
                                             core::instant now)
{
    auto decision = makeDecision(decision_kind::Expire, record, reason);
    decision.retryAfter = admission_control::retryAfter(m_tables, record, now);
    recordStep(decision, record, now, nullptr, nullptr);
    m_decisions.push_back(decision);
    ++m_totals.expired;
    m_tables.dequeue(record);
    m_tables.requests.erase(decision.request);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::refuseHeldOff(const pool_record &pool, core::instant now)
{
    const auto end = notice_control::heldOffUntil(m_tables, pool, now);
    if (!end)
        return;
    std::vector<request_id> refused;
    for (const auto &queued : m_tables.deadlines) {
        const auto &record = *m_tables.requests.find(queued.request);
        // The caller of a broken stream has had its first token.
        const auto target = record.mustResume ? record.deadline : record.due;
        if (&m_tables.pools[record.pool] == &pool && target < *end)
            refused.push_back(record.id);
    }
    for (const auto request : refused)
        endQueued(*m_tables.requests.find(request), decision_reason::EndpointsHeldOff, now);
}

template <routing_policy Routing>
void basic_decision_core<Routing>::dispatch(const queue_selection &selection,
                                            const routing_choice &choice, core::instant now)
{
    auto &record = *m_tables.requests.find(selection.entry.request);
    auto &pool = m_tables.pools[record.pool];
    queue_scheduler::recordDispatch(m_tables, pool, selection, record.work());
    // The highest tier of the document may not use this pool, so each pool has its own top tier.
    const std::uint32_t rank = m_tables.classes[record.classIndex].rank;
    pool.topRank = std::min(pool.topRank, rank);
    if (rank == pool.topRank) {
        // Late if less than half of the target is left for the endpoint.
        const bool late = now - record.submittedAt > (record.due - record.submittedAt) / 2;
        pool.topTierHeadroom.recordTopTierDispatch(late, pool.usableSlots, m_tables.options);
    }
    m_tables.dequeue(record);
    m_tables.startAttempt(record, choice.endpointIndex, now);
    record.promoted = selection.promotionReason.has_value();
    record.probe = choice.probe;
    if (choice.probe)
        m_tables.endpoints[choice.endpointIndex].health.probeStarted();
    if (record.attempts == 1)
        pool.retries.countDispatch();
    auto reason = selection.promotionReason.value_or(choice.reason);
    if (record.failedAttempts > 0)
        reason = decision_reason::Retry;
    auto decision = makeDecision(decision_kind::Dispatch, record, reason);
    decision.endpoint = endpoint_id{m_tables.endpoints[choice.endpointIndex].documentIndex};
    decision.resumeFrom = record.deliveredTokens;
    recordStep(decision, record, now, nullptr, &choice);
    m_decisions.push_back(decision);
    ++m_totals.dispatched;
    m_candidates.recordDispatch(m_tables, choice.endpointIndex, now);
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::isBlockedByHeadroom(const pool_record &pool,
                                                       const queue_selection &selection,
                                                       core::instant now) const
{
    const auto &entry = m_tables.classes[selection.classIndex];
    if (entry.rank <= pool.topRank || selection.promotionReason)
        return false;
    const auto &record = *m_tables.requests.find(selection.entry.request);
    return now - record.submittedAt < entry.rules.maximumWait
        && m_candidates.freeSlots() <= pool.topTierHeadroom.slots();
}

template <routing_policy Routing>
bool basic_decision_core<Routing>::preemptFor(const queue_selection &selection, core::instant now)
{
    const auto &waiting = *m_tables.requests.find(selection.entry.request);
    const auto &pool = m_tables.pools[waiting.pool];
    // Only if longer waiting would miss the target, and not if it is missed already.
    constexpr std::chrono::milliseconds margin(50);
    const std::chrono::duration<double, std::milli> prefill(
        pool.medianFirstToken * (1 + waiting.promptTokens / promptTokensForTwiceTheTime));
    const bool isUrgent = now <= waiting.due && now + prefill + margin >= waiting.due;
    if (m_preemptionsLeft == 0 || !isUrgent || waiting.mustResume)
        return false;
    const auto victimId = victim_selection::chooseToPreempt(m_tables, waiting, now);
    if (!victimId)
        return false;
    --m_preemptionsLeft;
    auto &victim = *m_tables.requests.find(*victimId);
    auto decision
        = makeDecision(decision_kind::Preempt, victim, decision_reason::HigherTierWaiting);
    decision.endpoint = endpoint_id{m_tables.endpoints[victim.endpointIndex].documentIndex};
    decision.beneficiary = waiting.id;
    recordStep(decision, victim, now, &waiting, nullptr);
    m_decisions.push_back(decision);
    ++m_totals.preempted;
    routing_choice choice;
    choice.endpointIndex = victim.endpointIndex;
    choice.reason = decision_reason::HigherTierWaiting;
    m_tables.endAttempt(victim, now);
    ++victim.preemptions;
    victim.mustResume = victim.mustResume || victim.firstTokenSeen;
    m_tables.enqueue(victim);
    dispatch(selection, choice, now);
    return true;
}

template <routing_policy Routing>
void basic_decision_core<Routing>::schedulePool(pool_record &pool, core::instant now)
{
    // Cleared first, because a preemption in this pass is a change that the next tick has to see.
    pool.changed = false;
    pool.lastPassAt = now;
    refuseHeldOff(pool, now);
    m_candidates.refresh(m_tables, pool, !Routing::usesTiers, now);
    m_scheduler.begin(m_tables, pool, now);
    pool.topTierHeadroom.decay(now, m_tables.options);
    while (pool.queued > 0) {
        std::optional<queue_selection> selection;
        if constexpr (Routing::usesTiers)
            selection = m_scheduler.next(m_tables, pool, now);
        else
            selection = m_scheduler.nextInArrivalOrder(m_tables, pool);
        if (!selection)
            return;
        if constexpr (Routing::usesTiers) {
            if (isBlockedByHeadroom(pool, *selection, now)) {
                m_scheduler.block(selection->classIndex);
                continue;
            }
        }
        const auto &record = *m_tables.requests.find(selection->entry.request);
        const auto candidates = m_candidates.forRequest(m_tables, record, now);
        const auto choice = m_routing.choose(record, pool, candidates, m_tables.options, m_random);
        if (choice) {
            dispatch(*selection, *choice, now);
            continue;
        }
        if constexpr (Routing::usesTiers) {
            if (preemptFor(*selection, now))
                continue;
        }
        m_scheduler.block(selection->classIndex);
    }
}

template <routing_policy Routing>
void basic_decision_core<Routing>::schedulePools(core::instant now)
{
    auto unchangedPoolsLeft = m_tables.options.unchangedPoolsPerTick;
    const auto count = static_cast<std::uint32_t>(m_tables.pools.size());
    const std::uint32_t first = m_firstPool;
    for (std::uint32_t offset = 0; offset < count; ++offset) {
        const std::uint32_t index = (first + offset) % count;
        auto &pool = m_tables.pools[index];
        if (pool.queued == 0)
            continue;
        if (!pool.changed) {
            if (unchangedPoolsLeft == 0
                || now - pool.lastPassAt < m_tables.options.poolRevisitInterval)
                continue;
            --unchangedPoolsLeft;
            m_firstPool = index + 1;
        }
        schedulePool(pool, now);
    }
}

template <routing_policy Routing>
std::vector<decision> basic_decision_core<Routing>::tick(core::instant now)
{
    m_now = now;
    m_preemptionsLeft = m_tables.options.preemptionsPerTick;
    // Limits and the ages of reports need no update here: they are computed from `now` when read.
    expire(now);
    if constexpr (Routing::usesTiers)
        m_totals.ejected += m_outliers.run(m_tables, now);
    schedulePools(now);
    return std::exchange(m_decisions, {});
}

template <routing_policy Routing>
dump_view basic_decision_core<Routing>::dump() const
{
    dump_view view;
    view.totals = m_totals;
    view.share = m_tables.share;
    for (const auto &record : m_tables.endpoints) {
        if (!record.present)
            continue;
        endpoint_view entry;
        entry.name = record.name;
        entry.state = notice_control::isStaying(m_tables, record) ? endpoint_state::Live
                                                                  : endpoint_state::Leaving;
        entry.health = record.health.health();
        entry.incarnation = record.incarnation.number();
        if (const auto wait = m_tables.notices.wait(record.noticeKey, m_now))
            entry.heldOffFor
                = std::chrono::duration_cast<std::chrono::milliseconds>(wait->until - m_now);
        if (const auto notice = m_tables.notices.leaving(record.noticeKey))
            entry.leavingSource = toString(notice->source);
        entry.capacity = record.description.capacity;
        entry.inFlight = record.inFlight();
        entry.otherHostsLoad = record.load.estimate(0, m_tables.options.maximumReportAge, m_now);
        entry.timeToFirstToken = std::chrono::milliseconds(
            static_cast<std::int64_t>(record.health.firstToken.milliseconds));
        entry.cachedBlocks = record.cache.size();
        entry.cacheGaps = record.cache.gaps();
        entry.inSubset = record.inSubset;
        view.endpoints.push_back(std::move(entry));
    }
    for (std::uint32_t index = 0; index < m_tables.classes.size(); ++index) {
        const auto &record = m_tables.classes[index];
        class_view entry{record.name, record.queued, record.running, {}, 0};
        for (const auto &pool : m_tables.pools) {
            if (index >= pool.queues.size() || pool.queues[index].waiting.empty())
                continue;
            const auto *first = m_tables.requests.find(pool.queues[index].waiting.firstArrival());
            entry.longestWait = std::max(
                entry.longestWait,
                std::chrono::duration_cast<std::chrono::milliseconds>(m_now - first->submittedAt));
        }
        entry.estimatedOutputTokens = m_tables.outputLengths.classMedian(index);
        view.classes.push_back(std::move(entry));
    }
    for (const auto &record : m_tables.accounts)
        if (record.present || !record.isIdle())
            view.accounts.push_back({record.name, record.queued, record.running});
    return view;
}

template <routing_policy Routing>
std::optional<explanation> basic_decision_core<Routing>::explain(std::string_view requestId) const
{
    explanation found{std::string(requestId), request_phase::Ended, m_journal.stepsOf(requestId)};
    for (const auto &record : m_tables.requests) {
        if (record.id.value == 0 || record.requestId != requestId)
            continue;
        found.phase = record.running ? request_phase::Running : request_phase::Queued;
        return found;
    }
    if (found.steps.empty())
        return std::nullopt;
    return found;
}

template class basic_decision_core<score_routing>;
template class basic_decision_core<round_robin_routing>;
template class basic_decision_core<least_in_flight_routing>;

} // namespace quetzalcleat::policy
