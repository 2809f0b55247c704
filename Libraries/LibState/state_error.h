#pragma once

#include <system_error>

namespace quetzalcleat::state {

/// Errors of the replicated state machine. A command that gets one has changed nothing.
enum class state_error {
    MalformedCommand = 1,
    CommandTooLarge,
    UnsupportedVersion, ///< Written by a newer version. The member must stop, not skip it.
    FieldTooLong,
    FieldMissing,
    TableFull, ///< Retry later; nothing is evicted early to make room.
    StaleIncarnation, ///< A later incarnation of the host has registered.
    NotOwner, ///< The claim belongs to another attempt.
    UnknownClaim,
    AlreadyFinished, ///< The claim has a final result that the command contradicts.
    LeaseHeld, ///< Another holder has the lease; see control_lease_verdict.
    StaleFencing, ///< The fencing number is not that of the current lease.
    UnknownOrder,
    OrderMismatch, ///< The id was used for another order, or the order has another outcome.
    MalformedSnapshot,
    OutOfOrder, ///< The log index is not above the one applied last.
    WindowClosed, ///< The counts of the usage window, or of a later one, are fixed already.
};

const std::error_category &stateCategory();
std::error_code make_error_code(state_error error);

} // namespace quetzalcleat::state

template <>
struct std::is_error_code_enum<quetzalcleat::state::state_error> : std::true_type
{
};
