#pragma once

#include "LibCore/time.h"
#include "LibForward/configuration.h"
#include "LibForward/endpoint_table.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace quetzalcleat::forward {

/// Speed of the engines, for predictions.
struct engine_speed
{
    /// Prompt tokens read in a millisecond. Source: the users' sheets.
    double promptTokensPerMillisecond = 62.4;
    /// Step of an empty batch. Source: the users' sheets.
    std::chrono::microseconds decodeStep{6550};
    /// What each further request in the batch adds to a step. Source: the users' site files.
    std::chrono::microseconds decodeStepPerRequest{165};
};

struct placement_options
{
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regions; ///< Region of each data centre.
    /// Round trip to an endpoint in another data centre of the region, and in another region.
    std::chrono::microseconds crossDataCentreRoundTrip{1800};
    std::chrono::microseconds crossRegionRoundTrip{40000};
    engine_speed speed;
    /// Engines of each region that are kept for requests with tight objectives: a part of them for
    /// the mean load, and a multiple of the square root of their number for its variation.
    /// Source: square-root staffing (Halfin and Whitt, 1981).
    double lowLatencyShare = 0.08;
    /// The part holds for engines with this many slots; of smaller ones there are more.
    double lowLatencyShareSlots = 64;
    double lowLatencyRootFactor = 0.4;
    /// Parts sent to an engine longer ago than this are no longer expected in its cache.
    std::chrono::milliseconds cacheRetention{60'000};
};

/// Which engines a request prefers. A long prefill slows down every request in the same batch, so
/// requests with tight objectives have a part of the engines to themselves while it has room.
enum class engine_pool { Any, LowLatency, LongPrompt };

struct placement_request
{
    const service *target = nullptr;
    const generation_size *size = nullptr; ///< Null for plain services.
    engine_pool pool = engine_pool::Any;
    /// Time to the first event; the engine of a prefix is left more easily if it cannot keep it.
    std::chrono::milliseconds objective{0}; ///< 0 for none.
    std::uint64_t affinity = 0; ///< Hash of the shared prefix; 0 for none.
    std::vector<endpoint_table::endpoint_pointer> excluded; ///< Tried before.
    std::function<bool(const endpoint &)> isConnected; ///< Whether a connection is open and idle.
};

struct placement_choice
{
    endpoint_table::endpoint_pointer chosen; ///< Null if no endpoint can be used.
    std::chrono::microseconds expectedWait{0}; ///< Predicted time to the first token.
    std::uint64_t uncachedTokens = 0; ///< Prompt tokens that are not expected in its cache.
};

/// Chooses the endpoint with the lowest predicted time to the first token: prompts that wait there,
/// the part of the own prompt that is not cached, the distance, and the batch. Equal prefixes meet
/// at the same engine by rendezvous hashing (Thaler and Ravishankar, 1998) while its load allows.
///
/// Pure: no network, no clock. Load pattern: bursts of long prompts with shared prefixes among
/// short questions, over engines whose batch slows down with every long prefill.
placement_choice chooseEndpoint(const endpoint_table &endpoints, const placement_request &request,
                                const placement_options &options, core::instant now);

/// Prompt tokens of the request that the endpoint is not expected to hold.
std::uint64_t uncachedTokens(const endpoint &target, const generation_size &size,
                             const placement_options &options, core::instant now);

} // namespace quetzalcleat::forward
