#pragma once

#include "LibCore/result.h"
#include "LibInventory/document.h"
#include "LibPolicy/policy_error.h"
#include "LibPolicy/policy_types.h"
#include "LibPolicy/policy_views.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// Decides which request goes where and when: limits, queues, routing, shedding and preemption.
///
/// Does no I/O and reads no clock; equal calls with an equal seed give equal decisions. Not
/// thread-safe. Ids of callers, classes and endpoints are indices into the document of the last
/// configure() call.
class decision_core
{
public:
    explicit decision_core(std::uint64_t seed);

    /// Puts a document in force. Queued and running work is kept; entities are matched by name.
    void configure(const inventory::document &document, const placement_self &self,
                   core::instant now);

    /// Queues a request. Errors are those of policy_error; see retryAfter().
    core::result<request_id> submit(request_spec spec, core::instant now);

    /// When a caller whose request was refused should try again.
    std::chrono::milliseconds retryAfter(const request_spec &spec, core::instant now) const;

    /// Forgets a request because its caller went away. Unknown ids are ignored.
    void cancel(request_id request, core::instant now);

    void reportFirstToken(request_id request, core::instant now);

    /// Tokens that reached the caller since the last report.
    void reportTokens(request_id request, std::uint32_t count, core::instant now);

    /// Ends the running attempt. Returns true if the request was queued again, and false if it has
    /// ended and its id is no longer valid. After a Preempt decision nothing more is reported
    /// about the preempted attempt: the request is already queued again.
    bool reportFinished(request_id request, attempt_outcome outcome, core::instant now);

    void reportLoad(endpoint_id endpoint, const load_report &report, core::instant now);
    void reportCacheEvent(endpoint_id endpoint, const cache_event &event, core::instant now);

    /// The first Leaving holds until a Live report with a higher incarnation. An incarnation of 0
    /// means that the source does not know it: Leaving then concerns the current incarnation.
    void reportEndpointState(std::string_view endpointName, state_source source,
                             endpoint_state state, std::uint64_t incarnation, core::instant now);

    /// Sets the leased share of the fleet-wide limits, 0 to 1.
    void setShare(double share, core::instant now);

    /// Runs all systems and returns the decisions in the order in which they are to be carried out.
    std::vector<decision> tick(core::instant now);

    dump_view dump() const;

    /// What is remembered about the request with this X-Request-Id.
    std::optional<explanation> explain(std::string_view requestId) const;

private:
    struct request_state
    {
        request_spec spec;
        core::instant submittedAt;
        bool running = false;
        endpoint_id endpoint;
        std::uint32_t attempts = 0;
        std::uint32_t deliveredTokens = 0;
    };

    bool serves(const inventory::endpoint &endpoint, const request_spec &spec) const;
    std::optional<endpoint_id> leastLoaded(const request_spec &spec) const;
    std::uint32_t tierRank(const request_spec &spec) const;

    inventory::document m_document;
    std::map<request_id, request_state> m_requests;
    std::vector<std::uint32_t> m_inFlight;
    std::map<std::string, std::uint64_t, std::less<>> m_leaving; ///< Name to incarnation.
    std::uint64_t m_lastRequest = 0;
    double m_share = 1;
};

} // namespace quetzalcleat::policy
