#pragma once

#include "LibCore/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace quetzalcleat::consensus {

/// Identity of one data folder: 64 random bits. 0 stands for "none".
using member_id = std::uint64_t;

enum class member_role : std::uint8_t { Learner = 0, Voter = 1 };

struct member
{
    member_id id = 0;
    member_role role = member_role::Learner;
    std::string name; ///< Host name from the settings, at most maximumMemberNameBytes.

    bool operator==(const member &) const = default;
};

/// The members of a log group. Changes one voter at a time (Ongaro, "Consensus: Bridging Theory
/// and Practice", section 4.1), so that majorities before and after a change share a member.
struct membership
{
    std::vector<member> members;
    /// The learner that is to take the place of a voter that was removed; 0 if there is none. While
    /// it is set, no further voter may be removed.
    member_id replacement = 0;

    const member *find(member_id id) const;
    bool isVoter(member_id id) const;
    std::size_t voterCount() const;
    /// Votes needed for a majority of the voters.
    std::size_t quorum() const { return voterCount() / 2 + 1; }

    bool operator==(const membership &) const = default;
};

enum class membership_change_kind : std::uint8_t {
    AddLearner,
    PromoteLearner, ///< Refused until the learner has caught up. Ends a pending replacement.
    RemoveMember,
    /// Removes the voter `replaced` and, once that is committed, promotes the caught-up learner
    /// `id`. Two steps, because swapping two members at once could give disjoint majorities.
    /// Between them, `replaced` may also be the pending learner: `id` then takes its place.
    ReplaceVoter,
};

struct membership_change
{
    membership_change_kind kind = membership_change_kind::AddLearner;
    member_id id = 0;
    std::string name; ///< For AddLearner.
    member_id replaced = 0; ///< For ReplaceVoter.
};

constexpr std::size_t maximumMembers = 32;
constexpr std::size_t maximumMemberNameBytes = 255;

/// The payload of a log entry of kind Membership.
std::vector<std::byte> encodeMembership(const membership &value);
/// Refuses more than maximumMembers, duplicate ids, id 0 and a membership without a voter.
core::result<membership> decodeMembership(std::span<const std::byte> bytes);

} // namespace quetzalcleat::consensus
