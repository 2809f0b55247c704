#pragma once

#include "LibPolicy/policy_types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::policy {

/// Whether routing uses an endpoint.
enum class endpoint_health {
    Healthy,
    Ejected, ///< Slower than its peers or failing; gets no requests.
    HalfOpen, ///< Gets one probe at a time.
    SlowStart, ///< Reinstated or new; its usable capacity grows.
};

struct endpoint_view
{
    std::string name;
    endpoint_state state = endpoint_state::Live;
    endpoint_health health = endpoint_health::Healthy;
    std::uint64_t incarnation = 0;
    std::string_view leavingSource; ///< Of the first notice; empty without one.
    std::chrono::milliseconds heldOffFor{0}; ///< Left of the wait that the endpoint asked for.
    std::uint32_t capacity = 0;
    std::uint32_t inFlight = 0; ///< Attempts of this host.
    double otherHostsLoad = 0; ///< Estimated attempts of other hosts.
    std::chrono::milliseconds timeToFirstToken{0}; ///< Moving average.
    std::uint32_t cachedBlocks = 0; ///< Blocks that are probably cached; see prefix_cache_view.
    std::uint64_t cacheGaps = 0; ///< Gaps seen in the sequence of cache events.
    bool inSubset = false; ///< Whether this host routes to it.
};

struct class_view
{
    std::string name;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::chrono::milliseconds longestWait{0}; ///< Of the requests that are queued now.
    std::uint32_t estimatedOutputTokens = 0; ///< Median of recent answers.
};

struct account_view
{
    std::string name;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

struct decision_totals
{
    std::uint64_t submitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t retried = 0;
    std::uint64_t retriesDenied = 0; ///< The retry budget was spent.
    std::uint64_t shed = 0;
    std::uint64_t preempted = 0;
    std::uint64_t expired = 0;
    std::uint64_t ejected = 0;
};

/// State of the tables at the time of the last call.
struct dump_view
{
    std::vector<endpoint_view> endpoints;
    std::vector<class_view> classes;
    std::vector<account_view> accounts;
    decision_totals totals;
    double share = 1;
};

/// One endpoint that a routing decision compared. A lower score is better.
struct scored_candidate
{
    std::string endpoint;
    double score = 0; ///< Expected time to the first token plus costs, in ms.
};

/// A past decision about a request, or its refusal by submit().
struct explained_step
{
    core::instant at;
    std::optional<decision_kind> kind; ///< Absent for a refusal by submit().
    decision_reason reason = decision_reason::LowestScore;
    std::error_code refusal; ///< Set for a refusal by submit().
    std::string endpoint;
    std::string beneficiary; ///< X-Request-Id; empty if there is none.
    std::chrono::milliseconds waited{0};
    std::vector<scored_candidate> candidates;
};

enum class request_phase { Queued, Running, Ended };

/// The recorded decisions about a request.
struct explanation
{
    std::string requestId;
    request_phase phase = request_phase::Ended;
    std::vector<explained_step> steps; ///< Oldest first; old steps may have been dropped.
};

} // namespace quetzalcleat::policy
