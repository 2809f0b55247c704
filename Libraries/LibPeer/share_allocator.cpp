#include "LibPeer/share_allocator.h"

#include <algorithm>

namespace quetzalcleat::peer {

share_allocator::share_allocator(share_options options, std::uint64_t id,
                                 core::instant leadingSince)
    : m_options(options), m_id(id), m_leadingSince(leadingSince)
{
}

share_grant share_allocator::handle(const share_request &request, core::instant now)
{
    if (request.allocatorId != m_id)
        return {request.sequence, m_id, false, 0};
    std::erase_if(m_holders, [&](const auto &entry) { return entry.second.expiry <= now; });
    const auto current = std::min(request.current, wholeShare);
    const auto known = m_holders.find(request.host);
    if (known != m_holders.end()
        && (request.incarnation < known->second.incarnation
            || (request.incarnation == known->second.incarnation
                && request.sequence <= known->second.sequence))) {
        // A delayed request: the host ignores the answer, and the share in the request is outdated.
        return {request.sequence, m_id, false, 0};
    }
    std::uint64_t others = 0;
    for (const auto &[host, other] : m_holders)
        others += host == request.host ? 0 : other.reserved;
    const auto free
        = static_cast<share_parts>(wholeShare - std::min<std::uint64_t>(others, wholeShare));

    holder updated{0, request.incarnation, request.sequence, request.demand,
                   now + m_options.leaseTime};
    const bool recovering = now - m_leadingSince < m_options.leaseTime;
    const auto previous = m_holders.contains(request.host) ? m_holders[request.host] : holder{};
    m_holders[request.host] = updated;
    const auto desired = recovering ? current : target(updated);
    const share_grant grant{request.sequence, m_id, true, std::min(desired, free)};
    // The host may use the old or the new share until its next request shows which answer arrived:
    // a request reports the current share, and grants for earlier requests are ignored.
    updated.reserved = std::max(grant.share, current);
    // An earlier process on the same host may still be stopping.
    if (previous.incarnation != 0 && previous.incarnation != request.incarnation)
        updated.reserved = std::max(updated.reserved, previous.reserved);
    m_holders[request.host] = updated;
    return grant;
}

share_parts share_allocator::target(const holder &requester) const
{
    std::uint64_t demand = 0;
    for (const auto &[host, holder] : m_holders)
        demand += holder.demand;
    const auto count = m_holders.size();
    // One tenth is divided evenly, so that a host without demand can serve a first burst.
    const auto evenPart = wholeShare / 10 / count;
    if (demand == 0)
        return static_cast<share_parts>(wholeShare / count);
    const auto partByDemand
        = static_cast<double>(requester.demand) / static_cast<double>(demand) * (wholeShare * 0.9);
    return static_cast<share_parts>(evenPart) + static_cast<share_parts>(partByDemand);
}

share_request share_holder::makeRequest(std::uint64_t demand, core::instant now)
{
    m_sentAt = now;
    return {m_host, m_incarnation, ++m_sequence, m_allocatorId, share(now), demand};
}

void share_holder::handle(const share_grant &grant, core::instant now)
{
    if (grant.sequence != m_sequence)
        return;
    m_allocatorId = grant.allocatorId;
    if (!grant.granted)
        return;
    // Counted from when the request was sent, so that it ends before the reservation at the
    // allocator.
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
