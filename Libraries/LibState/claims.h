#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace quetzalcleat::state {

/// Identifies a non-repeatable call: the name of the client account and its Idempotency-Key.
struct claim_key
{
    std::string account;
    std::string key;

    bool operator==(const claim_key &) const = default;
    bool operator<(const claim_key &other) const
    {
        return std::tie(account, key) < std::tie(other.account, other.key);
    }
};

/// One attempt of one host to run the call of a key.
struct claim_attempt
{
    claim_key key;
    std::string attemptId; ///< 16 random bytes, never used again.
    std::string host;
    std::uint64_t hostIncarnation = 0;
};

struct claim_request
{
    claim_attempt attempt;
    std::string bodyHash; ///< SHA-256 over method, path and body.
};

/// An answer of a service, kept for duplicates of its call.
struct stored_response
{
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    /// The body is not kept: it exceeded a limit of the ledger or its retention has ended.
    bool truncated = false;

    bool operator==(const stored_response &) const = default;
};

enum class claim_verdict_kind {
    Granted, ///< This attempt may be sent, once.
    InProgress, ///< Another attempt holds the claim.
    Finished, ///< The call ran; the answer is in claim_verdict::answer.
    OutcomeUnknown, ///< The owner failed after it may have sent the call.
    Closed, ///< The call never ran and never will.
    BodyMismatch, ///< The key was used with another body.
    AttemptAbandoned, ///< This attempt was abandoned before and must not be sent.
};

struct claim_verdict
{
    claim_verdict_kind kind = claim_verdict_kind::InProgress;
    stored_response answer;
};

/// The outcome of an attempt that was sent.
struct claim_result
{
    claim_attempt attempt;
    bool outcomeKnown = false;
    stored_response answer;
};

} // namespace quetzalcleat::state
