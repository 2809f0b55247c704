#pragma once

#include "LibConsensus/raft_core.h"
#include "LibConsensus/raft_message.h"

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace quetzalcleat::explore {

/// Thrown when a schedule violates a guarantee; the message names the guarantee.
class invariant_violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

void require(bool condition, const char *guarantee);

/// Observes every member and checks Raft's guarantees across all of them.
class invariant_checker
{
public:
    /// Call after every call into a member's core.
    void observe(consensus::member_id id, const consensus::raft_core &core);
    /// Checks a leader whose lease is valid by its own clock against all cores.
    void observeLease(const consensus::raft_core &holder,
                      const std::vector<const consensus::raft_core *> &others) const;
    void entriesWritten(const consensus::raft_core &core,
                        const std::vector<consensus::log_entry> &entries);
    void messageSent(const consensus::raft_message &message);
    /// Returns true if no member has applied the index before.
    bool entryApplied(const consensus::log_entry &entry);
    void commandApplied(consensus::log_index index, std::uint64_t resultHash);
    void snapshotTaken(consensus::log_index index, std::uint64_t contentHash);

    consensus::log_index highestCommit() const { return m_committed.size(); }

private:
    struct entry_identity
    {
        consensus::term_number previousTerm = 0;
        std::uint64_t payloadHash = 0;
    };

    void observeLeader(consensus::member_id id, const consensus::raft_core &core);
    void observeCommit(consensus::member_id id, const consensus::raft_core &core);

    std::map<consensus::term_number, consensus::member_id> m_leaders;
    std::vector<consensus::term_number> m_committed; ///< Term of entry i + 1.
    std::vector<consensus::term_number> m_commitTerms; ///< Term in which it was committed.
    std::map<consensus::member_id, consensus::log_index> m_observedCommit;
    std::map<std::pair<consensus::log_index, consensus::term_number>, entry_identity> m_entries;
    std::map<std::pair<consensus::member_id, consensus::term_number>, consensus::member_id> m_votes;
    std::map<consensus::log_index, std::uint64_t> m_results;
    std::map<consensus::log_index, std::uint64_t> m_snapshots;
    std::vector<std::pair<consensus::term_number, std::uint64_t>> m_applied;
};

} // namespace quetzalcleat::explore
