#include "LibPeer/share_ledger.h"

#include <algorithm>

namespace quetzalcleat::peer {

share_ledger::share_ledger(share_options options, std::uint64_t id, core::instant leadingSince)
    : m_options(options), m_id(id), m_leadingSince(leadingSince)
{
}

share_grant share_ledger::handle(const share_request &request, core::instant now)
{
    if (request.ledger != m_id)
        return {request.sequence, m_id, false, 0};
    std::erase_if(m_holders, [&](const auto &entry) { return entry.second.expiry <= now; });
    const auto current = std::min(request.current, wholeShare);
    const auto known = m_holders.find(request.host);
    if (known != m_holders.end()
        && (request.incarnation < known->second.incarnation
            || (request.incarnation == known->second.incarnation
                && request.sequence <= known->second.sequence))) {
        // A late request: the host ignores the answer, and its current share is an old one.
        return {request.sequence, m_id, false, 0};
    }
    std::uint64_t others = 0;
    for (const auto &[host, other] : m_holders)
        others += host == request.host ? 0 : other.counted;
    const auto free
        = static_cast<share_parts>(wholeShare - std::min<std::uint64_t>(others, wholeShare));

    holder updated{0, request.incarnation, request.sequence, request.demand,
                   now + m_options.leaseTime};
    const bool recovering = now - m_leadingSince < m_options.leaseTime;
    const auto previous = m_holders.contains(request.host) ? m_holders[request.host] : holder{};
    m_holders[request.host] = updated;
    const auto wanted = recovering ? current : target(updated);
    const share_grant grant{request.sequence, m_id, true, std::min(wanted, free)};
    // Until its next request shows which answer the host got, it may use the old or the new share.
    // The host reports its current share with the request, and ignores grants for earlier ones.
    updated.counted = std::max(grant.share, current);
    // A predecessor on the same host may still be stopping.
    if (previous.incarnation != 0 && previous.incarnation != request.incarnation)
        updated.counted = std::max(updated.counted, previous.counted);
    m_holders[request.host] = updated;
    return grant;
}

share_parts share_ledger::target(const holder &asking) const
{
    std::uint64_t demand = 0;
    for (const auto &[host, holder] : m_holders)
        demand += holder.demand;
    const auto count = m_holders.size();
    // A tenth is divided evenly, so that a host without demand can serve a first burst.
    const auto even = wholeShare / 10 / count;
    if (demand == 0)
        return static_cast<share_parts>(wholeShare / count);
    const auto byDemand
        = static_cast<double>(asking.demand) / static_cast<double>(demand) * (wholeShare * 0.9);
    return static_cast<share_parts>(even) + static_cast<share_parts>(byDemand);
}

std::uint64_t share_ledger::outstanding(core::instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[host, holder] : m_holders)
        sum += holder.expiry <= now ? 0 : holder.counted;
    return sum;
}

share_request share_holder::makeRequest(std::uint64_t demand, core::instant now)
{
    m_sentAt = now;
    return {m_host, m_incarnation, ++m_sequence, m_ledger, share(now), demand};
}

void share_holder::handle(const share_grant &grant, core::instant now)
{
    if (grant.sequence != m_sequence)
        return;
    m_ledger = grant.ledger;
    if (!grant.granted)
        return;
    // Counted from before the request was sent, so that it ends before the ledger's count.
    const auto usable = m_options.leaseTime * (1000 - m_options.marginPermille) / 1000;
    if (m_sentAt + usable <= now)
        return;
    m_share = grant.share;
    m_expiry = m_sentAt + usable;
}

share_parts share_holder::share(core::instant now) const
{
    return now < m_expiry ? m_share : 0;
}

} // namespace quetzalcleat::peer
