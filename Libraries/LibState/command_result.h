#pragma once

#include "LibState/claims.h"
#include "LibState/command.h"
#include "LibState/duties.h"
#include "LibState/edits.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

namespace quetzalcleat::state {

struct control_lease_verdict
{
    bool granted = false;
    std::string holder; ///< Who holds the lease now; empty if nobody does.
    std::uint64_t holderIncarnation = 0;
    std::uint64_t fencing = 0; ///< Log index of the acquisition; unchanged by a renewal.
    /// Time left of the lease by replicated_state::time(). The holder counts it from before it sent
    /// the request, by its own monotonic clock and with a margin.
    std::chrono::milliseconds remaining{0};
    /// A new holder waits this long before it sends orders to endpoints that do not check fencing
    /// numbers.
    std::chrono::milliseconds waitBeforeUnfencedOrders{0};

    bool operator==(const control_lease_verdict &) const = default;
};

struct order_verdict
{
    order_state state = order_state::Started;
    bool alreadyKnown = false; ///< The order was begun or finished before.

    bool operator==(const order_verdict &) const = default;
};

/// Result of applying one command. The same on every replica.
struct command_result
{
    std::error_code error; ///< If set, nothing has changed; `verdict` may still describe the state.
    std::variant<std::monostate, edit_verdict, claim_verdict, control_lease_verdict, order_verdict,
                 usage_verdict>
        verdict;
};

} // namespace quetzalcleat::state
