#pragma once

#include <system_error>

namespace quetzalcleat::consensus {

/// Errors of the replicated log and of its files.
enum class consensus_error {
    // raft_core
    NotLeader = 1, ///< Ask the member that raft_status::leader names.
    LeaseExpired, ///< The leader cannot prove that it still leads, so the read is not served.
    Overloaded, ///< Too many bytes are proposed and not committed. Retry later.
    CommandTooLarge,
    Halted, ///< The store failed; the member neither votes nor acknowledges until it is restarted.
    // Membership changes
    ChangeInProgress, ///< The previous change is not committed yet.
    ReplacementPending, ///< The last replaced voter's successor does not count as a voter yet.
    UnknownMember,
    AlreadyMember,
    NotCaughtUp, ///< Too much of the log is missing on the member for the change or transfer.
    QuorumAtRisk, ///< Too few of the remaining voters respond to commit anything after the change.
    InvalidMembership,
    // Decoding of messages
    MalformedMessage,
    MessageTooLarge,
    UnsupportedVersion,
    // log_store
    EmptyFolder, ///< No member has ever run in this folder.
    FolderInUse, ///< Another process has locked the folder.
    FolderNotEmpty,
    IdentityMissing,
    IdentityCorrupt,
    WrongGroup, ///< The folder belongs to another log group or member.
    CorruptRecord, ///< A record that was acknowledged cannot be read.
    MissingSegment,
    CorruptSnapshot,
    StoreFailed, ///< A write or sync failed before; reopen the store.
    WriteFailed,
    SyncFailed,
    ReadFailed,
    DiskFull,
    FileTooLarge,
    LogGap, ///< The entries to be written do not continue the log.
};

const std::error_category &consensusCategory();
std::error_code make_error_code(consensus_error error);

} // namespace quetzalcleat::consensus

template <>
struct std::is_error_code_enum<quetzalcleat::consensus::consensus_error> : std::true_type
{
};
