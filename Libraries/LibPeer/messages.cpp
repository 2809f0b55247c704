#include "LibPeer/messages.h"

#include "LibState/state_error.h"

namespace quetzalcleat::peer {

bool propose_result::operator==(const propose_result &other) const
{
    return proposalId == other.proposalId && outcome == other.outcome && error == other.error
        && kind == other.kind && edit.kind == other.edit.kind
        && edit.revision == other.edit.revision && claim.kind == other.claim.kind
        && claim.answer == other.claim.answer && lease == other.lease && order == other.order;
}

propose_result makeProposeResult(std::uint64_t proposalId, const state::command_result &result)
{
    propose_result wire;
    wire.proposalId = proposalId;
    wire.outcome = propose_outcome::Committed;
    // The state machine gives no errors of other categories.
    wire.error = static_cast<std::uint32_t>(result.error.value());
    // The verdicts of duties stay on the host that proposed them, which reads the state instead.
    if (!std::holds_alternative<state::usage_verdict>(result.verdict))
        wire.kind = static_cast<verdict_kind>(result.verdict.index());
    if (const auto *edit = std::get_if<state::edit_verdict>(&result.verdict))
        wire.edit = *edit;
    else if (const auto *claim = std::get_if<state::claim_verdict>(&result.verdict))
        wire.claim = *claim;
    else if (const auto *lease = std::get_if<state::control_lease_verdict>(&result.verdict))
        wire.lease = *lease;
    else if (const auto *order = std::get_if<state::order_verdict>(&result.verdict))
        wire.order = *order;
    return wire;
}

state::command_result commandResult(const propose_result &result)
{
    state::command_result content;
    if (result.error != 0)
        content.error = {static_cast<int>(result.error), state::stateCategory()};
    switch (result.kind) {
    case verdict_kind::None:
        break;
    case verdict_kind::Edit:
        content.verdict = result.edit;
        break;
    case verdict_kind::Claim:
        content.verdict = result.claim;
        break;
    case verdict_kind::Lease:
        content.verdict = result.lease;
        break;
    case verdict_kind::Order:
        content.verdict = result.order;
        break;
    }
    return content;
}

} // namespace quetzalcleat::peer
