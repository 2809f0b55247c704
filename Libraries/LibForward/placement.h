#pragma once

#include "LibCore/time.h"
#include "LibForward/configuration.h"
#include "LibForward/endpoint_table.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::forward {

/// Speed of the engines, used to predict waiting times.
struct engine_speed
{
    /// Prefill speed, as given in the deployment's specification.
    double promptTokensPerMillisecond = 62.4;
    /// Duration of a decode step with an empty batch, as given in the deployment's specification.
    std::chrono::microseconds decodeStep{6550};
    /// Added to a decode step by each request in the batch, as given in the deployment's
    /// specification.
    std::chrono::microseconds decodeStepPerRequest{165};
};

enum class placement_rule {
    LeastPredictedStart, ///< Takes the sums of other hosts as they are; for comparison.
    EvenLoad, ///< Allows for the age of the sums, learnt speeds and hot prefixes.
};

struct placement_options
{
    placement_rule rule = placement_rule::EvenLoad;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regions; ///< Region of each data centre.
    /// Round trip to an endpoint in another data centre of the region, and in another region.
    std::chrono::microseconds crossDataCentreRoundTrip{1800};
    std::chrono::microseconds crossRegionRoundTrip{40000};
    engine_speed speed;
    /// Size of the low-latency pool of each region: a share of its engines for the mean load, plus
    /// a multiple of the square root of their number for its variation. Source: square-root
    /// staffing (Halfin and Whitt, 1981).
    double lowLatencyShare = 0.08;
    /// The share is for engines with this many slots; with fewer slots it is larger.
    double lowLatencyShareSlots = 64;
    double lowLatencyRootFactor = 0.4;
    /// Prompt parts sent to an engine longer ago than this are assumed evicted from its cache.
    std::chrono::milliseconds cacheRetention{60'000};
    /// An engine with more than this multiple of the mean number of requests passes a part of those
    /// for its prefixes to the next engine. Source: consistent hashing with bounded loads
    /// (Mirrokni, Thorup, Zadimoghaddam, 2018).
    double loadBound = 1.5;
};

/// The engines that a request prefers. A long prefill slows down every request in the same batch,
/// so some engines are reserved for requests with tight latency objectives while they have room.
enum class engine_pool { Any, LowLatency, LongPrompt };

struct placement_request
{
    const service *target = nullptr;
    const generation_size *size = nullptr; ///< Null for plain services.
    engine_pool pool = engine_pool::Any;
    /// Time to the first event. A prefix is rerouted more readily if its engine would miss it.
    std::chrono::milliseconds objective{0}; ///< 0 for none.
    /// Pause objective of the streams on the low-latency engines, which a long prompt has to leave
    /// them; 0 for none.
    std::chrono::milliseconds protectedPause{0};
    std::uint64_t affinity = 0; ///< Hash of the shared prefix; 0 for none.
    std::vector<endpoint_table::endpoint_pointer> excluded; ///< Already tried.
    std::function<bool(const endpoint &)> isConnected; ///< Whether a connection is open and idle.
    std::uint64_t random = 0; ///< Different for each request.
};

/// What decided the choice of an endpoint.
enum class placement_reason {
    LeastCost,
    NearEqual, ///< At random among the few whose costs are nearly equal.
    PassedOn, ///< An engine that the prefix prefers has too much of the load.
};

std::string_view toString(placement_reason reason);

struct placement_choice
{
    endpoint_table::endpoint_pointer chosen; ///< Null if no endpoint can be used.
    std::chrono::microseconds expectedWait{0}; ///< Predicted time to the first token.
    std::uint64_t uncachedTokens = 0; ///< Prompt tokens not expected in its cache.
    std::chrono::microseconds expectedPause{0}; ///< Of the streams there, after this prompt came.
    placement_reason reason = placement_reason::LeastCost;
    /// If none can be used: the earliest end of a wait, and the latest time at which an endpoint
    /// takes the next request. They differ while requests return one after another.
    std::optional<core::instant> heldOffUntil;
    core::instant nextUse;
};

/// Chooses the endpoint with the lowest predicted time to the first token. The prediction adds up
/// the prompts queued there, the uncached part of this prompt, the round trip, and the batch size.
/// Requests with the same prefix go to the same engine by rendezvous hashing (Thaler and
/// Ravishankar, 1998) while its load allows.
///
/// Does no I/O and reads no clock. Designed for bursts of long prompts with shared prefixes mixed
/// with short questions, on engines whose batch is slowed down by every long prefill.
placement_choice chooseEndpoint(const endpoint_table &endpoints, const placement_request &request,
                                const placement_options &options, core::instant now);

/// Pace of an engine with so many requests in progress.
policy::engine_pace paceOf(const service &target, const engine_speed &speed, double batch,
                           double relativeSpeed = 1);

/// Prompt tokens of the request that are not expected in the cache of the endpoint.
std::uint64_t uncachedTokens(const endpoint &target, const generation_size &size,
                             const placement_options &options, core::instant now);

} // namespace quetzalcleat::forward
