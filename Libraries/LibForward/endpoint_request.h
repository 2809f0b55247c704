#pragma once

#include "LibForward/http_head.h"
#include "LibForward/wire_names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace quetzalcleat::forward {

/// What this host adds to a caller's request for one attempt.
struct endpoint_request
{
    std::chrono::milliseconds timeLeft{0};
    std::string incarnation; ///< Of the endpoint.
    std::optional<std::uint64_t> lastEventId; ///< Set if a stream is resumed.
    std::string account; ///< Empty for none.
    std::optional<int> priority; ///< Of the engine, see enginePriority(); empty for plain services.
    std::optional<std::size_t> bodyBytes; ///< Empty if the request has no body.

    /// The head of the caller's request as the endpoint gets it, with the empty line after it.
    std::string headText(const http_head &request, const wire_names &names) const;
};

/// Orders requests by the priority of the account, if it has one, then by that of the route. Most
/// accounts have one of two priorities, so without the second criterion a long prompt and a short
/// question would have the same priority at the engine.
int enginePriority(int priority, int routePriority, int lowest);

} // namespace quetzalcleat::forward
