#pragma once

#include "LibConsensus/log_store.h"
#include "LibConsensus/raft_core.h"
#include "LibState/replicated_state.h"
#include "LibState/state_clock.h"
#include "explore-schedules/invariant_checker.h"
#include "explore-schedules/schedule_random.h"
#include "explore-schedules/simulated_files.h"
#include "fault_cell.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzalcleat::fault_matrix {

/// Three control hosts and three entry hosts, one of each in every data centre, one service, one
/// caller and two operators, in virtual time.
///
/// Control hosts run the real log, store and replicated state. Entry hosts are models of
/// peer::control_client and daemon::service_session, which need sockets.
class matrix_cluster
{
public:
    explicit matrix_cluster(const fault_cell &cell);

    /// Throws explore::invariant_violation.
    void run();
    bool injected() const { return m_injected; }

private:
    using store = consensus::basic_log_store<explore::simulated_files>;
    using reply = std::function<void(const state::command_result &)>;
    using milliseconds = std::chrono::milliseconds;

    struct waiting_reply
    {
        consensus::term_number term = 0;
        std::size_t entryHost = 0;
        reply answer;
    };

    struct control_host
    {
        consensus::member_id id = 0;
        std::shared_ptr<explore::simulated_disk> disk;
        std::optional<store> logStore;
        std::optional<consensus::raft_core> core; ///< Empty while the process is down.
        state::replicated_state state;
        consensus::log_index applied = 0;
        std::optional<state::state_clock> clock;
        consensus::term_number clockTerm = 0;
        std::map<consensus::log_index, waiting_reply> waiting;
    };

    struct proposal
    {
        state::command_body body;
        reply onResult;
        std::function<void()> onTimeout;
        core::instant deadline;
        core::instant nextTransmission;
        std::size_t transmissions = 0;
    };

    enum class call_phase { Claiming, Held, Sent, Ended };

    struct booking_session
    {
        state::claim_attempt attempt;
        core::instant deadline;
        call_phase phase = call_phase::Claiming;
        std::size_t transmission = 0; ///< Number of the transmission by the caller.
    };

    struct entry_host
    {
        std::uint64_t incarnation = 1;
        bool down = false;
        bool leaving = false;
        state::configuration inForce;
        std::map<std::uint64_t, proposal> pending;
        std::vector<std::shared_ptr<booking_session>> sessions;
        core::instant nextSubscription;
    };

    struct message_in_flight
    {
        core::instant arrival;
        std::size_t to = 0;
        std::function<void()> deliver;
    };

    struct scheduled_event
    {
        core::instant at;
        std::function<void()> action;
    };

    struct operator_edit
    {
        state::edit change;
        std::optional<state::edit_verdict> verdict;
        core::instant nextSend;
        std::size_t sends = 0;
        bool loseNextAnswer = false;
    };

    enum class caller_answer { Done, NotRun, Unknown, Undecided };

    // Time, network and processes
    void advance();
    void after(milliseconds delay, std::function<void()> action);
    void post(std::size_t from, std::size_t to, std::function<void()> deliver,
              milliseconds extraDelay = milliseconds(0));
    bool runs(std::size_t host) const;
    void blockLink(std::size_t from, std::size_t to);
    void partition(const std::set<std::size_t> &side);
    void healAfter(milliseconds delay);
    void crash(std::size_t host, bool powerLoss, milliseconds downTime);
    void start(std::size_t host);
    void startControl(control_host &host);
    void emptyDisk(std::size_t host);
    void continueReplacement();

    // Control hosts
    void processReady(std::size_t host);
    void send(std::size_t host, const std::vector<consensus::raft_message> &messages);
    void apply(std::size_t host, const consensus::log_entry &entry);
    void receiveProposal(std::size_t host, std::size_t entryHost, const state::command_body &body,
                         const reply &answer);
    void push(std::size_t from, std::size_t to);
    std::size_t leader() const;
    std::size_t hostOf(consensus::member_id id) const;

    // Entry hosts
    void tickEntry(std::size_t host);
    void propose(std::size_t host, state::command_body body, milliseconds timeout, reply onResult,
                 std::function<void()> onTimeout);
    void proposeInBackground(std::size_t host, const state::command_body &body);
    void receiveConfiguration(std::size_t host, const state::configuration &configuration);
    void receiveBooking(std::size_t host, std::size_t transmission);
    void receiveVerdict(std::size_t host, const std::shared_ptr<booking_session> &session,
                        const state::command_result &result);
    void sendToService(std::size_t host, const std::shared_ptr<booking_session> &session);
    void finishSession(std::size_t host, const std::shared_ptr<booking_session> &session,
                       bool known, const std::string &body);
    void receiveEdit(std::size_t host, std::size_t edit);

    // Caller and operators
    void sendBooking();
    void receiveAnswer(std::size_t transmission, caller_answer answer, const std::string &body);
    void startEdit(const std::string &editId, std::uint64_t base);
    void tickCallerAndOperators();
    void closeKey();

    // Faults and checks
    void reach(step reached);
    void inject(fault value);
    void checkAll();
    bool settled() const;
    bool newestInForce() const;

    fault_cell m_cell;
    explore::schedule_random m_random;
    explore::invariant_checker m_checker;
    core::instant m_now;
    milliseconds m_wallOffset{0};
    bool m_faultsEnabled = false;
    bool m_injected = false;
    std::array<control_host, 3> m_controls;
    std::array<entry_host, 3> m_entries;
    std::array<core::instant, 6> m_pausedUntil{};
    std::array<std::size_t, 6> m_startCounts{};
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    std::vector<message_in_flight> m_messagesInFlight;
    std::vector<scheduled_event> m_scheduled;
    std::optional<std::pair<consensus::member_id, consensus::member_id>> m_replacement;
    bool m_crashAfterReplacement = false;
    std::size_t m_disksToEmpty = 0; ///< Faults waiting until a voter may be replaced.
    consensus::member_id m_lastId = 0;
    std::uint64_t m_lastProposal = 0;

    // Service
    std::size_t m_runs = 0;
    milliseconds m_serviceDelay{20};
    bool m_serviceDown = false;

    // Caller
    std::size_t m_transmissions = 0;
    core::instant m_nextBooking;
    bool m_bookingSettled = false;
    bool m_loseNextAnswer = false;
    bool m_sawNotRun = false;
    bool m_sawDone = false;

    std::map<std::string, operator_edit> m_edits;
    std::vector<std::string> m_editOrder;
    std::optional<std::string> m_watchedEdit; ///< The edit whose steps trigger the faults.
    consensus::log_index m_watchedIndex = 0;
    std::map<std::string, std::uint64_t> m_accepted; ///< Revision by edit id, as answered.
    core::instant m_lastAcceptance;
};

} // namespace quetzalcleat::fault_matrix
