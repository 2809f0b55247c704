#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <optional>

namespace quetzalcleat::policy {

/// Chooses what has to give way: queued requests to shed and running ones to preempt.
class eviction
{
public:
    struct shed_victim
    {
        request_id request;
        decision_reason reason = decision_reason::QueueFull;
    };

    /// Whether the bounds of host, tier and class have room for the request.
    static bool hasRoom(const core_tables &tables, const request_record &arrival);

    /// A queued request whose removal makes room for the arrival: from the lowest tier that frees
    /// the bound which is full, never from a higher tier than the arrival's. Within the arrival's
    /// own class the victim belongs to a caller with at least two more waiting requests.
    static std::optional<shed_victim> chooseToShed(const core_tables &tables,
                                                   const request_record &arrival);

    /// A running request of a lower tier to preempt for `waiting`: preemptible, on an engine that
    /// can resume, from the lowest tier first. Empty if there is none.
    static std::optional<request_id> chooseToPreempt(const core_tables &tables,
                                                     const request_record &waiting);

private:
    static std::optional<request_id> lastOfLargestCaller(const core_tables &tables,
                                                         std::uint32_t classSlot,
                                                         std::uint32_t queuedAbove);
    static std::optional<request_id> fromLowerTier(const core_tables &tables, std::uint32_t rank);
    static bool mayPreempt(const core_tables &tables, const request_record &victim,
                           const request_record &waiting);
};

} // namespace quetzalcleat::policy
