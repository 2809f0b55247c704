#include "LibConsensus/log_record.h"

#include "LibConsensus/byte_codec.h"
#include "LibConsensus/log_store.h"
#include "LibCore/hash.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace quetzalcleat::consensus {

namespace {

constexpr std::uint32_t frameMagic = 0x5a51424cU;
constexpr std::size_t frameHeaderBytes = 32;
/// What the header's checksum covers: magic, length, number and the payload's checksum.
constexpr std::size_t frameHeaderCheckedBytes = 24;
constexpr std::uint64_t segmentMagic = 0x3130474553545a51U;
constexpr std::uint64_t identityMagic = 0x31304e4544495a51U;
constexpr std::uint64_t hintMagic = 0x3130544e48535a51U;
constexpr std::uint64_t snapshotMagic = 0x313050414e535a51U;

std::uint64_t checksum(std::span<const std::byte> bytes)
{
    return core::hash64(asText(bytes));
}

/// The bytes written so far, followed by their checksum.
std::vector<std::byte> withChecksum(byte_writer &&writer)
{
    auto bytes = writer.take();
    byte_writer tail;
    tail.number(checksum(bytes));
    const auto sum = tail.take();
    bytes.insert(bytes.end(), sum.begin(), sum.end());
    return bytes;
}

/// True if the last 8 bytes are the checksum of the bytes before them.
bool hasValidChecksum(std::span<const std::byte> bytes)
{
    if (bytes.size() < sizeof(std::uint64_t))
        return false;
    const auto content = bytes.first(bytes.size() - sizeof(std::uint64_t));
    byte_reader tail(bytes.last(sizeof(std::uint64_t)));
    return tail.number<std::uint64_t>() == checksum(content);
}

void write(byte_writer &writer, const log_position &position)
{
    writer.number(position.term);
    writer.number(position.index);
}

log_position readPosition(byte_reader &reader)
{
    log_position position;
    position.term = reader.number<term_number>();
    position.index = reader.number<log_index>();
    return position;
}

std::optional<log_batch> decodePayload(std::uint64_t number, std::span<const std::byte> bytes)
{
    byte_reader reader(bytes);
    log_batch batch;
    batch.number = number;
    batch.hardState.term = reader.number<term_number>();
    batch.hardState.votedFor = reader.number<member_id>();
    batch.hardState.commit = reader.number<log_index>();
    if (reader.number<std::uint8_t>() != 0)
        batch.reset = readPosition(reader);
    const auto count = reader.number<std::uint32_t>();
    for (std::uint32_t i = 0; i < count && !reader.failed(); ++i) {
        log_entry entry;
        entry.position = readPosition(reader);
        const auto kind = reader.number<std::uint8_t>();
        if (kind > static_cast<std::uint8_t>(entry_kind::Membership))
            return std::nullopt;
        entry.kind = static_cast<entry_kind>(kind);
        entry.payload = reader.copiedBytes();
        batch.entries.push_back(std::move(entry));
    }
    if (!reader.complete())
        return std::nullopt;
    return batch;
}

} // namespace

std::vector<std::byte> encodeBatch(const log_batch &batch)
{
    byte_writer payload;
    payload.number(batch.hardState.term);
    payload.number(batch.hardState.votedFor);
    payload.number(batch.hardState.commit);
    payload.number(static_cast<std::uint8_t>(batch.reset ? 1 : 0));
    if (batch.reset)
        write(payload, *batch.reset);
    payload.number(static_cast<std::uint32_t>(batch.entries.size()));
    for (const auto &entry : batch.entries) {
        write(payload, entry.position);
        payload.number(static_cast<std::uint8_t>(entry.kind));
        payload.bytes(entry.payload);
    }
    const auto content = payload.take();
    byte_writer header;
    header.number(frameMagic);
    header.number(static_cast<std::uint32_t>(content.size()));
    header.number(batch.number);
    header.number(checksum(content));
    auto frame = withChecksum(std::move(header));
    frame.insert(frame.end(), content.begin(), content.end());
    return frame;
}

std::optional<decoded_batch> decodeBatch(std::span<const std::byte> bytes)
{
    if (bytes.size() < frameHeaderBytes)
        return std::nullopt;
    byte_reader reader(bytes.first(frameHeaderCheckedBytes));
    if (reader.number<std::uint32_t>() != frameMagic
        || !hasValidChecksum(bytes.first(frameHeaderBytes)))
        return std::nullopt;
    const auto length = reader.number<std::uint32_t>();
    const auto number = reader.number<std::uint64_t>();
    const auto sum = reader.number<std::uint64_t>();
    if (length > bytes.size() - frameHeaderBytes)
        return std::nullopt;
    const auto payload = bytes.subspan(frameHeaderBytes, length);
    if (checksum(payload) != sum)
        return std::nullopt;
    auto batch = decodePayload(number, payload);
    if (!batch)
        return std::nullopt;
    return decoded_batch{*std::move(batch), frameHeaderBytes + length};
}

bool containsLaterBatch(std::span<const std::byte> bytes, std::uint64_t number)
{
    for (std::size_t offset = 0; offset + frameHeaderBytes <= bytes.size(); ++offset) {
        // Comparing the first byte of the magic avoids most computations of the checksum.
        if (std::to_integer<std::uint32_t>(bytes[offset]) != (frameMagic & 0xffU))
            continue;
        const auto found = decodeBatch(bytes.subspan(offset));
        if (found && found->batch.number > number)
            return true;
    }
    return false;
}

std::vector<std::byte> encodeSegmentHeader(const store_identity &identity, std::uint64_t firstBatch)
{
    byte_writer writer;
    writer.number(segmentMagic);
    writer.number(std::uint64_t{identity.group});
    writer.number(identity.self);
    writer.number(firstBatch);
    return withChecksum(std::move(writer));
}

bool hasSegmentHeader(std::span<const std::byte> bytes, const store_identity &identity,
                      std::uint64_t firstBatch)
{
    return bytes.size() >= segmentHeaderBytes
        && std::ranges::equal(bytes.first(segmentHeaderBytes),
                              encodeSegmentHeader(identity, firstBatch));
}

std::vector<std::byte> encodeIdentity(const store_identity &identity)
{
    byte_writer writer;
    writer.number(identityMagic);
    writer.number(identity.group);
    writer.number(identity.self);
    return withChecksum(std::move(writer));
}

std::optional<store_identity> decodeIdentity(std::span<const std::byte> bytes)
{
    byte_reader reader(bytes);
    if (!hasValidChecksum(bytes) || reader.number<std::uint64_t>() != identityMagic)
        return std::nullopt;
    store_identity identity;
    identity.group = reader.number<group_id>();
    identity.self = reader.number<member_id>();
    if (reader.remaining() != sizeof(std::uint64_t) || identity.self == 0)
        return std::nullopt;
    return identity;
}

std::vector<std::byte> encodeSyncHint(std::uint64_t batch)
{
    byte_writer writer;
    writer.number(hintMagic);
    writer.number(batch);
    return withChecksum(std::move(writer));
}

std::uint64_t decodeSyncHint(std::span<const std::byte> bytes)
{
    byte_reader reader(bytes);
    if (!hasValidChecksum(bytes) || reader.number<std::uint64_t>() != hintMagic)
        return 0;
    return reader.number<std::uint64_t>();
}

std::vector<std::byte> encodeSnapshotFile(const store_identity &identity, const snapshot &value)
{
    byte_writer writer;
    writer.number(snapshotMagic);
    writer.number(identity.group);
    write(writer, value.last);
    writer.bytes(encodeMembership(value.members));
    writer.bytes(*value.content);
    return withChecksum(std::move(writer));
}

core::result<snapshot> decodeSnapshotFile(std::span<const std::byte> bytes,
                                          const store_identity &identity)
{
    if (!hasValidChecksum(bytes))
        return consensus_error::CorruptSnapshot;
    byte_reader reader(bytes.first(bytes.size() - sizeof(std::uint64_t)));
    if (reader.number<std::uint64_t>() != snapshotMagic)
        return consensus_error::CorruptSnapshot;
    if (reader.number<group_id>() != identity.group)
        return consensus_error::WrongGroup;
    snapshot value;
    value.last = readPosition(reader);
    auto members = decodeMembership(reader.bytes());
    value.content = std::make_shared<const std::vector<std::byte>>(reader.copiedBytes());
    if (!members || !reader.complete() || value.last.index == 0)
        return consensus_error::CorruptSnapshot;
    value.members = std::move(members).value();
    return value;
}

bool log_replay::apply(log_batch batch)
{
    m_hardState = batch.hardState;
    if (batch.reset) {
        m_reset = batch.reset;
        m_entries.clear();
    }
    return std::ranges::all_of(batch.entries,
                               [this](log_entry &entry) { return append(std::move(entry)); });
}

bool log_replay::append(log_entry entry)
{
    const auto index = entry.position.index;
    while (!m_entries.empty() && m_entries.back().position.index >= index)
        m_entries.pop_back();
    const auto last = !m_entries.empty() ? m_entries.back().position.index
        : m_reset                        ? m_reset->index
                                         : index - 1;
    if (index != last + 1)
        return false;
    m_entries.push_back(std::move(entry));
    return true;
}

} // namespace quetzalcleat::consensus
