#include "LibState/duty_tables.h"

#include "LibState/command.h"
#include "LibState/record_reader.h"
#include "LibState/state_error.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::state {

command_result duty_tables::apply(const duty_acquire &body, std::uint64_t logIndex)
{
    auto &record = m_holders[body.kind];
    // A repeated proposal of the holder must not change its number.
    if (record.host != body.host || record.incarnation != body.incarnation)
        record = {body.host, body.incarnation, logIndex};
    return {};
}

command_result duty_tables::apply(const usage_close &body)
{
    if (!isNewest(duty::Usage, body.generation))
        return {make_error_code(state_error::StaleFencing), {}};
    // Windows are closed in order, so that dropped ones cannot be closed again with other counts.
    if (m_newestClosed && body.window <= *m_newestClosed) {
        const auto known = m_windows.find(body.window);
        if (known == m_windows.end())
            return {make_error_code(state_error::WindowClosed), {}};
        return {make_error_code(state_error::WindowClosed),
                usage_verdict{body.window, known->second.counts}};
    }
    m_newestClosed = body.window;
    m_windows[body.window] = {body.generation, false, body.counts};
    dropWindows(body.undeliveredWindows);
    return {{}, usage_verdict{body.window, body.counts}};
}

void duty_tables::dropWindows(std::uint64_t undelivered)
{
    const auto newest = *m_newestClosed;
    m_dropped += std::erase_if(m_windows, [&](const auto &each) {
        return !each.second.isDelivered && newest - each.first >= undelivered;
    });
    while (m_windows.size() > maximumWindows) {
        auto dropped = std::find_if(m_windows.begin(), m_windows.end(),
                                    [](const auto &each) { return each.second.isDelivered; });
        if (dropped == m_windows.end()) {
            dropped = m_windows.begin();
            ++m_dropped;
        }
        m_windows.erase(dropped);
    }
}

command_result duty_tables::apply(const usage_delivered &body)
{
    const auto known = m_windows.find(body.window);
    if (known == m_windows.end())
        return {};
    known->second.isDelivered = true;
    m_newestDelivered = std::max(m_newestDelivered.value_or(0), body.window);
    return {};
}

command_result duty_tables::apply(const capacity_order &body)
{
    if (!isNewest(duty::Autoscale, body.generation))
        return {make_error_code(state_error::StaleFencing), {}};
    if (!m_capacity.contains(body.subject) && m_capacity.size() >= maximumCapacitySubjects)
        return {make_error_code(state_error::TableFull), {}};
    m_capacity[body.subject] = {body.generation, body.desired};
    return {};
}

const duty_record *duty_tables::holder(duty kind) const
{
    const auto found = m_holders.find(kind);
    return found == m_holders.end() ? nullptr : &found->second;
}

bool duty_tables::isNewest(duty kind, std::uint64_t generation) const
{
    const auto *newest = holder(kind);
    return newest != nullptr && newest->generation == generation;
}

void duty_tables::write(detail::msgpack_array_writer &writer) const
{
    detail::writeTable(writer, m_holders, [&](const auto &each) {
        writer.array(4);
        writer.number(static_cast<std::uint64_t>(each.first));
        writer.text(each.second.host);
        writer.number(each.second.incarnation);
        writer.number(each.second.generation);
    });
    writer.array(5);
    writer.flag(m_newestClosed.has_value());
    writer.number(m_newestClosed.value_or(0));
    writer.flag(m_newestDelivered.has_value());
    writer.number(m_newestDelivered.value_or(0));
    writer.number(m_dropped);
    detail::writeTable(writer, m_windows, [&](const auto &each) {
        writer.array(4);
        writer.number(each.first);
        writer.number(each.second.generation);
        writer.flag(each.second.isDelivered);
        detail::write(writer, each.second.counts);
    });
    detail::writeTable(writer, m_capacity, [&](const auto &each) {
        writer.array(5);
        writer.text(each.first.service);
        writer.text(each.first.dataCentre);
        writer.flag(each.first.isSpot);
        writer.number(each.second.generation);
        writer.number(each.second.desired);
    });
}

void duty_tables::read(detail::record_reader &records)
{
    using detail::msgpack_array_reader;
    constexpr std::size_t duties = 2;
    records.table(duties, [&](msgpack_array_reader &reader) {
        auto &record = m_holders[reader.enumeration(duty::Autoscale)];
        record.host = reader.text();
        record.incarnation = reader.number();
        record.generation = reader.number();
    });
    records.record([&](msgpack_array_reader &reader) {
        const auto readWindow = [&]() -> std::optional<std::uint64_t> {
            const bool isSet = reader.flag();
            const auto window = reader.number();
            return isSet ? std::optional(window) : std::nullopt;
        };
        m_newestClosed = readWindow();
        m_newestDelivered = readWindow();
        m_dropped = reader.number();
    });
    records.table(maximumWindows, [&](msgpack_array_reader &reader) {
        auto &record = m_windows[reader.number()];
        record.generation = reader.number();
        record.isDelivered = reader.flag();
        record.counts = detail::readCounts(reader);
    });
    records.table(maximumCapacitySubjects, [&](msgpack_array_reader &reader) {
        capacity_subject subject;
        subject.service = reader.text();
        subject.dataCentre = reader.text();
        subject.isSpot = reader.flag();
        auto &record = m_capacity[std::move(subject)];
        record.generation = reader.number();
        record.desired = reader.number();
    });
}

} // namespace quetzalcleat::state
