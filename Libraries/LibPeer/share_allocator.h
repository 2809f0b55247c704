#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quetzalcleat::peer {

/// Part of a fleet-wide limit in millionths; an integer, so that sums are exact.
using share_parts = std::uint32_t;
constexpr share_parts wholeShare = 1'000'000;

struct share_options
{
    /// How long the allocator counts a grant as in use.
    std::chrono::milliseconds leaseTime{6000};
    /// A holder stops using its share earlier by this part of the lease time, as clock rates
    /// differ.
    std::uint32_t marginPermille = 100;
};

/// Divides a fleet-wide limit among hosts by their demand. Runs on the leader of the log; does no
/// I/O.
///
/// Under any network partition the sum of the shares in use stays within the limit: a grant is
/// reserved until it has certainly expired at the host, and only the rest is granted to others. A
/// host that is cut off keeps its share until the lease ends, then has none.
///
/// Grants are kept in memory only, so a new leader does not know those of its predecessor. During
/// its first lease time it therefore renews shares that are still in use at most at their present
/// size; their sum was within the limit.
///
/// Only a request that names this allocator is granted. An earlier one may report a share that
/// expired in transit and that the predecessor has granted to others.
class share_allocator
{
public:
    /// `leadingSince` must not be earlier than the end of the predecessor's leader lease. `id` must
    /// differ from 0 and from the ids of all predecessors, as the leader's term does. The allocator
    /// may be used only while the leader lease of this host is valid.
    share_allocator(share_options options, std::uint64_t id, core::instant leadingSince);

    share_grant handle(const share_request &request, core::instant now);

private:
    struct holder
    {
        share_parts reserved = 0; ///< The most that the host may be using.
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t demand = 0;
        core::instant expiry;
    };

    share_parts target(const holder &requester) const;

    share_options m_options;
    std::uint64_t m_id;
    core::instant m_leadingSince;
    std::map<std::string, holder> m_holders;
};

/// The share of one host. Does no I/O.
class share_holder
{
public:
    share_holder(share_options options, std::string host, std::uint64_t incarnation)
        : m_options(options), m_host(std::move(host)), m_incarnation(incarnation)
    {
    }

    share_request makeRequest(std::uint64_t demand, core::instant now);
    void handle(const share_grant &grant, core::instant now);

    /// Requests carry the number from now on, so that they replace those of an earlier process.
    void raiseIncarnation(std::uint64_t incarnation) { m_incarnation = incarnation; }

    /// The share that the host may use now; 0 after the lease has expired.
    share_parts share(core::instant now) const;

private:
    share_options m_options;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_allocatorId = 0;
    core::instant m_sentAt; ///< Of the last request.
    share_parts m_share = 0;
    core::instant m_expiry;
};

} // namespace quetzalcleat::peer
