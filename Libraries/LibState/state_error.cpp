#include "LibState/state_error.h"

#include <string>

namespace quetzalcleat::state {

namespace {

const char *text(state_error error)
{
    switch (error) {
    case state_error::MalformedCommand:
        return "malformed command";
    case state_error::CommandTooLarge:
        return "command is larger than allowed";
    case state_error::UnsupportedVersion:
        return "written by an unsupported version";
    case state_error::FieldTooLong:
        return "a field is longer than allowed";
    case state_error::FieldMissing:
        return "a required field is empty";
    case state_error::TableFull:
        return "a table of the replicated state is full";
    case state_error::StaleIncarnation:
        return "a later incarnation of the host has registered";
    case state_error::NotOwner:
        return "the claim belongs to another attempt";
    case state_error::UnknownClaim:
        return "unknown claim";
    case state_error::AlreadyFinished:
        return "the claim has a final result";
    case state_error::LeaseHeld:
        return "another holder has the lease";
    case state_error::StaleFencing:
        return "the fencing number is not that of the current lease";
    case state_error::UnknownOrder:
        return "unknown order";
    case state_error::OrderMismatch:
        return "the order id was used for another order";
    case state_error::MalformedSnapshot:
        return "malformed snapshot";
    case state_error::OutOfOrder:
        return "the log index was applied before";
    case state_error::WindowClosed:
        return "the usage window is closed";
    }
    return "unknown error";
}

class state_category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "state"; }
    std::string message(int value) const override { return text(static_cast<state_error>(value)); }
};

} // namespace

const std::error_category &stateCategory()
{
    static const state_category category;
    return category;
}

std::error_code make_error_code(state_error error)
{
    return {static_cast<int>(error), stateCategory()};
}

} // namespace quetzalcleat::state
