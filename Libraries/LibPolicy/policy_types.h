#pragma once

#include "LibCore/entity_id.h"
#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

using endpoint_id = core::entity_id<struct endpoint_tag>; ///< Index into document::endpoints.
using account_id = core::entity_id<struct account_tag>; ///< Index into document::accounts.
using class_id = core::entity_id<struct class_tag>; ///< Index into document::classes.

/// Identifies a request inside one decision core; never used twice.
struct request_id
{
    std::uint64_t value = 0;

    // Not operator<=>: clang-tidy 14 reports its use by ordered containers (modernize-use-nullptr).
    bool operator==(const request_id &) const = default;
    bool operator<(const request_id &other) const { return value < other.value; }
};

/// Location of the process with the decision core.
struct host_location
{
    std::string hostName;
    std::string dataCentre;
};

struct request_spec
{
    std::string requestId; ///< X-Request-Id, for explanations.
    account_id account;
    class_id requestClass;
    std::string model; ///< Empty for a call to a service.
    std::string adapter;
    std::string service; ///< Empty for a call to an engine.
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t>
        prefixBlocks; ///< Chained hashes of prompt blocks, first block first.
    std::uint32_t bytes = 0; ///< Size of the request, for cross-region cost.
    bool repeatable = true; ///< Whether a failed attempt may be sent again.
    std::optional<std::chrono::milliseconds>
        deadline; ///< For the whole answer, from submit; may only shorten the class's deadline.
};

enum class decision_kind {
    Dispatch, ///< Send the request to the endpoint.
    Shed, ///< Refuse a queued request in favour of the beneficiary.
    Preempt, ///< Cancel a running request in favour of the beneficiary; it is queued again.
    Expire, ///< Refuse a queued request that can no longer be answered in time.
};

/// Why a decision was made, for explanations and metrics.
enum class decision_reason {
    LowestScore,
    CachedPrefix,
    OnlyCandidate,
    Probe,
    Retry,
    QueueFull,
    HigherTierWaiting,
    MinimumShare,
    WaitLimit,
    DeadlinePassed,
    NoEndpoint,
    EndpointsHeldOff, ///< All that serve it want no request until after its target.
};

struct decision
{
    decision_kind kind = decision_kind::Dispatch;
    request_id request;
    endpoint_id endpoint;
    std::optional<request_id> beneficiary; ///< Set for Shed and Preempt.
    decision_reason reason = decision_reason::LowestScore;
    std::chrono::milliseconds retryAfter{0}; ///< For Shed and Expire.
    std::uint32_t priority = 0; ///< Passed to the engine; lower is more urgent.
    std::uint32_t resumeFrom = 0; ///< For Dispatch: tokens that the caller already has.
};

enum class attempt_outcome {
    Completed,
    Failed, ///< Not to be retried.
    RetryBeforeFirstByte, ///< Failed before a byte reached the caller; may be queued again.
    Resume, ///< Failed after a byte reached the caller; may continue at the same engine if that
            ///< can resume.
    Cancelled,
    Refused, ///< Did not run, because the endpoint wants no request yet; may be queued again.
    Withdrawn, ///< Was not sent, because of a notice since its dispatch; is queued again.
};

/// What an endpoint said of itself in an answer that names its attempt.
struct answer_notice
{
    bool isInterim = false; ///< The final answer follows.
    bool isRefusal = false;
    bool isLeaving = false;
    std::optional<std::chrono::milliseconds> wait; ///< Wants no request for this time.
};

/// State of an endpoint as the endpoint reported it.
struct load_report
{
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedBlocks = 0;
    std::uint32_t totalBlocks = 0;
    std::chrono::milliseconds age{0}; ///< Between the sample and its arrival.
    std::vector<std::string> models; ///< Models that are loaded.
};

enum class cache_event_kind { Stored, Evicted, Cleared };

struct cache_event
{
    std::uint64_t sequence = 0; ///< Grows by one per event of an endpoint.
    cache_event_kind kind = cache_event_kind::Stored;
    std::uint64_t block = 0;
};

enum class state_source { Platform, Endpoint, Operator };
enum class endpoint_state { Live, Leaving };

} // namespace quetzalcleat::policy
