#pragma once

#include "LibPolicy/endpoint_notices.h"
#include "LibPolicy/fair_queue.h"
#include "LibPolicy/policy_types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

/// A queued or running request.
struct request_record
{
    request_id id; ///< 0 in a free slot.
    std::string requestId;
    std::vector<std::uint64_t> prefixBlocks;
    std::uint32_t accountIndex = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t pool = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutput = 0; ///< Tokens; estimated at submit.
    std::uint32_t bytes = 0;
    std::uint32_t deliveredTokens = 0; ///< Over all attempts.
    std::uint32_t endpointIndex = 0; ///< Of the running or the last attempt.
    std::uint32_t runningIndex = 0; ///< Position in endpoint_record::running.
    std::uint8_t attempts = 0;
    std::uint8_t failedAttempts = 0;
    std::uint8_t preemptions = 0;
    bool repeatable = true;
    bool running = false;
    bool mustResume = false; ///< Part of the answer reached the caller.
    bool firstTokenSeen = false; ///< In the running attempt.
    bool probe = false; ///< The running attempt probes a half-open endpoint.
    bool promoted = false; ///< Dispatched by ageing or minimum share: exempt from preemption.
    std::uint64_t incarnation = 0; ///< Of the endpoint when the attempt was dispatched.
    std::optional<written_request> written; ///< Until the attempt is answered.
    core::instant submittedAt;
    core::instant due; ///< For the first token, or the deadline if the class has no target.
    core::instant deadline;
    core::instant dispatchedAt;
    core::instant firstTokenAt;
    core::instant lastTokenAt;

    double work() const { return static_cast<double>(promptTokens) + expectedOutput + 1; }
    fair_queue::queue_entry queueEntry() const { return {due, id, accountIndex}; }
};

/// Requests in reused slots. An id holds the slot and a sequence number that is never reused, so
/// that finding a request needs no hash table and ids are ordered by arrival.
class request_table
{
public:
    request_record &create();

    /// Null if the request has ended.
    request_record *find(request_id id);
    const request_record *find(request_id id) const;

    void erase(request_id id);

    auto begin() const { return m_records.begin(); }
    auto end() const { return m_records.end(); }

private:
    std::deque<request_record> m_records;
    std::vector<std::uint32_t> m_free;
    std::uint64_t m_sequence = 0;
};

} // namespace quetzalcleat::policy
