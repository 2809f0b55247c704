#pragma once

#include "LibState/command.h"
#include "LibState/command_result.h"
#include "schedule_random.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalcleat::explore {

/// Entry hosts, operators and a controller that use the replicated state and check its results
/// against a model of what they sent.
class simulated_clients
{
public:
    explicit simulated_clients(schedule_random &random) : m_random(random) { }

    state::command_body nextCommand();

    /// Checks the result of a command. Called once per command, in the order of the log.
    void applied(std::uint64_t logIndex, const state::command &command,
                 const state::command_result &result);

    const state::configuration &lastAccepted() const { return m_accepted; }
    std::size_t dispatchCount() const { return m_dispatches.size(); }

    static std::uint64_t hashOf(const state::command_result &result);

private:
    struct attempt_record
    {
        state::claim_request request;
        bool dispatched = false;
        bool abandonSent = false;
    };

    struct edit_record
    {
        state::edit change;
        bool decided = false;
        state::edit_verdict verdict;
    };

    state::claim_key pickKey();
    state::command_body beginClaim();
    state::command_body finishClaim();
    state::command_body abandonClaim();
    state::command_body proposeEdit();
    state::command_body nextOrder();

    void check(const state::claim_begin &body, const state::command_result &result);
    void check(const state::claim_finish &body, const state::command_result &result);
    void check(const state::claim_abandon &body, const state::command_result &result);
    void check(const state::claim_close &body, const state::command_result &result);
    void check(const state::apply_edit &body, const state::command_result &result);
    void check(const state::control_lease_acquire &body, const state::command_result &result);
    void check(const state::order_begin &body, const state::command_result &result);
    void check(const state::order_finish &body, const state::command_result &result);
    void check(const state::host_register &, const state::command_result &) { }
    void check(const state::member_contact &, const state::command_result &) { }
    // No client proposes the commands of duties here.
    void check(const state::duty_acquire &, const state::command_result &) { }
    void check(const state::usage_close &, const state::command_result &) { }
    void check(const state::usage_delivered &, const state::command_result &) { }
    void check(const state::capacity_order &, const state::command_result &) { }
    void checkFinished(const state::claim_key &key, const state::command_result &result);

    schedule_random &m_random;
    core::wall_time m_time;
    std::uint64_t m_logIndex = 0;

    std::vector<attempt_record> m_attempts;
    std::map<std::string, std::size_t> m_attemptsById;
    std::map<std::string, std::uint64_t> m_incarnations;
    std::map<state::claim_key, std::string> m_owners; ///< Granted attempt that is not abandoned.
    std::map<state::claim_key, int> m_dispatches;
    std::map<state::claim_key, state::stored_response> m_finished;
    std::set<state::claim_key> m_closed;
    std::set<std::string> m_abandoned;

    std::vector<edit_record> m_edits;
    state::configuration m_accepted;

    std::string m_leaseHolder;
    std::uint64_t m_fencing = 0;
    core::wall_time m_leaseEnd;
    std::uint64_t m_orders = 0;
};

} // namespace quetzalcleat::explore
