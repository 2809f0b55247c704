#include "simulated_clients.h"

#include "LibCore/hash.h"
#include "invariant_checker.h"

#include <algorithm>
#include <variant>

namespace quetzalcleat::explore {

using state::claim_verdict;
using state::claim_verdict_kind;
using state::command_result;

namespace {

constexpr std::size_t hostCount = 3;
constexpr std::size_t keyCount = 5;
constexpr std::chrono::milliseconds leaseDuration{1000};

bool hasVerdict(const command_result &result, claim_verdict_kind kind)
{
    const auto *verdict = std::get_if<claim_verdict>(&result.verdict);
    return !result.error && verdict != nullptr && verdict->kind == kind;
}

struct verdict_text
{
    std::string operator()(std::monostate) const { return {}; }
    std::string operator()(const state::edit_verdict &verdict) const
    {
        return 'e' + std::to_string(static_cast<int>(verdict.kind)) + '/'
            + std::to_string(verdict.revision);
    }
    std::string operator()(const claim_verdict &verdict) const
    {
        return 'c' + std::to_string(static_cast<int>(verdict.kind)) + '/' + verdict.answer.body;
    }
    std::string operator()(const state::control_lease_verdict &verdict) const
    {
        return 'l' + verdict.holder + '/' + std::to_string(verdict.fencing) + '/'
            + std::to_string(verdict.remaining.count());
    }
    std::string operator()(const state::order_verdict &verdict) const
    {
        return 'o' + std::to_string(static_cast<int>(verdict.state))
            + (verdict.alreadyKnown ? "known" : "new");
    }
    std::string operator()(const state::usage_verdict &verdict) const
    {
        std::string text = 'u' + std::to_string(verdict.window);
        for (const auto &[account, count] : verdict.counts)
            text += '/' + account + '=' + std::to_string(count);
        return text;
    }
};

} // namespace

std::uint64_t simulated_clients::hashOf(const command_result &result)
{
    return core::hash64(std::to_string(result.error.value())
                        + std::visit(verdict_text{}, result.verdict));
}

// Commands

state::command_body simulated_clients::nextCommand()
{
    switch (m_random.below(16)) {
    case 0:
    case 1:
    case 2:
    case 3:
        return beginClaim();
    case 4:
    case 5:
    case 6:
        return finishClaim();
    case 7:
    case 8:
        return abandonClaim();
    case 9:
        return state::claim_close{pickKey()};
    case 10: {
        const auto host = "host" + std::to_string(m_random.below(hostCount));
        return state::host_register{host, ++m_incarnations[host]};
    }
    case 11:
        return state::control_lease_acquire{"holder" + std::to_string(m_random.below(2)), 1,
                                            m_random.chance(100) ? std::chrono::milliseconds(0)
                                                                 : leaseDuration};
    case 12:
        return nextOrder();
    default:
        return proposeEdit();
    }
}

state::claim_key simulated_clients::pickKey()
{
    // Usually one of the newest keys; with a probability of 10%, any key.
    const auto newest = m_attempts.size() / 4;
    const auto oldest = newest < keyCount || m_random.chance(100) ? 0 : newest - keyCount;
    return {"caller", "key" + std::to_string(m_random.between(oldest, newest))};
}

state::command_body simulated_clients::beginClaim()
{
    if (!m_attempts.empty() && m_random.chance(300))
        return state::claim_begin{m_attempts[m_random.below(m_attempts.size())].request};
    const auto host = "host" + std::to_string(m_random.below(hostCount));
    attempt_record record;
    record.request.attempt
        = {pickKey(), "attempt" + std::to_string(m_attempts.size()), host, m_incarnations[host]};
    record.request.bodyHash = m_random.chance(50) ? "other" : "body";
    m_attemptsById[record.request.attempt.attemptId] = m_attempts.size();
    m_attempts.push_back(record);
    return state::claim_begin{record.request};
}

state::command_body simulated_clients::finishClaim()
{
    for (int tries = 0; tries < 4 && !m_attempts.empty(); ++tries) {
        const auto &record = m_attempts[m_random.below(m_attempts.size())];
        if (!record.dispatched)
            continue;
        state::claim_finish body;
        body.result.attempt = record.request.attempt;
        body.result.outcomeKnown = m_random.chance(800);
        body.result.answer = {200, "text/plain", std::to_string(m_random.below(3)), false};
        return body;
    }
    return beginClaim();
}

state::command_body simulated_clients::abandonClaim()
{
    for (int tries = 0; tries < 4 && !m_attempts.empty(); ++tries) {
        auto &record = m_attempts[m_random.below(m_attempts.size())];
        if (record.dispatched)
            continue;
        record.abandonSent = true;
        return state::claim_abandon{record.request.attempt};
    }
    return beginClaim();
}

state::command_body simulated_clients::proposeEdit()
{
    if (!m_edits.empty() && m_random.chance(400)) {
        auto change = m_edits[m_random.below(m_edits.size())].change;
        if (m_random.chance(100))
            change.document += " changed";
        return state::apply_edit{change, std::nullopt};
    }
    state::edit change;
    change.editId = "edit" + std::to_string(m_edits.size());
    change.baseRevision = m_accepted.revision;
    change.document = "document of " + change.editId;
    change.author = "operator";
    m_edits.push_back({change, false, {}});
    return state::apply_edit{change, std::nullopt};
}

state::command_body simulated_clients::nextOrder()
{
    const auto fencing = m_random.chance(300) && m_fencing > 0 ? m_fencing - 1 : m_fencing;
    if (m_orders > 0 && m_random.chance(500))
        return state::order_finish{fencing, "order" + std::to_string(m_random.below(m_orders)),
                                   state::order_state::Done};
    return state::order_begin{fencing, "order" + std::to_string(m_orders++), "load_model", "engine",
                              "model"};
}

// Checks

void simulated_clients::applied(std::uint64_t logIndex, const state::command &command,
                                const command_result &result)
{
    m_logIndex = logIndex;
    m_time = std::max(m_time, command.time);
    std::visit([&](const auto &body) { check(body, result); }, command.body);
}

void simulated_clients::checkFinished(const state::claim_key &key, const command_result &result)
{
    if (!hasVerdict(result, claim_verdict_kind::Finished))
        return;
    const auto &answer = std::get<claim_verdict>(result.verdict).answer;
    require(m_finished.try_emplace(key, answer).first->second == answer,
            "a duplicate of a finished call gets the stored answer");
}

void simulated_clients::check(const state::claim_begin &body, const command_result &result)
{
    const auto &attempt = body.request.attempt;
    checkFinished(attempt.key, result);
    if (!hasVerdict(result, claim_verdict_kind::Granted))
        return;
    require(!m_closed.contains(attempt.key), "a closed key is never granted");
    require(!m_finished.contains(attempt.key), "a finished key is never granted");
    require(!m_abandoned.contains(attempt.attemptId), "an abandoned attempt is never granted");
    const auto owner = m_owners.try_emplace(attempt.key, attempt.attemptId).first->second;
    require(owner == attempt.attemptId, "a key is granted to one attempt");
    // The host may not get the answer; it then does not call the service and abandons the attempt.
    auto &record = m_attempts[m_attemptsById.at(attempt.attemptId)];
    if (record.dispatched || record.abandonSent || m_random.chance(300))
        return;
    record.dispatched = true;
    require(++m_dispatches[attempt.key] == 1, "a non-repeatable call runs at most once");
}

void simulated_clients::check(const state::claim_finish &body, const command_result &result)
{
    checkFinished(body.result.attempt.key, result);
}

void simulated_clients::check(const state::claim_abandon &body, const command_result &result)
{
    if (!hasVerdict(result, claim_verdict_kind::AttemptAbandoned))
        return;
    m_abandoned.insert(body.attempt.attemptId);
    const auto owner = m_owners.find(body.attempt.key);
    if (owner != m_owners.end() && owner->second == body.attempt.attemptId)
        m_owners.erase(owner);
}

void simulated_clients::check(const state::claim_close &body, const command_result &result)
{
    checkFinished(body.key, result);
    if (!hasVerdict(result, claim_verdict_kind::Closed))
        return;
    require(!m_owners.contains(body.key), "a key is not closed while an attempt may run");
    m_closed.insert(body.key);
}

void simulated_clients::check(const state::apply_edit &body, const command_result &result)
{
    const auto *verdict = std::get_if<state::edit_verdict>(&result.verdict);
    require(!result.error && verdict != nullptr, "an edit gets a verdict");
    auto &record = *std::ranges::find_if(
        m_edits, [&](const edit_record &each) { return each.change.editId == body.change.editId; });
    if (record.decided && body.change.document != record.change.document) {
        require(verdict->kind == state::edit_verdict_kind::EditIdReused,
                "an edit id stands for one document");
        return;
    }
    if (record.decided) {
        require(*verdict == record.verdict, "a resent edit gets its first verdict");
        return;
    }
    // If the changed resend of an edit is applied before the edit itself, its document counts.
    record = {body.change, true, *verdict};
    const bool current = body.change.baseRevision == m_accepted.revision;
    require(current == (verdict->kind == state::edit_verdict_kind::Accepted),
            "exactly one of several edits of a revision is accepted");
    if (!current)
        return;
    require(verdict->revision == m_accepted.revision + 1, "the revision grows by one");
    m_accepted = {verdict->revision, body.change.document, body.change.editId, body.change.author};
}

void simulated_clients::check(const state::control_lease_acquire &body,
                              const command_result &result)
{
    const auto *verdict = std::get_if<state::control_lease_verdict>(&result.verdict);
    require(verdict != nullptr, "a lease request gets a verdict");
    if (!verdict->granted) {
        if (!result.error && m_leaseHolder == body.holder)
            m_leaseHolder.clear();
        return;
    }
    const bool held = !m_leaseHolder.empty() && m_time < m_leaseEnd;
    require(!held || m_leaseHolder == body.holder, "one holder of the control lease");
    require(held ? verdict->fencing == m_fencing : verdict->fencing == m_logIndex,
            "the fencing number is the log index of the acquisition");
    require(verdict->fencing >= m_fencing, "fencing numbers grow");
    m_leaseHolder = body.holder;
    m_fencing = verdict->fencing;
    m_leaseEnd = m_time + leaseDuration;
}

void simulated_clients::check(const state::order_begin &body, const command_result &result)
{
    const bool allowed = body.fencing == m_fencing && !m_leaseHolder.empty() && m_time < m_leaseEnd;
    require(result.error || allowed, "an order needs the current fencing number");
}

void simulated_clients::check(const state::order_finish &body, const command_result &result)
{
    const bool allowed = body.fencing == m_fencing && !m_leaseHolder.empty() && m_time < m_leaseEnd;
    require(result.error || allowed, "the end of an order needs the current fencing number");
}

} // namespace quetzalcleat::explore
