#pragma once

#include "LibState/claims.h"
#include "quetzalcleatd/error_answer.h"

namespace quetzalcleat::daemon {

/// The answer to a keyed call whose claim was neither granted nor finished with a kept answer.
error_answer answerTo(const state::claim_verdict &verdict);

/// The answer while the claims ledger cannot be reached in time.
error_answer ledgerUnavailable();

} // namespace quetzalcleat::daemon
