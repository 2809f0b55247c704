#pragma once

#include "LibConsensus/raft_core.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quetzalcleat::consensus::test {

using std::chrono::milliseconds;

inline membership voters(std::vector<member_id> ids)
{
    membership value;
    for (const auto id : ids)
        value.members.push_back({id, member_role::Voter, std::to_string(id)});
    return value;
}

inline raft_options options(member_id self)
{
    raft_options value;
    value.self = self;
    value.electionTimeout = milliseconds(100);
    value.heartbeatInterval = milliseconds(20);
    return value;
}

inline restored_state initial(const membership &members)
{
    restored_state value;
    value.hardState = {1, 0, 1};
    value.entries.push_back({{1, 1}, entry_kind::Membership, encodeMembership(members)});
    return value;
}

/// Member 1 of a group; the test sends the messages of the other members.
struct single_member
{
    core::instant now{std::chrono::hours(1)};
    raft_core core;

    explicit single_member(const membership &members) : core(options(1), initial(members), 1, now)
    {
    }

    single_member(restored_state restored, raft_options chosen)
        : core(chosen, std::move(restored), 1, now)
    {
    }

    void advance(milliseconds time)
    {
        now += time;
        core.tick(now);
    }

    template <typename Body>
    void receive(member_id from, term_number term, Body body)
    {
        core.receive({0, from, 1, term, std::move(body)}, now);
    }

    /// Takes and syncs all work; returns the messages in order.
    std::vector<raft_message> sync()
    {
        std::vector<raft_message> sent;
        while (core.hasReady()) {
            auto work = core.takeReady();
            for (auto *part : {&work.messages, &work.messagesAfterSync})
                sent.insert(sent.end(), part->begin(), part->end());
            core.synced(work.number, now);
        }
        return sent;
    }

    /// Lets member 1 win an election with the votes of these members.
    void elect(const std::vector<member_id> &supporters)
    {
        advance(milliseconds(250));
        sync();
        for (const auto id : supporters)
            receive(id, core.term() + 1, vote_response{true, true});
        sync();
        for (const auto id : supporters)
            receive(id, core.term(), vote_response{false, true});
        sync();
    }

    /// Acknowledges the whole log on behalf of these members.
    void acknowledge(const std::vector<member_id> &members)
    {
        for (const auto id : members)
            receive(id, core.term(), append_response{true, core.lastIndex(), 0, clock()});
        sync();
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
    }
};

template <typename Body>
const Body *find(const std::vector<raft_message> &messages, member_id to)
{
    for (const auto &message : messages) {
        if (message.to == to && std::holds_alternative<Body>(message.body))
            return &std::get<Body>(message.body);
    }
    return nullptr;
}

inline log_entry command(term_number term, log_index index, char text = 'x')
{
    return {{term, index}, entry_kind::Command, {static_cast<std::byte>(text)}};
}

} // namespace quetzalcleat::consensus::test
