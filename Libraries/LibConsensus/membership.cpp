#include "LibConsensus/membership.h"

#include "LibConsensus/byte_codec.h"
#include "LibConsensus/consensus_error.h"

#include <algorithm>
#include <set>

namespace quetzalcleat::consensus {

namespace {

bool isValid(const membership &value)
{
    std::set<member_id> ids;
    for (const auto &each : value.members) {
        if (each.id == 0 || each.name.size() > maximumMemberNameBytes
            || !ids.insert(each.id).second)
            return false;
    }
    return value.members.size() <= maximumMembers && value.voterCount() > 0;
}

} // namespace

const member *membership::find(member_id id) const
{
    const auto found = std::ranges::find(members, id, &member::id);
    return found == members.end() ? nullptr : &*found;
}

bool membership::isVoter(member_id id) const
{
    const auto *found = find(id);
    return found != nullptr && found->role == member_role::Voter;
}

std::size_t membership::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, member_role::Voter, &member::role));
}

std::vector<std::byte> encodeMembership(const membership &value)
{
    byte_writer writer;
    writer.number(value.replacement);
    writer.number(static_cast<std::uint32_t>(value.members.size()));
    for (const auto &each : value.members) {
        writer.number(each.id);
        writer.number(static_cast<std::uint8_t>(each.role));
        writer.text(each.name);
    }
    return writer.take();
}

core::result<membership> decodeMembership(std::span<const std::byte> bytes)
{
    byte_reader reader(bytes);
    membership value;
    value.replacement = reader.number<std::uint64_t>();
    const auto count = reader.number<std::uint32_t>();
    if (count > maximumMembers)
        return consensus_error::InvalidMembership;
    for (std::uint32_t i = 0; i < count && !reader.failed(); ++i) {
        member each;
        each.id = reader.number<std::uint64_t>();
        const auto role = reader.number<std::uint8_t>();
        each.name = reader.text();
        if (role > static_cast<std::uint8_t>(member_role::Voter))
            return consensus_error::InvalidMembership;
        each.role = static_cast<member_role>(role);
        value.members.push_back(std::move(each));
    }
    if (!reader.complete() || !isValid(value))
        return consensus_error::InvalidMembership;
    return value;
}

} // namespace quetzalcleat::consensus
