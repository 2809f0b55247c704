#pragma once

#include "LibConsensus/raft_message.h"
#include "LibCore/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// The request that waits for the result of a proposal.
struct proposal_origin
{
    std::string host;
    std::uint64_t proposalId = 0;
};

/// Proposals on a control host that wait for their log entry to be committed, or for the answer of
/// the leader to which they were forwarded.
class proposal_table
{
public:
    struct committed_proposal
    {
        proposal_origin origin;
        bool sameTerm = false; ///< Whether the committed entry is the proposal itself.
    };

    bool isFull() const;

    /// Returns the proposal that held this index before, if there was one.
    std::optional<proposal_origin> add(consensus::log_index index, consensus::term_number term,
                                       proposal_origin origin, core::instant now);

    /// Removes and returns the proposal at a committed index.
    std::optional<committed_proposal> takeCommitted(consensus::log_index index,
                                                    consensus::term_number term);

    /// Returns the proposal id for the leader, or 0 if the table is full.
    std::uint64_t addForwarded(proposal_origin origin, core::instant now);
    std::optional<proposal_origin> takeForwarded(std::uint64_t id);

    /// Proposals that have waited too long, for example because this host lost leadership.
    std::vector<proposal_origin> takeExpired(core::instant now);
    std::vector<proposal_origin> takeAll();

private:
    struct proposal
    {
        proposal_origin origin;
        consensus::term_number term = 0;
        core::instant proposedAt;
    };

    std::map<consensus::log_index, proposal> m_proposed;
    std::map<std::uint64_t, proposal> m_forwarded;
    std::uint64_t m_lastForwarded = 0;
};

} // namespace quetzalcleat::peer
