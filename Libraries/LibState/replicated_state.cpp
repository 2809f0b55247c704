#include "LibState/replicated_state.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace quetzalcleat::state {

namespace {

/// Limits the expired records that are processed while one command is applied.
constexpr int maximumExpiriesPerCommand = 256;

command_result failure(state_error error)
{
    return {make_error_code(error), {}};
}

} // namespace

command_result replicated_state::apply(std::uint64_t logIndex, const command &value)
{
    if (logIndex <= m_appliedIndex)
        return failure(state_error::OutOfOrder);
    m_appliedIndex = logIndex;
    if (const auto checked = checkCommand(value); !checked)
        return {checked.error(), {}};
    m_time = std::max(m_time, value.time);
    expire();
    return std::visit([this](const auto &body) { return handle(body); }, value.body);
}

command_result replicated_state::applyEncoded(std::uint64_t logIndex,
                                              std::span<const std::byte> bytes)
{
    const auto decoded = decodeCommand(bytes);
    if (decoded)
        return apply(logIndex, decoded.value());
    if (decoded.error() != state_error::UnsupportedVersion)
        m_appliedIndex = std::max(m_appliedIndex, logIndex);
    return {decoded.error(), {}};
}

const edit_record *replicated_state::findEdit(const std::string &editId) const
{
    const auto found = m_edits.find(editId);
    return found == m_edits.end() ? nullptr : &found->second;
}

// Configuration

command_result replicated_state::handle(const apply_edit &body)
{
    const auto &change = body.change;
    const auto hash = core::sha256Hex(std::to_string(change.baseRevision) + '\n' + change.document);
    if (const auto known = m_edits.find(change.editId); known != m_edits.end()) {
        if (known->second.documentHash == hash)
            return {{}, known->second.verdict};
        return {{}, edit_verdict{edit_verdict_kind::EditIdReused, m_configuration.revision}};
    }
    if (m_edits.size() >= table_limits::edits)
        return failure(state_error::TableFull);
    edit_verdict verdict{edit_verdict_kind::Conflict, m_configuration.revision};
    if (change.baseRevision == m_configuration.revision) {
        verdict = {edit_verdict_kind::Accepted, m_configuration.revision + 1};
        m_configuration = {verdict.revision, change.document, change.editId, change.author};
        if (body.limits)
            m_limits = *body.limits;
        m_history.push_back({verdict.revision, change.editId, change.author,
                             core::sha256Hex(change.document), m_time});
        if (m_history.size() > table_limits::history)
            m_history.pop_front();
    }
    m_edits[change.editId] = {hash, verdict, m_time};
    m_expiries.insert(
        {m_time + table_limits::editRetention, expiry_kind::Edit, {{}, change.editId}});
    return {{}, verdict};
}

// Control lease and orders

control_lease_verdict replicated_state::leaseVerdict(bool granted) const
{
    control_lease_verdict verdict;
    verdict.granted = granted;
    verdict.holder = m_lease.holder;
    verdict.holderIncarnation = m_lease.incarnation;
    verdict.fencing = m_lease.fencing;
    if (!m_lease.holder.empty() && m_lease.expiresAt > m_time)
        verdict.remaining
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_lease.expiresAt - m_time);
    return verdict;
}

command_result replicated_state::handle(const control_lease_acquire &body)
{
    const bool held = !m_lease.holder.empty() && m_time < m_lease.expiresAt;
    const bool own = m_lease.holder == body.holder && m_lease.incarnation == body.incarnation;
    if (held && !own)
        return {make_error_code(state_error::LeaseHeld), leaseVerdict(false)};
    if (body.duration.count() == 0) {
        if (held)
            m_lease.holder.clear();
        return {{}, leaseVerdict(false)};
    }
    const bool first = m_lease.fencing == 0;
    m_lease.holder = body.holder;
    m_lease.incarnation = body.incarnation;
    m_lease.expiresAt
        = m_time + std::min<std::chrono::milliseconds>(body.duration, table_limits::maximumLease);
    if (held)
        return {{}, leaseVerdict(true)};
    m_lease.fencing = m_appliedIndex;
    auto verdict = leaseVerdict(true);
    // Orders of the last holder may still be in transit.
    if (!first)
        verdict.waitBeforeUnfencedOrders = table_limits::orderDeliveryDelay;
    return {{}, verdict};
}

bool replicated_state::leaseAllows(std::uint64_t fencing) const
{
    return !m_lease.holder.empty() && m_time < m_lease.expiresAt && m_lease.fencing == fencing;
}

command_result replicated_state::handle(const order_begin &body)
{
    if (!leaseAllows(body.fencing))
        return failure(state_error::StaleFencing);
    if (const auto known = m_orders.find(body.orderId); known != m_orders.end()) {
        auto &record = known->second;
        if (record.order.kind != body.kind || record.order.target != body.target
            || record.order.detail != body.detail)
            return failure(state_error::OrderMismatch);
        if (record.state == order_state::Started)
            record.order.fencing = body.fencing;
        return {{}, order_verdict{record.state, true}};
    }
    if (m_openOrders >= table_limits::openOrders || m_orders.size() >= table_limits::orders)
        return failure(state_error::TableFull);
    m_orders[body.orderId] = {body, order_state::Started, m_time};
    ++m_openOrders;
    return {{}, order_verdict{order_state::Started, false}};
}

command_result replicated_state::handle(const order_finish &body)
{
    if (!leaseAllows(body.fencing))
        return failure(state_error::StaleFencing);
    const auto known = m_orders.find(body.orderId);
    if (known == m_orders.end())
        return failure(state_error::UnknownOrder);
    auto &record = known->second;
    if (record.state != order_state::Started) {
        if (record.state != body.outcome)
            return failure(state_error::OrderMismatch);
        return {{}, order_verdict{record.state, true}};
    }
    record.state = body.outcome;
    record.changedAt = m_time;
    --m_openOrders;
    m_expiries.insert(
        {m_time + table_limits::orderRetention, expiry_kind::Order, {{}, body.orderId}});
    return {{}, order_verdict{record.state, false}};
}

// Members

command_result replicated_state::handle(const member_contact &body)
{
    // A host has one data folder per group, so a new id supersedes the old one of the same name.
    std::erase_if(m_members, [&](const auto &each) {
        return each.second.name == body.name && each.first != body.member;
    });
    if (!m_members.contains(body.member) && m_members.size() >= table_limits::members)
        return failure(state_error::TableFull);
    m_members[body.member] = body;
    return {};
}

// Expiry

void replicated_state::expire()
{
    int budget = maximumExpiriesPerCommand;
    while (budget-- > 0 && !m_answers.empty() && m_answers.begin()->until <= m_time)
        dropAnswer(retained_response(*m_answers.begin()));
    while (budget-- > 0 && !m_expiries.empty() && m_expiries.begin()->at <= m_time)
        expireOne(m_expiries.extract(m_expiries.begin()).value());
}

void replicated_state::expireOne(const expiry &due)
{
    switch (due.kind) {
    case expiry_kind::Edit:
        m_edits.erase(due.key.key);
        return;
    case expiry_kind::Claim:
        expireClaim(due.key);
        return;
    case expiry_kind::Attempt:
        m_abandoned.erase(due.key.key);
        return;
    case expiry_kind::Order:
        m_orders.erase(due.key.key);
        return;
    case expiry_kind::Host:
        break;
    }
    const auto host = m_hosts.find(due.key.key);
    if (!m_runningByHost.contains(due.key.key)) {
        m_hosts.erase(host);
        return;
    }
    host->second.changedAt = m_time;
    m_expiries.insert({m_time + table_limits::hostRetention, expiry_kind::Host, due.key});
}

} // namespace quetzalcleat::state
