#pragma once

#include "LibCore/result.h"
#include "LibPeer/fleet_status.h"
#include "LibState/claims.h"
#include "LibState/edits.h"

#include <chrono>
#include <concepts>
#include <functional>

namespace quetzalcleat::peer {

using claim_handler = std::function<void(core::result<state::claim_verdict>)>;
using edit_handler = std::function<void(core::result<state::edit_verdict>)>;
using configuration_handler = std::function<void(const state::configuration &)>;
using incarnation_handler = std::function<void(std::uint64_t)>;

/// Interface to the replicated state. Satisfied by control_client and by in-process fakes.
template <typename Type>
concept control_plane
    = requires(Type &plane, const Type &constantPlane, state::claim_request request,
               state::claim_result result, state::claim_attempt attempt, state::claim_key key,
               state::edit edit, std::chrono::milliseconds timeout, claim_handler onClaim,
               edit_handler onEdit, configuration_handler onConfiguration,
               incarnation_handler onIncarnation)
{
    plane.claim(request, timeout, onClaim);
    plane.finishClaim(result);
    plane.abandonClaim(attempt);
    plane.closeClaim(key, timeout, onClaim);
    plane.applyEdit(edit, timeout, onEdit);
    plane.onConfiguration(onConfiguration);
    plane.onIncarnationRaised(onIncarnation);
    {
        constantPlane.status()
        } -> std::convertible_to<fleet_status>;
};

} // namespace quetzalcleat::peer
