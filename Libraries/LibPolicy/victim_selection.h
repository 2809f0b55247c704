#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <optional>

namespace quetzalcleat::policy {

/// Chooses queued requests to shed and running requests to preempt.
class victim_selection
{
public:
    struct shed_victim
    {
        request_id request;
        decision_reason reason = decision_reason::QueueFull;
    };

    /// Whether the queue bounds of host, tier and class admit another request like this one.
    static bool hasQueueSpace(const core_tables &tables, const request_record &arrival);

    /// A queued request whose removal brings the queues below the bound that is full: from the
    /// lowest tier for which that holds, never from a higher tier than the arrival's. Within the
    /// arrival's own class the victim's account has at least two more requests waiting than the
    /// arrival's.
    static std::optional<shed_victim> chooseToShed(const core_tables &tables,
                                                   const request_record &arrival);

    /// A running request of a lower tier to preempt for `waiting`: preemptible, on an engine that
    /// can resume, from the lowest tier first. Empty if there is none.
    static std::optional<request_id>
    chooseToPreempt(const core_tables &tables, const request_record &waiting, core::instant now);

private:
    static std::optional<request_id> lastRequestOfLargestAccount(const core_tables &tables,
                                                                 std::uint32_t classIndex,
                                                                 std::uint32_t queuedAbove);
    static std::optional<request_id> lastRequestOfLowerTier(const core_tables &tables,
                                                            std::uint32_t rank);
    static bool mayPreempt(const core_tables &tables, const request_record &victim,
                           const request_record &waiting);
};

} // namespace quetzalcleat::policy
