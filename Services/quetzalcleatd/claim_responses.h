#pragma once

#include "LibState/claims.h"
#include "quetzalcleatd/error_response.h"

namespace quetzalcleat::daemon {

/// The error for a keyed call whose claim is neither granted nor finished with a stored answer.
error_response responseFor(const state::claim_verdict &verdict);

/// The error if the claims ledger does not answer in time.
error_response ledgerUnavailable();

} // namespace quetzalcleat::daemon
