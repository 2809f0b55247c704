#pragma once

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibState/claims.h"
#include "LibState/duties.h"
#include "LibState/edits.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace quetzalcleat::state {

/// Limits that the operators set in the inventory. They are part of the edit that sets them, so
/// that every replica applies the same ones from the same log index on.
struct claim_ledger_limits
{
    std::uint64_t answerBytes = std::uint64_t{64} * 1024; ///< Larger answer bodies are not kept.
    /// How long answer bodies are kept for duplicates.
    std::chrono::milliseconds answerRetention{std::chrono::hours{24}};

    bool operator==(const claim_ledger_limits &) const = default;
};

struct apply_edit
{
    edit change;
    std::optional<claim_ledger_limits> limits; ///< Unchanged if absent.
};

struct claim_begin
{
    claim_request request;
};

struct claim_finish
{
    claim_result result;
};

/// The owner has not sent a byte of this attempt and never will. May be applied before the
/// claim_begin of the attempt.
struct claim_abandon
{
    claim_attempt attempt;
};

/// Records that the call of a key has not run and never will.
struct claim_close
{
    claim_key key;
};

/// A host process has started. Running claims of its earlier incarnations become unknown.
struct host_register
{
    std::string host;
    std::uint64_t incarnation = 0; ///< Grows with each start of the host's process.
};

/// Acquires or renews the controller's lease. A duration of 0 releases it.
struct control_lease_acquire
{
    std::string holder;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds duration{0};
};

struct order_begin
{
    std::uint64_t fencing = 0;
    std::string orderId;
    std::string kind; ///< For example load_model.
    std::string target; ///< Endpoint name.
    std::string detail; ///< What a new holder of the lease needs to finish or undo the order.
};

enum class order_state : std::uint8_t { Started = 0, Done = 1, Undone = 2 };

struct order_finish
{
    std::uint64_t fencing = 0;
    std::string orderId;
    order_state outcome = order_state::Done; ///< Done or Undone.
};

/// Where a member of the log can be reached.
struct member_contact
{
    std::uint64_t member = 0; ///< consensus::member_id
    std::string name;
    std::string address;
    std::string dataCentre;

    bool operator==(const member_contact &) const = default;
};

/// Program versions before duties skip the last four as malformed, so these are proposed only where
/// the settings name duties.
using command_body
    = std::variant<apply_edit, claim_begin, claim_finish, claim_abandon, claim_close, host_register,
                   control_lease_acquire, order_begin, order_finish, member_contact, duty_acquire,
                   usage_close, usage_delivered, capacity_order>;

/// One entry for the replicated state machine.
struct command
{
    /// The leader's state_clock. Decides retention and the lease; the state never lets it decrease.
    core::wall_time time;
    command_body body;
};

constexpr std::uint32_t commandVersion = 1;
/// The largest document that is accepted. The bounds of everything that carries a document, such as
/// commands, messages of the log and messages between hosts, follow from this one. A document for
/// 1,900 endpoints has about 400 KB, as has one for 1,500 routes.
constexpr std::size_t maximumDocumentBytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t maximumEncodedCommandBytes = maximumDocumentBytes + std::size_t{16} * 1024;
constexpr std::size_t maximumAnswerBytes = std::size_t{512} * 1024;
constexpr std::size_t maximumNameBytes = 255;
constexpr std::size_t maximumKeyBytes = 512;
constexpr std::size_t maximumDetailBytes = 4096;
/// Client accounts of a usage window. With the longest names they fit into a command.
constexpr std::size_t maximumUsageAccounts = 10'000;

/// Checks lengths and required fields, as the decoder does; to be called before proposing.
core::result<void> checkCommand(const command &value);
/// msgpack: [version, time in ms, kind, [fields]].
std::vector<std::byte> encodeCommand(const command &value);
/// Errors: MalformedCommand, CommandTooLarge, UnsupportedVersion, FieldTooLong, FieldMissing.
core::result<command> decodeCommand(std::span<const std::byte> bytes);

} // namespace quetzalcleat::state
