#pragma once

#include "LibCore/result.h"
#include "LibInventory/document.h"
#include "LibPolicy/baseline_routing.h"
#include "LibPolicy/decision_journal.h"
#include "LibPolicy/notice_control.h"
#include "LibPolicy/outlier_detector.h"
#include "LibPolicy/policy_error.h"
#include "LibPolicy/policy_options.h"
#include "LibPolicy/policy_types.h"
#include "LibPolicy/policy_views.h"
#include "LibPolicy/pool_candidates.h"
#include "LibPolicy/queue_scheduler.h"
#include "LibPolicy/random_source.h"
#include "LibPolicy/routing_policy.h"
#include "LibPolicy/score_routing.h"
#include "LibPolicy/tables.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// Decides which requests are dispatched when and to which endpoints: limits, queues, routing,
/// shedding and preemption.
///
/// Does no I/O and reads no clock; equal calls with an equal seed give equal decisions. Not
/// thread-safe. Ids of accounts, classes and endpoints are indices into the document of the last
/// configure() call; calls with an unknown id are refused or ignored.
template <routing_policy Routing>
class basic_decision_core
{
public:
    explicit basic_decision_core(std::uint64_t seed, const policy_options &options = {});

    /// Applies a document. Queued and running work is kept; entities are matched by name.
    void configure(const inventory::document &document, const host_location &location,
                   core::instant now);

    /// Queues a request. Errors are those of policy_error; see retryAfter(). May cause a Shed
    /// decision in the next tick.
    core::result<request_id> submit(request_spec spec, core::instant now);

    /// When a caller whose request was refused should try again.
    std::chrono::milliseconds retryAfter(const request_spec &spec, core::instant now) const;

    /// Drops a request whose caller disconnected. Unknown ids are ignored.
    void cancel(request_id request, core::instant now);

    /// For a service: its first byte.
    void reportFirstToken(request_id request, core::instant now);

    /// Tokens that reached the caller since the last report.
    void reportTokens(request_id request, std::uint32_t count, core::instant now);

    /// Ends the running attempt. Returns true if the request was queued again, and false if it has
    /// ended and its id is no longer valid. After a Preempt decision nothing more is reported
    /// about the preempted attempt: the request is already queued again.
    bool reportFinished(request_id request, attempt_outcome outcome, core::instant now);

    /// Takes what an answer to the running attempt says of its endpoint. Returns whether the
    /// endpoint begins to be held off.
    bool reportAnswer(request_id request, const answer_notice &answer, core::instant now);

    /// To be asked directly before the running attempt is sent, as notices may arrive while a
    /// connection is opened. If not, it ends with attempt_outcome::Withdrawn.
    bool mayStillSend(request_id request, core::instant now) const;

    /// Whether an endpoint may be called beside the attempts, for example to cancel one.
    bool acceptsCalls(std::string_view endpointName, core::instant now) const;

    const notice_limits &noticeLimits() const { return m_tables.notices.limits(); }

    /// Notices that have begun or ended since the last call.
    std::vector<notice_event> takeNoticeEvents(core::instant now);

    /// A higher incarnation than before shows that the endpoint was restarted.
    void reportLoad(endpoint_id endpoint, const load_report &report, core::instant now);

    /// Repeated events are ignored; a gap in their sequence clears the view of the cache.
    void reportCacheEvent(endpoint_id endpoint, const cache_event &event, core::instant now);

    /// The first Leaving, from here or from an answer, holds until a report with a higher
    /// incarnation. An incarnation of 0 means that the source does not know it: Leaving then
    /// concerns the current incarnation.
    void reportEndpointState(std::string_view endpointName, state_source source,
                             endpoint_state state, std::uint64_t incarnation, core::instant now);

    /// Sets the leased share of the fleet-wide limits, 0 to 1.
    void setShare(double share, core::instant now);

    /// Runs all systems and returns the decisions in the order in which they are to be carried out.
    std::vector<decision> tick(core::instant now);

    dump_view dump() const;

    /// Recorded decisions about the request with this X-Request-Id, if there are any.
    std::optional<explanation> explain(std::string_view requestId) const;

private:
    core::result<request_id> refuse(const request_spec &spec, policy_error error,
                                    core::instant now);
    request_record makeRecord(const request_spec &spec, std::uint32_t accountIndex,
                              std::uint32_t classIndex, std::uint32_t pool,
                              core::instant now) const;
    void shed(request_id victim, decision_reason reason, const request_record &beneficiary,
              core::instant now);
    void expire(core::instant now);
    void endQueued(request_record &record, decision_reason reason, core::instant now);
    /// Refuses the requests whose targets pass before an endpoint of the pool takes requests.
    void refuseHeldOff(const pool_record &pool, core::instant now);
    void schedulePools(core::instant now);
    void schedulePool(pool_record &pool, core::instant now);
    bool isBlockedByHeadroom(const pool_record &pool, const queue_selection &selection,
                             core::instant now) const;
    bool preemptFor(const queue_selection &selection, core::instant now);
    void dispatch(const queue_selection &selection, const routing_choice &choice,
                  core::instant now);
    void recordOutcome(request_record &record, attempt_outcome outcome, core::instant now);
    /// Spends the retry budget if it returns true.
    bool allowRetry(const request_record &record, attempt_outcome outcome, core::instant now);
    void countFailure(const request_record &record, core::instant now);
    void resetAfterRestart(endpoint_record &endpoint, core::instant now);
    decision makeDecision(decision_kind kind, const request_record &record,
                          decision_reason reason) const;
    void recordStep(const decision &decision, const request_record &record, core::instant now,
                    const request_record *beneficiary, const routing_choice *choice);

    core_tables m_tables;
    random_source m_random;
    Routing m_routing;
    pool_candidates m_candidates;
    queue_scheduler m_scheduler;
    outlier_detector m_outliers;
    decision_journal m_journal;
    decision_totals m_totals;
    std::vector<decision> m_decisions; ///< That the next or the running tick returns.
    std::uint32_t m_firstPool = 0; ///< Of the next tick, so that unchanged pools take turns.
    std::uint32_t m_preemptionsLeft = 0; ///< In the running tick.
    core::instant m_now{}; ///< Of the last call, for dump().
};

/// The policy of the router.
using decision_core = basic_decision_core<score_routing>;

/// Baselines for experiments.
using round_robin_core = basic_decision_core<round_robin_routing>;
using least_in_flight_core = basic_decision_core<least_in_flight_routing>;

extern template class basic_decision_core<score_routing>;
extern template class basic_decision_core<round_robin_routing>;
extern template class basic_decision_core<least_in_flight_routing>;

} // namespace quetzalcleat::policy
