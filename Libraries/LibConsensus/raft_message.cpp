#include "LibConsensus/raft_message.h"

#include "LibConsensus/byte_codec.h"
#include "LibConsensus/consensus_error.h"

#include <utility>

namespace quetzalcleat::consensus {

namespace {

constexpr std::uint8_t messageVersion = 1;
/// Index, term, kind and length of an entry.
constexpr std::size_t minimumEntryBytes = 8 + 8 + 1 + 4;

std::uint8_t flag(bool value)
{
    return value ? 1 : 0;
}

void write(byte_writer &writer, const log_position &value)
{
    writer.number(value.term);
    writer.number(value.index);
}

log_position readPosition(byte_reader &reader)
{
    log_position value;
    value.term = reader.number<term_number>();
    value.index = reader.number<log_index>();
    return value;
}

bool readFlag(byte_reader &reader)
{
    const auto value = reader.number<std::uint8_t>();
    if (value > 1)
        reader.fail();
    return value == 1;
}

std::int64_t readClock(byte_reader &reader)
{
    return static_cast<std::int64_t>(reader.number<std::uint64_t>());
}

struct body_writer
{
    byte_writer &writer;

    void operator()(const vote_request &body) const
    {
        writer.number(flag(body.preVote));
        writer.number(flag(body.leaderTransfer));
        write(writer, body.lastEntry);
    }

    void operator()(const vote_response &body) const
    {
        writer.number(flag(body.preVote));
        writer.number(flag(body.granted));
    }

    void operator()(const append_request &body) const
    {
        write(writer, body.previous);
        writer.number(body.commit);
        writer.number(static_cast<std::uint64_t>(body.leaderClock));
        writer.number(static_cast<std::uint32_t>(body.entries.size()));
        for (const auto &entry : body.entries) {
            write(writer, entry.position);
            writer.number(static_cast<std::uint8_t>(entry.kind));
            writer.bytes(entry.payload);
        }
    }

    void operator()(const append_response &body) const
    {
        writer.number(flag(body.accepted));
        writer.number(body.match);
        writer.number(body.matchTerm);
        writer.number(static_cast<std::uint64_t>(body.leaderClock));
    }

    void operator()(const snapshot_chunk &body) const
    {
        write(writer, body.last);
        writer.bytes(encodeMembership(body.members));
        writer.number(body.totalBytes);
        writer.number(body.contentHash);
        writer.number(body.offset);
        writer.bytes(body.data);
        writer.number(static_cast<std::uint64_t>(body.leaderClock));
    }

    void operator()(const snapshot_response &body) const
    {
        write(writer, body.last);
        writer.number(body.receivedBytes);
        writer.number(static_cast<std::uint64_t>(body.leaderClock));
    }

    void operator()(const timeout_now &) const { }
};

vote_request readVoteRequest(byte_reader &reader)
{
    vote_request body;
    body.preVote = readFlag(reader);
    body.leaderTransfer = readFlag(reader);
    body.lastEntry = readPosition(reader);
    return body;
}

vote_response readVoteResponse(byte_reader &reader)
{
    vote_response body;
    body.preVote = readFlag(reader);
    body.granted = readFlag(reader);
    return body;
}

append_request readAppendRequest(byte_reader &reader)
{
    append_request body;
    body.previous = readPosition(reader);
    body.commit = reader.number<log_index>();
    body.leaderClock = readClock(reader);
    const auto count = reader.number<std::uint32_t>();
    if (count > reader.remaining() / minimumEntryBytes) {
        reader.fail();
        return body;
    }
    body.entries.reserve(count);
    for (std::uint32_t i = 0; i < count && !reader.failed(); ++i) {
        log_entry entry;
        entry.position = readPosition(reader);
        const auto kind = reader.number<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(entry_kind::Membership))
            reader.fail();
        entry.kind = static_cast<entry_kind>(kind);
        entry.payload = reader.copiedBytes();
        body.entries.push_back(std::move(entry));
    }
    return body;
}

append_response readAppendResponse(byte_reader &reader)
{
    append_response body;
    body.accepted = readFlag(reader);
    body.match = reader.number<log_index>();
    body.matchTerm = reader.number<term_number>();
    body.leaderClock = readClock(reader);
    return body;
}

snapshot_chunk readSnapshotChunk(byte_reader &reader)
{
    snapshot_chunk body;
    body.last = readPosition(reader);
    auto members = decodeMembership(reader.bytes());
    if (members)
        body.members = std::move(members).value();
    else
        reader.fail();
    body.totalBytes = reader.number<std::uint64_t>();
    body.contentHash = reader.number<std::uint64_t>();
    body.offset = reader.number<std::uint64_t>();
    body.data = reader.copiedBytes();
    body.leaderClock = readClock(reader);
    return body;
}

snapshot_response readSnapshotResponse(byte_reader &reader)
{
    snapshot_response body;
    body.last = readPosition(reader);
    body.receivedBytes = reader.number<std::uint64_t>();
    body.leaderClock = readClock(reader);
    return body;
}

} // namespace

std::vector<std::byte> encodeMessage(const raft_message &message)
{
    byte_writer writer;
    writer.number(messageVersion);
    writer.number(message.group);
    writer.number(message.from);
    writer.number(message.to);
    writer.number(message.term);
    writer.number(static_cast<std::uint8_t>(message.body.index()));
    std::visit(body_writer{writer}, message.body);
    return writer.take();
}

core::result<raft_message> decodeMessage(std::span<const std::byte> bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return consensus_error::MessageTooLarge;
    byte_reader reader(bytes);
    if (reader.number<std::uint8_t>() != messageVersion)
        return reader.failed() ? consensus_error::MalformedMessage
                               : consensus_error::UnsupportedVersion;
    raft_message message;
    message.group = reader.number<group_id>();
    message.from = reader.number<member_id>();
    message.to = reader.number<member_id>();
    message.term = reader.number<term_number>();
    switch (reader.number<std::uint8_t>()) {
    case 0:
        message.body = readVoteRequest(reader);
        break;
    case 1:
        message.body = readVoteResponse(reader);
        break;
    case 2:
        message.body = readAppendRequest(reader);
        break;
    case 3:
        message.body = readAppendResponse(reader);
        break;
    case 4:
        message.body = readSnapshotChunk(reader);
        break;
    case 5:
        message.body = readSnapshotResponse(reader);
        break;
    case 6:
        message.body = timeout_now{};
        break;
    default:
        reader.fail();
    }
    if (!reader.complete())
        return consensus_error::MalformedMessage;
    return message;
}

} // namespace quetzalcleat::consensus
