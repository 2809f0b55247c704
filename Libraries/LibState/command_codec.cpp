#include "LibState/command.h"

#include "LibState/msgpack_fields.h"
#include "LibState/state_error.h"

#include <utility>

namespace quetzalcleat::state {

namespace {

using detail::msgpack_array_reader;
using detail::msgpack_array_writer;

constexpr std::size_t attemptFields = 5;
constexpr std::size_t answerFields = 4;

struct body_writer
{
    msgpack_array_writer &writer;

    void operator()(const apply_edit &body) const
    {
        writer.array(body.limits ? 6 : 4);
        writer.text(body.change.editId);
        writer.number(body.change.baseRevision);
        writer.text(body.change.document);
        writer.text(body.change.author);
        if (!body.limits)
            return;
        writer.number(body.limits->answerBytes);
        writer.number(static_cast<std::uint64_t>(body.limits->answerRetention.count()));
    }

    void operator()(const claim_begin &body) const
    {
        writer.array(attemptFields + 1);
        write(writer, body.request.attempt);
        writer.text(body.request.bodyHash);
    }

    void operator()(const claim_finish &body) const
    {
        writer.array(attemptFields + 1 + answerFields);
        write(writer, body.result.attempt);
        writer.flag(body.result.outcomeKnown);
        write(writer, body.result.answer);
    }

    void operator()(const claim_abandon &body) const
    {
        writer.array(attemptFields);
        write(writer, body.attempt);
    }

    void operator()(const claim_close &body) const
    {
        writer.array(2);
        write(writer, body.key);
    }

    void operator()(const host_register &body) const
    {
        writer.array(2);
        writer.text(body.host);
        writer.number(body.incarnation);
    }

    void operator()(const control_lease_acquire &body) const
    {
        writer.array(3);
        writer.text(body.holder);
        writer.number(body.incarnation);
        writer.number(static_cast<std::uint64_t>(body.duration.count()));
    }

    void operator()(const order_begin &body) const
    {
        writer.array(5);
        writer.number(body.fencing);
        writer.text(body.orderId);
        writer.text(body.kind);
        writer.text(body.target);
        writer.text(body.detail);
    }

    void operator()(const order_finish &body) const
    {
        writer.array(3);
        writer.number(body.fencing);
        writer.text(body.orderId);
        writer.number(static_cast<std::uint64_t>(body.outcome));
    }

    void operator()(const member_contact &body) const
    {
        writer.array(4);
        writer.number(body.member);
        writer.text(body.name);
        writer.text(body.address);
        writer.text(body.dataCentre);
    }

    void operator()(const duty_acquire &body) const
    {
        writer.array(3);
        writer.number(static_cast<std::uint64_t>(body.kind));
        writer.text(body.host);
        writer.number(body.incarnation);
    }

    void operator()(const usage_close &body) const
    {
        writer.array(4);
        writer.number(body.generation);
        writer.number(body.window);
        writer.number(body.undeliveredWindows);
        write(writer, body.counts);
    }

    void operator()(const usage_delivered &body) const
    {
        writer.array(1);
        writer.number(body.window);
    }

    void operator()(const capacity_order &body) const
    {
        writer.array(5);
        writer.number(body.generation);
        writer.text(body.subject.service);
        writer.text(body.subject.dataCentre);
        writer.flag(body.subject.isSpot);
        writer.number(body.desired);
    }
};

void read(msgpack_array_reader &reader, apply_edit &body)
{
    body.change.editId = reader.text();
    body.change.baseRevision = reader.number();
    body.change.document = reader.text();
    body.change.author = reader.text();
    if (reader.size() == 4)
        return;
    body.limits.emplace();
    body.limits->answerBytes = reader.number();
    body.limits->answerRetention = reader.milliseconds();
}

void read(msgpack_array_reader &reader, claim_begin &body)
{
    body.request.attempt = detail::readAttempt(reader);
    body.request.bodyHash = reader.text();
}

void read(msgpack_array_reader &reader, claim_finish &body)
{
    body.result.attempt = detail::readAttempt(reader);
    body.result.outcomeKnown = reader.flag();
    body.result.answer = detail::readAnswer(reader);
}

void read(msgpack_array_reader &reader, claim_abandon &body)
{
    body.attempt = detail::readAttempt(reader);
}

void read(msgpack_array_reader &reader, claim_close &body)
{
    body.key = detail::readKey(reader);
}

void read(msgpack_array_reader &reader, host_register &body)
{
    body.host = reader.text();
    body.incarnation = reader.number();
}

void read(msgpack_array_reader &reader, control_lease_acquire &body)
{
    body.holder = reader.text();
    body.incarnation = reader.number();
    body.duration = reader.milliseconds();
}

void read(msgpack_array_reader &reader, order_begin &body)
{
    body.fencing = reader.number();
    body.orderId = reader.text();
    body.kind = reader.text();
    body.target = reader.text();
    body.detail = reader.text();
}

void read(msgpack_array_reader &reader, order_finish &body)
{
    body.fencing = reader.number();
    body.orderId = reader.text();
    body.outcome = reader.enumeration(order_state::Undone);
}

void read(msgpack_array_reader &reader, member_contact &body)
{
    body.member = reader.number();
    body.name = reader.text();
    body.address = reader.text();
    body.dataCentre = reader.text();
}

void read(msgpack_array_reader &reader, duty_acquire &body)
{
    body.kind = reader.enumeration(duty::Autoscale);
    body.host = reader.text();
    body.incarnation = reader.number();
}

void read(msgpack_array_reader &reader, usage_close &body)
{
    body.generation = reader.number();
    body.window = reader.number();
    body.undeliveredWindows = reader.number();
    body.counts = detail::readCounts(reader);
}

void read(msgpack_array_reader &reader, usage_delivered &body)
{
    body.window = reader.number();
}

void read(msgpack_array_reader &reader, capacity_order &body)
{
    body.generation = reader.number();
    body.subject.service = reader.text();
    body.subject.dataCentre = reader.text();
    body.subject.isSpot = reader.flag();
    body.desired = reader.number();
}

/// Reads the body whose index in command_body is `kind`.
template <std::size_t Index = 0>
void readBody(msgpack_array_reader &reader, std::uint64_t kind, command_body &body)
{
    if constexpr (Index == std::variant_size_v<command_body>) {
        reader.fail();
    } else if (kind != Index) {
        readBody<Index + 1>(reader, kind, body);
    } else {
        read(reader, body.emplace<Index>());
    }
}

} // namespace

std::vector<std::byte> encodeCommand(const command &value)
{
    msgpack_array_writer writer;
    writer.array(4);
    writer.number(commandVersion);
    writer.time(value.time);
    writer.number(value.body.index());
    std::visit(body_writer{writer}, value.body);
    return writer.take();
}

core::result<command> decodeCommand(std::span<const std::byte> bytes)
{
    if (bytes.size() > maximumEncodedCommandBytes)
        return state_error::CommandTooLarge;
    std::size_t offset = 0;
    const auto handle = detail::unpackValue(bytes, offset);
    if (!handle || offset != bytes.size())
        return state_error::MalformedCommand;
    msgpack_array_reader reader(handle->get());
    const auto version = reader.number();
    if (!reader.failed() && version != commandVersion)
        return state_error::UnsupportedVersion;
    command value;
    value.time = reader.time();
    const auto kind = reader.number();
    auto fields = reader.array();
    if (reader.complete())
        readBody(fields, kind, value.body);
    if (!reader.complete() || !fields.complete())
        return state_error::MalformedCommand;
    if (const auto checked = checkCommand(value); !checked)
        return checked.error();
    return value;
}

} // namespace quetzalcleat::state
