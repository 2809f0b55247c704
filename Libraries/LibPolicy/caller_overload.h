#pragma once

#include "LibCore/time.h"
#include "LibPolicy/memory_budget.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// A connection of a caller and the memory that it holds.
struct caller_load
{
    std::uint64_t id = 0;
    std::string_view account; ///< Empty if it is not known.
    std::uint64_t bytes = 0;
    core::instant began; ///< Arrival of the request.
    core::instant progressed; ///< When it last sent or read a byte.
    /// The request is complete and its answer is not being held up by the caller.
    bool isFinished = false;
    /// It is not read because there is no room, so it is not slow.
    bool waits = false;
};

struct overload_limits
{
    /// A caller that sent and read nothing for so long is slow.
    std::chrono::milliseconds slowAfter{1000};
    /// Longest wait of a body for room, after which its request is refused.
    std::chrono::milliseconds longestWait{2000};
    /// Room made beyond what is needed, as a divisor of the bound, so that not every read of every
    /// connection compares all connections.
    std::uint64_t spareDivisor = 16;
};

enum class overload_verdict {
    Proceed, ///< There is room, or there is after the victims are closed.
    Wait, ///< Do not read for now.
    Refuse,
};

struct overload_decision
{
    overload_verdict verdict = overload_verdict::Proceed;
    std::vector<std::uint64_t> victims; ///< Connections to close, in this order.
};

/// Decides whose memory is given back when the budget is used up: that of slow callers before that
/// of others, of accounts over their share before others, and of the newest request before the
/// oldest. Requests that are complete are never ended for others, as they may have been sent.
///
/// Does no I/O and reads no clock. Designed for crowds of callers that stop short of the end of
/// their bodies, next to ordinary callers.
class caller_overload
{
public:
    explicit caller_overload(overload_limits limits = {}) : m_limits(limits) { }

    const overload_limits &limits() const { return m_limits; }

    /// Whether the body of `requester`, which is one of the loads, may take `needed` more bytes.
    overload_decision decideGrowth(const memory_budget &budget,
                                   const std::vector<caller_load> &loads, std::uint64_t requester,
                                   std::uint64_t needed, core::instant now) const;

    /// Connections to close because the budget is exceeded already.
    std::vector<std::uint64_t> victims(const memory_budget &budget,
                                       const std::vector<caller_load> &loads,
                                       core::instant now) const;

private:
    std::vector<caller_load> closingOrder(const memory_budget &budget,
                                          const std::vector<caller_load> &loads,
                                          core::instant now) const;

    overload_limits m_limits;
};

} // namespace quetzalcleat::policy
