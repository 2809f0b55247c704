#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibCore/time.h"
#include "LibFleet/duty_error.h"
#include "LibFleet/duty_request.h"
#include "LibForward/event_log.h"
#include "LibForward/upstream.h"
#include "LibPeer/control_service.h"
#include "LibPeer/local_proposer.h"
#include "LibPolicy/duty_lease.h"
#include "LibPolicy/token_bucket.h"
#include "LibState/duties.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzalcleat::fleet {

std::string_view toString(state::duty kind);

struct duty_runner_options
{
    std::vector<state::duty> duties;
    core::socket_address address; ///< Of the platform.
    std::string hostName;
    std::uint64_t incarnation = 0; ///< Of this process.
    std::chrono::milliseconds leaseTime{3000};
    double requestRate = 0; ///< Allowed calls per second, over all hosts and duties; 0: unknown.
    std::function<std::vector<forward::header_field>(const duty_caller &)> headers;
    core::time_source now = core::suspendAwareNow; ///< Has to count suspended time.
};

/// Holds the duties of the fleet on the leader of the control group, and makes their calls.
///
/// Each call is checked directly before its bytes are written: this host leads with a valid lease,
/// its acquisition is the newest, and the wait after it is over. Belongs to the event loop.
class duty_runner : public std::enable_shared_from_this<duty_runner>
{
public:
    /// The status of the answer, or a duty_error, or that of the connection. Without a status the
    /// call may have been carried out, unless the error says otherwise.
    using completion = std::function<void(core::result<int>)>;

    duty_runner(std::shared_ptr<peer::control_service> service,
                std::shared_ptr<peer::local_proposer> proposer,
                std::shared_ptr<forward::connection_pool> pool, core::counter_registry &counters,
                forward::event_log &log, duty_runner_options options);

    /// Acquires duties where needed and starts waiting calls. To be called every few 10 ms.
    void tick();

    /// No handler is called afterwards.
    void stop();

    /// Whether this host may make calls of the duty now.
    bool mayAct(state::duty kind);

    /// The number under which this host holds the duty, also while it waits; 0 if it does not.
    std::uint64_t generation(state::duty kind);

    /// Makes a call as soon as the rate allows. Calls of Usage come first. The completion is called
    /// later, exactly once. Calls of one subject must follow each other, since two calls that are
    /// in progress at the same time may arrive in any order.
    void send(state::duty kind, duty_request request, completion done);

    /// One line for each duty.
    std::string dump();

private:
    /// A call from its start to its completion.
    struct call
    {
        state::duty kind = state::duty::Usage;
        duty_request request;
        completion done;
        int status = 0;
        std::shared_ptr<forward::attempt> attempt;
        std::unique_ptr<asio::steady_timer> timer;
    };
    using call_pointer = std::shared_ptr<call>;

    policy::duty_standing refresh(state::duty kind);
    void logChange(state::duty kind, policy::duty_standing before, std::uint64_t generationBefore);
    void acquire(state::duty kind);
    void startWaitingCalls();
    void start(const call_pointer &started);
    std::string requestText(const call &started);
    void finish(const call_pointer &ended, core::result<int> outcome);
    std::chrono::milliseconds timeout() const;

    std::shared_ptr<peer::control_service> m_service;
    std::shared_ptr<peer::local_proposer> m_proposer;
    std::shared_ptr<forward::connection_pool> m_pool;
    core::counter_registry &m_counters;
    forward::event_log &m_log;
    duty_runner_options m_options;
    std::map<state::duty, policy::duty_lease> m_leases;
    std::set<state::duty> m_acquiring; ///< Proposals in progress.
    policy::token_bucket m_calls;
    std::map<state::duty, std::deque<call_pointer>> m_waiting;
    std::set<call_pointer> m_inProgress;
    bool m_stopped = false;
};

} // namespace quetzalcleat::fleet
