#pragma once

#include "LibConsensus/membership.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace quetzalcleat::consensus {

/// One of several independent logs that the same hosts may run (docs/decisions/0001).
using group_id = std::uint32_t;
using term_number = std::uint64_t;
/// Position in the log; the first entry has 1.
using log_index = std::uint64_t;

/// An entry is identified by index and term together.
struct log_position
{
    term_number term = 0;
    log_index index = 0;

    bool operator==(const log_position &) const = default;

    /// Raft's "at least as up to date": the later term wins, then the longer log.
    bool isAsUpToDateAs(const log_position &other) const
    {
        return term != other.term ? term > other.term : index >= other.index;
    }
};

enum class entry_kind : std::uint8_t {
    Empty = 0, ///< Written by a new leader, so that earlier entries can be committed.
    Command = 1, ///< For the replicated state machine.
    Membership = 2,
};

struct log_entry
{
    log_position position;
    entry_kind kind = entry_kind::Empty;
    std::vector<std::byte> payload;

    bool operator==(const log_entry &) const = default;
};

/// What a member must keep across restarts besides its log.
struct hard_state
{
    term_number term = 0;
    member_id votedFor = 0; ///< In `term`; 0 if it gave no vote.
    log_index commit = 0; ///< Only a hint that saves work after a restart.

    bool operator==(const hard_state &) const = default;
};

/// The state machine's content after the entry at `last`.
struct snapshot
{
    log_position last;
    membership members;
    std::shared_ptr<const std::vector<std::byte>> content;
};

struct vote_request
{
    bool preVote = false; ///< Asks only whether a vote would be given; raft_message::term is the
                          ///< term the sender would start.
    bool leaderTransfer = false; ///< The old leader has given up its lease and asked for this.
    log_position lastEntry;
};

struct vote_response
{
    bool preVote = false;
    bool granted = false;
};

/// Also serves as heartbeat when it has no entries.
struct append_request
{
    log_position previous;
    std::vector<log_entry> entries;
    log_index commit = 0;
    std::int64_t leaderClock = 0; ///< Sender's monotonic clock in ns, returned unchanged.
};

struct append_response
{
    bool accepted = false;
    /// Accepted: the follower's log equals the leader's up to here and is synced.
    /// Refused: the last index where it may still be equal.
    log_index match = 0;
    /// Refused: term of the follower's entry at `match`.
    term_number matchTerm = 0;
    std::int64_t leaderClock = 0;
};

struct snapshot_chunk
{
    log_position last;
    membership members;
    std::uint64_t totalBytes = 0;
    std::uint64_t contentHash = 0; ///< core::hash64 of the whole content.
    std::uint64_t offset = 0;
    std::vector<std::byte> data;
    std::int64_t leaderClock = 0;
};

struct snapshot_response
{
    log_position last;
    std::uint64_t receivedBytes = 0; ///< The offset expected next.
    std::int64_t leaderClock = 0;
};

/// Asks the receiver to start an election at once.
struct timeout_now
{
};

struct raft_message
{
    group_id group = 0;
    member_id from = 0;
    member_id to = 0;
    term_number term = 0;
    std::variant<vote_request, vote_response, append_request, append_response, snapshot_chunk,
                 snapshot_response, timeout_now>
        body;
};

/// Largest payload of a log entry.
constexpr std::size_t maximumPayloadBytes = std::size_t{3} * 1024 * 1024 + std::size_t{32} * 1024;

/// Largest encoded message: one entry with the largest payload, or many that are smaller.
constexpr std::size_t maximumMessageBytes = maximumPayloadBytes + std::size_t{64} * 1024;

/// The wire form of a message: a version byte and fixed-width little-endian fields.
std::vector<std::byte> encodeMessage(const raft_message &message);
/// Checks every length against the bytes at hand before it allocates.
core::result<raft_message> decodeMessage(std::span<const std::byte> bytes);

} // namespace quetzalcleat::consensus
