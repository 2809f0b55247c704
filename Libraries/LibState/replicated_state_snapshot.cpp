#include "LibState/msgpack_fields.h"
#include "LibState/record_reader.h"
#include "LibState/replicated_state.h"

#include <functional>
#include <utility>

namespace quetzalcleat::state {

namespace {

using detail::msgpack_array_reader;
using detail::msgpack_array_writer;
using detail::record_reader;
using detail::writeTable;

constexpr std::uint32_t snapshotVersion = 1;

void write(msgpack_array_writer &writer, const order_record &record)
{
    writer.array(7);
    writer.number(record.order.fencing);
    writer.text(record.order.orderId);
    writer.text(record.order.kind);
    writer.text(record.order.target);
    writer.text(record.order.detail);
    writer.number(static_cast<std::uint64_t>(record.state));
    writer.time(record.changedAt);
}

order_record readOrder(msgpack_array_reader &reader)
{
    order_record record;
    record.order.fencing = reader.number();
    record.order.orderId = reader.text();
    record.order.kind = reader.text();
    record.order.target = reader.text();
    record.order.detail = reader.text();
    record.state = reader.enumeration(order_state::Undone);
    record.changedAt = reader.time();
    return record;
}

void write(msgpack_array_writer &writer, const claim_record &record)
{
    writer.array(13);
    detail::write(writer, record.attempt);
    writer.number(static_cast<std::uint64_t>(record.state));
    writer.text(record.bodyHash);
    detail::write(writer, record.answer);
    writer.time(record.changedAt);
    writer.time(record.answerUntil);
}

claim_record readClaim(msgpack_array_reader &reader)
{
    claim_record record;
    record.attempt = detail::readAttempt(reader);
    record.state = reader.enumeration(claim_state::ClosedNotRun);
    record.bodyHash = reader.text();
    record.answer = detail::readAnswer(reader);
    record.changedAt = reader.time();
    record.answerUntil = reader.time();
    return record;
}

} // namespace

std::vector<std::byte> replicated_state::snapshot() const
{
    msgpack_array_writer writer;
    writer.array(5);
    writer.number(snapshotVersion);
    writer.number(m_appliedIndex);
    writer.time(m_time);
    writer.number(m_limits.answerBytes);
    writer.number(static_cast<std::uint64_t>(m_limits.answerRetention.count()));

    writer.array(4);
    writer.number(m_configuration.revision);
    writer.text(m_configuration.document);
    writer.text(m_configuration.editId);
    writer.text(m_configuration.author);

    writer.array(4);
    writer.text(m_lease.holder);
    writer.number(m_lease.incarnation);
    writer.number(m_lease.fencing);
    writer.time(m_lease.expiresAt);

    writeTable(writer, m_history, [&](const history_record &each) {
        writer.array(5);
        writer.number(each.revision);
        writer.text(each.editId);
        writer.text(each.author);
        writer.text(each.documentHash);
        writer.time(each.acceptedAt);
    });
    writeTable(writer, m_edits, [&](const auto &each) {
        writer.array(5);
        writer.text(each.first);
        writer.text(each.second.documentHash);
        writer.number(static_cast<std::uint64_t>(each.second.verdict.kind));
        writer.number(each.second.verdict.revision);
        writer.time(each.second.decidedAt);
    });
    writeTable(writer, m_claims, [&](const auto &each) { write(writer, each.second); });
    writeTable(writer, m_abandoned, [&](const auto &each) {
        writer.array(2);
        writer.text(each.first);
        writer.time(each.second);
    });
    writeTable(writer, m_hosts, [&](const auto &each) {
        writer.array(3);
        writer.text(each.first);
        writer.number(each.second.incarnation);
        writer.time(each.second.changedAt);
    });
    writeTable(writer, m_orders, [&](const auto &each) { write(writer, each.second); });
    writeTable(writer, m_members, [&](const auto &each) {
        writer.array(4);
        writer.number(each.first);
        writer.text(each.second.name);
        writer.text(each.second.address);
        writer.text(each.second.dataCentre);
    });
    // Without duties, versions that do not know them can read the snapshot.
    if (!m_duties.isEmpty())
        m_duties.write(writer);
    return writer.take();
}

core::result<replicated_state> replicated_state::restore(std::span<const std::byte> bytes)
{
    replicated_state state;
    record_reader records(bytes);
    std::uint64_t version = 0;
    records.record([&](msgpack_array_reader &reader) {
        version = reader.number();
        state.m_appliedIndex = reader.number();
        state.m_time = reader.time();
        state.m_limits.answerBytes = reader.number();
        state.m_limits.answerRetention = reader.milliseconds();
    });
    if (version > snapshotVersion)
        return state_error::UnsupportedVersion;
    records.record([&](msgpack_array_reader &reader) {
        state.m_configuration.revision = reader.number();
        state.m_configuration.document = reader.text();
        state.m_configuration.editId = reader.text();
        state.m_configuration.author = reader.text();
    });
    records.record([&](msgpack_array_reader &reader) {
        state.m_lease.holder = reader.text();
        state.m_lease.incarnation = reader.number();
        state.m_lease.fencing = reader.number();
        state.m_lease.expiresAt = reader.time();
    });
    records.table(table_limits::history, [&](msgpack_array_reader &reader) {
        history_record record;
        record.revision = reader.number();
        record.editId = reader.text();
        record.author = reader.text();
        record.documentHash = reader.text();
        record.acceptedAt = reader.time();
        state.m_history.push_back(std::move(record));
    });
    records.table(table_limits::edits, [&](msgpack_array_reader &reader) {
        const auto editId = reader.text();
        auto &record = state.m_edits[editId];
        record.documentHash = reader.text();
        record.verdict.kind = reader.enumeration(edit_verdict_kind::EditIdReused);
        record.verdict.revision = reader.number();
        record.decidedAt = reader.time();
    });
    records.table(table_limits::claims, [&](msgpack_array_reader &reader) {
        auto record = readClaim(reader);
        const auto key = record.attempt.key;
        state.m_claims[key] = std::move(record);
    });
    records.table(table_limits::abandonedAttempts, [&](msgpack_array_reader &reader) {
        const auto attemptId = reader.text();
        state.m_abandoned[attemptId] = reader.time();
    });
    records.table(table_limits::hosts, [&](msgpack_array_reader &reader) {
        auto &record = state.m_hosts[reader.text()];
        record.incarnation = reader.number();
        record.changedAt = reader.time();
    });
    records.table(table_limits::orders, [&](msgpack_array_reader &reader) {
        auto record = readOrder(reader);
        const auto orderId = record.order.orderId;
        state.m_orders[orderId] = std::move(record);
    });
    records.table(table_limits::members, [&](msgpack_array_reader &reader) {
        member_contact contact;
        contact.member = reader.number();
        contact.name = reader.text();
        contact.address = reader.text();
        contact.dataCentre = reader.text();
        state.m_members[contact.member] = std::move(contact);
    });
    if (!records.atEnd())
        state.m_duties.read(records);
    if (!records.complete())
        return state_error::MalformedSnapshot;
    state.rebuildIndexes();
    return state;
}

void replicated_state::rebuildIndexes()
{
    for (const auto &[editId, record] : m_edits)
        m_expiries.insert(
            {record.decidedAt + table_limits::editRetention, expiry_kind::Edit, {{}, editId}});
    for (const auto &[key, record] : m_claims)
        indexClaim(key, record);
    for (const auto &[attemptId, at] : m_abandoned)
        m_expiries.insert(
            {at + table_limits::attemptRetention, expiry_kind::Attempt, {{}, attemptId}});
    for (const auto &[host, record] : m_hosts)
        m_expiries.insert(
            {record.changedAt + table_limits::hostRetention, expiry_kind::Host, {{}, host}});
    for (const auto &[orderId, record] : m_orders) {
        if (record.state == order_state::Started)
            ++m_openOrders;
        else
            m_expiries.insert({record.changedAt + table_limits::orderRetention,
                               expiry_kind::Order,
                               {{}, orderId}});
    }
}

} // namespace quetzalcleat::state
