#pragma once

#include "LibConsensus/raft_core.h"
#include "LibConsensus/raft_message.h"
#include "LibCore/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace quetzalcleat::consensus {

struct store_identity;

/// The unit that log_store writes and syncs at once.
struct log_batch
{
    std::uint64_t number = 0;
    hard_state hardState;
    std::optional<log_position> reset; ///< Drops all earlier entries; the log continues after it.
    std::vector<log_entry> entries;
};

/// Entries of a larger ready are split into several batches.
constexpr std::size_t maximumBatchBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t segmentHeaderBytes = 40;

/// A frame: magic, length, number, checksum of the payload, checksum of the header, payload.
std::vector<std::byte> encodeBatch(const log_batch &batch);

struct decoded_batch
{
    log_batch batch;
    std::size_t frameBytes = 0;
};
/// The batch whose frame begins at the first byte, if the frame is complete and undamaged.
std::optional<decoded_batch> decodeBatch(std::span<const std::byte> bytes);

/// True if an undamaged frame with a number above `number` begins anywhere in the bytes.
bool containsLaterBatch(std::span<const std::byte> bytes, std::uint64_t number);

std::vector<std::byte> encodeSegmentHeader(const store_identity &identity,
                                           std::uint64_t firstBatch);
/// True if the bytes begin with this header.
bool hasSegmentHeader(std::span<const std::byte> bytes, const store_identity &identity,
                      std::uint64_t firstBatch);

std::vector<std::byte> encodeIdentity(const store_identity &identity);
std::optional<store_identity> decodeIdentity(std::span<const std::byte> bytes);

/// Number of the last batch known to be synced.
std::vector<std::byte> encodeSyncHint(std::uint64_t batch);
/// 0 if the hint cannot be read.
std::uint64_t decodeSyncHint(std::span<const std::byte> bytes);

std::vector<std::byte> encodeSnapshotFile(const store_identity &identity, const snapshot &value);
core::result<snapshot> decodeSnapshotFile(std::span<const std::byte> bytes,
                                          const store_identity &identity);

/// Rebuilds the log from its batches.
class log_replay
{
public:
    /// False if the entries do not continue the log.
    bool apply(log_batch batch);

    const hard_state &hardState() const { return m_hardState; }
    const std::optional<log_position> &reset() const { return m_reset; }
    std::vector<log_entry> takeEntries() { return std::move(m_entries); }

private:
    bool append(log_entry entry);

    hard_state m_hardState;
    std::optional<log_position> m_reset;
    std::vector<log_entry> m_entries;
};

} // namespace quetzalcleat::consensus
