#include "LibPolicy/caller_overload.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace quetzalcleat::policy {

overload_decision caller_overload::decideGrowth(const memory_budget &budget,
                                                const std::vector<caller_load> &loads,
                                                std::uint64_t requester, std::uint64_t needed,
                                                core::instant now) const
{
    if (budget.fits(needed))
        return {};
    if (needed > budget.bound())
        return {overload_verdict::Refuse, {}};
    overload_decision decision;
    const auto missing = budget.used() + needed - budget.bound();
    std::uint64_t freed = 0;
    for (const auto &load : closingOrder(budget, loads, now)) {
        // Those after it in the order are not closed for it.
        if (load.id == requester)
            break;
        if (freed >= missing + budget.bound() / m_limits.spareDivisor)
            break;
        freed += load.bytes;
        if (load.bytes > 0)
            decision.victims.push_back(load.id);
    }
    if (freed >= missing)
        return decision;
    // Nobody is closed in vain.
    decision.victims.clear();
    const auto own = std::find_if(loads.begin(), loads.end(), [requester](const caller_load &load) {
        return load.id == requester;
    });
    const bool mayWait = own != loads.end() && now - own->progressed < m_limits.longestWait;
    decision.verdict = mayWait ? overload_verdict::Wait : overload_verdict::Refuse;
    return decision;
}

std::vector<std::uint64_t> caller_overload::victims(const memory_budget &budget,
                                                    const std::vector<caller_load> &loads,
                                                    core::instant now) const
{
    std::vector<std::uint64_t> result;
    if (budget.excess() == 0)
        return result;
    std::uint64_t freed = 0;
    for (const auto &load : closingOrder(budget, loads, now)) {
        if (freed >= budget.excess() + budget.bound() / m_limits.spareDivisor)
            break;
        freed += load.bytes;
        if (load.bytes > 0)
            result.push_back(load.id);
    }
    return result;
}

std::vector<caller_load> caller_overload::closingOrder(const memory_budget &budget,
                                                       const std::vector<caller_load> &loads,
                                                       core::instant now) const
{
    std::map<std::string_view, std::uint64_t> byAccount;
    std::vector<caller_load> order;
    for (const auto &load : loads) {
        if (load.bytes > 0)
            byAccount[load.account] += load.bytes;
        if (!load.isFinished)
            order.push_back(load);
    }
    const auto share = budget.bound() / std::max<std::size_t>(byAccount.size(), 1);
    const auto rank = [&](const caller_load &load) {
        const bool isSlow = !load.waits && now - load.progressed >= m_limits.slowAfter;
        const auto ofAccount = byAccount.find(load.account);
        const bool isOverShare = ofAccount != byAccount.end() && ofAccount->second > share;
        return std::tuple(!isSlow, !isOverShare, core::instant::max() - load.began, load.id);
    };
    std::sort(order.begin(), order.end(), [&](const caller_load &left, const caller_load &right) {
        return rank(left) < rank(right);
    });
    return order;
}

} // namespace quetzalcleat::policy
