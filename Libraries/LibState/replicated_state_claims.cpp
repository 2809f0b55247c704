#include "LibState/replicated_state.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::state {

namespace {

command_result failure(state_error error)
{
    return {make_error_code(error), {}};
}

command_result verdict(claim_verdict_kind kind)
{
    return {{}, claim_verdict{kind, {}}};
}

bool sameAttempt(const claim_attempt &left, const claim_attempt &right)
{
    return left.attemptId == right.attemptId && left.host == right.host
        && left.hostIncarnation == right.hostIncarnation;
}

} // namespace

const claim_record *replicated_state::findClaim(const claim_key &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

command_result replicated_state::claimResult(const claim_record &claim) const
{
    switch (claim.state) {
    case claim_state::Running:
        return verdict(claim_verdict_kind::InProgress);
    case claim_state::Finished:
        return {{}, claim_verdict{claim_verdict_kind::Finished, claim.answer}};
    case claim_state::OutcomeUnknown:
        return verdict(claim_verdict_kind::OutcomeUnknown);
    case claim_state::ClosedNotRun:
        break;
    }
    return verdict(claim_verdict_kind::Closed);
}

command_result replicated_state::handle(const claim_begin &body)
{
    const auto &attempt = body.request.attempt;
    if (m_abandoned.contains(attempt.attemptId))
        return verdict(claim_verdict_kind::AttemptAbandoned);
    const auto known = m_claims.find(attempt.key);
    if (known == m_claims.end() && m_claims.size() >= table_limits::claims)
        return failure(state_error::TableFull);
    if (const auto recorded = recordIncarnation(attempt.host, attempt.hostIncarnation); !recorded)
        return {recorded.error(), {}};
    if (known == m_claims.end()) {
        auto &claim = m_claims[attempt.key];
        claim.attempt = attempt;
        claim.bodyHash = body.request.bodyHash;
        claim.changedAt = m_time;
        indexClaim(attempt.key, claim);
        return verdict(claim_verdict_kind::Granted);
    }
    const auto &claim = known->second;
    if (claim.state != claim_state::ClosedNotRun && claim.bodyHash != body.request.bodyHash)
        return verdict(claim_verdict_kind::BodyMismatch);
    // The owner's attempt was proposed twice; the owner sends the call once per attempt.
    if (claim.state == claim_state::Running && sameAttempt(claim.attempt, attempt))
        return verdict(claim_verdict_kind::Granted);
    return claimResult(claim);
}

command_result replicated_state::handle(const claim_finish &body)
{
    const auto &attempt = body.result.attempt;
    const auto known = m_claims.find(attempt.key);
    if (known == m_claims.end())
        return failure(state_error::UnknownClaim);
    auto &claim = known->second;
    if (claim.state == claim_state::ClosedNotRun || !sameAttempt(claim.attempt, attempt))
        return failure(state_error::NotOwner);
    if (claim.state == claim_state::Finished)
        return claimResult(claim);
    if (!body.result.outcomeKnown) {
        if (claim.state == claim_state::Running)
            changeClaim(attempt.key, claim, claim_state::OutcomeUnknown);
        return claimResult(claim);
    }
    // An unknown outcome may still become known, because only the owner can report it.
    changeClaim(attempt.key, claim, claim_state::Finished);
    claim.answer = body.result.answer;
    keepAnswer(attempt.key, claim);
    return claimResult(claim);
}

command_result replicated_state::handle(const claim_abandon &body)
{
    const auto &attempt = body.attempt;
    const auto known = m_claims.find(attempt.key);
    const bool owner = known != m_claims.end() && known->second.state != claim_state::ClosedNotRun
        && sameAttempt(known->second.attempt, attempt);
    if (owner && known->second.state == claim_state::Finished)
        return failure(state_error::AlreadyFinished);
    if (!m_abandoned.contains(attempt.attemptId)) {
        if (m_abandoned.size() >= table_limits::abandonedAttempts)
            return failure(state_error::TableFull);
        // The claim_begin of this attempt may be applied later and must find this record.
        m_abandoned[attempt.attemptId] = m_time;
        m_expiries.insert({m_time + table_limits::attemptRetention,
                           expiry_kind::Attempt,
                           {{}, attempt.attemptId}});
    }
    if (owner)
        eraseClaim(attempt.key);
    return verdict(claim_verdict_kind::AttemptAbandoned);
}

command_result replicated_state::handle(const claim_close &body)
{
    if (const auto known = m_claims.find(body.key); known != m_claims.end())
        return claimResult(known->second);
    if (m_claims.size() >= table_limits::claims)
        return failure(state_error::TableFull);
    auto &claim = m_claims[body.key];
    claim.state = claim_state::ClosedNotRun;
    claim.attempt.key = body.key;
    claim.changedAt = m_time;
    indexClaim(body.key, claim);
    return verdict(claim_verdict_kind::Closed);
}

command_result replicated_state::handle(const host_register &body)
{
    const auto recorded = recordIncarnation(body.host, body.incarnation);
    return {recorded.error(), {}};
}

core::result<void> replicated_state::recordIncarnation(const std::string &host,
                                                       std::uint64_t incarnation)
{
    const auto known = m_hosts.find(host);
    if (known != m_hosts.end() && incarnation == known->second.incarnation)
        return {};
    if (known == m_hosts.end()) {
        if (m_hosts.size() >= table_limits::hosts)
            return state_error::TableFull;
    } else {
        if (incarnation < known->second.incarnation)
            return state_error::StaleIncarnation;
        m_expiries.erase(
            {known->second.changedAt + table_limits::hostRetention, expiry_kind::Host, {{}, host}});
    }
    m_hosts[host] = {incarnation, m_time};
    m_expiries.insert({m_time + table_limits::hostRetention, expiry_kind::Host, {{}, host}});

    // The earlier process has ended. Whether it sent its calls is not known.
    const auto running = m_runningByHost.find(host);
    if (running == m_runningByHost.end())
        return {};
    const auto keys = running->second;
    for (const auto &key : keys) {
        auto &claim = m_claims.at(key);
        if (claim.attempt.hostIncarnation < incarnation)
            changeClaim(key, claim, claim_state::OutcomeUnknown);
    }
    return {};
}

void replicated_state::changeClaim(const claim_key &key, claim_record &claim, claim_state state)
{
    unindexClaim(key, claim);
    claim.state = state;
    claim.changedAt = m_time;
    indexClaim(key, claim);
}

void replicated_state::eraseClaim(const claim_key &key)
{
    const auto found = m_claims.find(key);
    unindexClaim(key, found->second);
    m_claims.erase(found);
}

void replicated_state::expireClaim(const claim_key &key)
{
    const auto found = m_claims.find(key);
    if (found->second.state == claim_state::Running)
        changeClaim(key, found->second, claim_state::OutcomeUnknown);
    else
        eraseClaim(claim_key(key));
}

/// Adds a finished claim's answer to the kept ones, within the limits.
void replicated_state::keepAnswer(const claim_key &key, claim_record &claim)
{
    claim.answerUntil = m_time + m_limits.answerRetention;
    if (claim.answer.body.size() > m_limits.answerBytes) {
        claim.answer.body.clear();
        claim.answer.truncated = true;
    }
    if (claim.answer.body.empty())
        return;
    m_answers.insert({claim.answerUntil, key});
    m_answerBytes += claim.answer.body.size();
    while (m_answerBytes > table_limits::answerBytes)
        dropAnswer(retained_response(*m_answers.begin()));
}

void replicated_state::dropAnswer(const retained_response &kept)
{
    auto &answer = m_claims.at(kept.key).answer;
    m_answerBytes -= answer.body.size();
    answer.body.clear();
    answer.body.shrink_to_fit();
    answer.truncated = true;
    m_answers.erase(kept);
}

core::wall_time replicated_state::claimExpiry(const claim_record &claim)
{
    if (claim.state == claim_state::Running)
        return claim.changedAt + table_limits::runningLimit;
    return claim.changedAt + table_limits::claimRetention;
}

void replicated_state::indexClaim(const claim_key &key, const claim_record &claim)
{
    m_expiries.insert({claimExpiry(claim), expiry_kind::Claim, key});
    if (claim.state == claim_state::Running)
        m_runningByHost[claim.attempt.host].insert(key);
    if (!claim.answer.body.empty()) {
        m_answers.insert({claim.answerUntil, key});
        m_answerBytes += claim.answer.body.size();
    }
}

void replicated_state::unindexClaim(const claim_key &key, const claim_record &claim)
{
    m_expiries.erase({claimExpiry(claim), expiry_kind::Claim, key});
    if (claim.state == claim_state::Running) {
        const auto running = m_runningByHost.find(claim.attempt.host);
        running->second.erase(key);
        if (running->second.empty())
            m_runningByHost.erase(running);
    }
    if (!claim.answer.body.empty()) {
        m_answers.erase({claim.answerUntil, key});
        m_answerBytes -= claim.answer.body.size();
    }
}

} // namespace quetzalcleat::state
