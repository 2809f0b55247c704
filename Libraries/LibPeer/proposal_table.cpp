#include "LibPeer/proposal_table.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::peer {

namespace {

constexpr std::size_t maximumProposals = 65'536;

/// Longest time that a proposal is kept; the client has resent it by then.
constexpr std::chrono::seconds proposalTimeout{10};

/// Ids of forwarded proposals are separate from those of clients, since the results of both arrive
/// at a control host.
constexpr std::uint64_t forwardedBase = std::uint64_t{1} << 63U;

} // namespace

bool proposal_table::isFull() const
{
    return m_proposed.size() >= maximumProposals;
}

std::optional<proposal_origin> proposal_table::add(consensus::log_index index,
                                                   consensus::term_number term,
                                                   proposal_origin origin, core::instant now)
{
    std::optional<proposal_origin> replaced;
    const auto found = m_proposed.find(index);
    if (found != m_proposed.end())
        replaced = std::move(found->second.origin);
    m_proposed[index] = {std::move(origin), term, now};
    return replaced;
}

std::optional<proposal_table::committed_proposal>
proposal_table::takeCommitted(consensus::log_index index, consensus::term_number term)
{
    const auto found = m_proposed.find(index);
    if (found == m_proposed.end())
        return std::nullopt;
    committed_proposal taken{std::move(found->second.origin), found->second.term == term};
    m_proposed.erase(found);
    return taken;
}

std::uint64_t proposal_table::addForwarded(proposal_origin origin, core::instant now)
{
    if (m_forwarded.size() >= maximumProposals)
        return 0;
    const auto id = forwardedBase + ++m_lastForwarded;
    m_forwarded[id] = {std::move(origin), 0, now};
    return id;
}

std::optional<proposal_origin> proposal_table::takeForwarded(std::uint64_t id)
{
    const auto found = m_forwarded.find(id);
    if (found == m_forwarded.end())
        return std::nullopt;
    auto origin = std::move(found->second.origin);
    m_forwarded.erase(found);
    return origin;
}

std::vector<proposal_origin> proposal_table::takeExpired(core::instant now)
{
    std::vector<proposal_origin> expired;
    const auto collect = [&](auto &table) {
        for (auto entry = table.begin(); entry != table.end();) {
            if (now - entry->second.proposedAt <= proposalTimeout) {
                ++entry;
                continue;
            }
            expired.push_back(std::move(entry->second.origin));
            entry = table.erase(entry);
        }
    };
    collect(m_proposed);
    collect(m_forwarded);
    return expired;
}

std::vector<proposal_origin> proposal_table::takeAll()
{
    std::vector<proposal_origin> all;
    for (auto &[index, proposal] : std::exchange(m_proposed, {}))
        all.push_back(std::move(proposal.origin));
    for (auto &[id, proposal] : std::exchange(m_forwarded, {}))
        all.push_back(std::move(proposal.origin));
    return all;
}

} // namespace quetzalcleat::peer
