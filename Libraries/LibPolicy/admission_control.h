#pragma once

#include "LibCore/result.h"
#include "LibPolicy/tables.h"

#include <chrono>
#include <cstdint>

namespace quetzalcleat::policy {

/// Decides at arrival whether a request may enter a queue.
class admission_control
{
public:
    /// Checks the rate limits of account and class, and whether the deadline can be met.
    static core::result<void> check(const core_tables &tables, const request_record &record,
                                    core::instant now);

    /// Charges the rate limits for an admitted request, with its estimated output.
    static void charge(core_tables &tables, const request_record &record, core::instant now);

    /// Corrects the charge when the real output length is known.
    static void correctCharge(core_tables &tables, const request_record &record, core::instant now);

    /// Expected time in the queue of a new request of this rank: the waiting requests of its own
    /// and higher tiers over the rate at which the pool's slots become free (Little's law). Zero if
    /// unknown.
    static std::chrono::milliseconds expectedWait(const core_tables &tables,
                                                  const pool_record &pool, std::uint32_t rank);

    /// When to try again: after the queue has drained and the limits allow the request.
    static std::chrono::milliseconds retryAfter(const core_tables &tables,
                                                const request_record &record, core::instant now);
};

} // namespace quetzalcleat::policy
