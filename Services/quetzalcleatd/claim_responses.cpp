#include "quetzalcleatd/claim_responses.h"

namespace quetzalcleat::daemon {

namespace {

constexpr std::chrono::milliseconds retryInterval{1000};

} // namespace

error_response ledgerUnavailable()
{
    return {error_type::LedgerUnavailable,
            "the claims ledger did not answer in time; send the call again with the same key", true,
            call_outcome::Undecided, retryInterval};
}

error_response responseFor(const state::claim_verdict &verdict)
{
    switch (verdict.kind) {
    case state::claim_verdict_kind::InProgress:
        return {error_type::InProgress, "a call with this key is running", true,
                call_outcome::Undecided, retryInterval};
    case state::claim_verdict_kind::Finished:
        return {error_type::AnswerNotKept,
                "the call ran; its answer was too large to be kept",
                false,
                call_outcome::Done,
                {}};
    case state::claim_verdict_kind::OutcomeUnknown:
        return {error_type::OutcomeUnknown,
                "the call may have run; it is not sent again under this key",
                false,
                call_outcome::Unknown,
                {}};
    case state::claim_verdict_kind::Closed:
        return {error_type::KeyClosed,
                "the call never ran and this key is closed",
                false,
                call_outcome::NotRun,
                {}};
    case state::claim_verdict_kind::BodyMismatch:
        return {error_type::KeyReused,
                "the key was used with another method, path or body",
                false,
                call_outcome::Undecided,
                {}};
    case state::claim_verdict_kind::Granted:
    case state::claim_verdict_kind::AttemptAbandoned:
        break;
    }
    return ledgerUnavailable();
}

} // namespace quetzalcleat::daemon
