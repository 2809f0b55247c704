#include "LibConsensus/consensus_error.h"

#include <string>

namespace quetzalcleat::consensus {

namespace {

const char *text(consensus_error error)
{
    switch (error) {
    case consensus_error::NotLeader:
        return "this member is not the leader";
    case consensus_error::LeaseExpired:
        return "the leader's lease has expired";
    case consensus_error::Overloaded:
        return "too many uncommitted proposals";
    case consensus_error::CommandTooLarge:
        return "command is larger than allowed";
    case consensus_error::Halted:
        return "the member stopped after a failure of its store";
    case consensus_error::ChangeInProgress:
        return "another change of leadership or membership is in progress";
    case consensus_error::ReplacementPending:
        return "the last replaced voter's successor is not a voter yet";
    case consensus_error::UnknownMember:
        return "unknown member";
    case consensus_error::AlreadyMember:
        return "already a member";
    case consensus_error::NotCaughtUp:
        return "the member lacks too much of the log";
    case consensus_error::QuorumAtRisk:
        return "too few of the remaining voters answer";
    case consensus_error::InvalidMembership:
        return "invalid membership";
    case consensus_error::MalformedMessage:
        return "malformed message";
    case consensus_error::MessageTooLarge:
        return "message is larger than allowed";
    case consensus_error::UnsupportedVersion:
        return "unsupported version";
    case consensus_error::EmptyFolder:
        return "no member has run in this folder";
    case consensus_error::FolderInUse:
        return "another process uses the folder";
    case consensus_error::FolderNotEmpty:
        return "the folder holds the files of a member";
    case consensus_error::IdentityMissing:
        return "the folder holds a log but no member identity";
    case consensus_error::IdentityCorrupt:
        return "the member identity cannot be read";
    case consensus_error::WrongGroup:
        return "the file belongs to another group or member";
    case consensus_error::CorruptRecord:
        return "an acknowledged log record cannot be read";
    case consensus_error::MissingSegment:
        return "a log segment is missing";
    case consensus_error::CorruptSnapshot:
        return "the snapshot cannot be read";
    case consensus_error::StoreFailed:
        return "the store failed earlier and must be reopened";
    case consensus_error::WriteFailed:
        return "write failed";
    case consensus_error::SyncFailed:
        return "sync failed";
    case consensus_error::ReadFailed:
        return "read failed";
    case consensus_error::DiskFull:
        return "disk is full";
    case consensus_error::FileTooLarge:
        return "file is larger than allowed";
    case consensus_error::LogGap:
        return "entries do not continue the log";
    }
    return "unknown error";
}

class consensus_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "consensus"; }
    std::string message(int value) const override
    {
        return text(static_cast<consensus_error>(value));
    }
};

} // namespace

const std::error_category &consensusCategory()
{
    static const consensus_category category;
    return category;
}

std::error_code make_error_code(consensus_error error)
{
    return {static_cast<int>(error), consensusCategory()};
}

} // namespace quetzalcleat::consensus
