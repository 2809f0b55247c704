#pragma once

#include "LibState/replicated_state.h"

#include <chrono>
#include <string>
#include <system_error>
#include <variant>

namespace quetzalcleat::state::test {

using std::chrono::hours;
using std::chrono::milliseconds;

/// Applies commands at growing log indexes, at a time that the test sets.
struct state_driver
{
    replicated_state state;
    std::uint64_t index = 0;
    core::wall_time time{hours(24)};

    command_result apply(command_body body)
    {
        return state.apply(++index, {time, std::move(body)});
    }

    /// Throws the error if there is one.
    claim_verdict_kind claim(command_body body)
    {
        const auto result = apply(std::move(body));
        if (result.error)
            throw std::system_error(result.error);
        return std::get<claim_verdict>(result.verdict).kind;
    }

    edit_verdict edited(const edit &change)
    {
        return std::get<edit_verdict>(apply(apply_edit{change, std::nullopt}).verdict);
    }

    /// Replaces the state by one restored from its snapshot.
    void restart()
    {
        auto restored = replicated_state::restore(state.snapshot());
        state = std::move(restored).value();
    }
};

inline claim_attempt attempt(const std::string &id, const std::string &key = "key",
                             std::uint64_t incarnation = 1)
{
    return {{"caller", key}, id, "host", incarnation};
}

inline claim_begin begin(const claim_attempt &value, const std::string &body = "body")
{
    return {{value, body}};
}

inline claim_finish finish(const claim_attempt &value, const std::string &body = "answer")
{
    return {{value, true, {200, "text/plain", body, false}}};
}

} // namespace quetzalcleat::state::test
