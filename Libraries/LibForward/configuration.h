#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::forward {

/// Whether a request may be sent again after an attempt whose outcome is unknown.
enum class request_kind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Must not run more than once.
    Stream, ///< A stream of events; must not run more than once unless it is resumable.
};

struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Destination and handling of the requests with one host name and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::AtMostOnce;
    std::chrono::milliseconds timeout{0}; ///< Longest time until the response ends.
    /// Time to the response, or to the first event of a stream.
    std::chrono::milliseconds latencyObjective{0};
    std::chrono::milliseconds eventGapObjective{0}; ///< Longest pause between stream events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<weighted_service> services;
    int maximumAttempts = 1; ///< Endpoints that may run one request.
    bool isPublic = false; ///< Needs no client account.
    bool sharesPrefixes = false; ///< Requests name the shared parts of their prompts.
    bool resumable = false;

    /// Whether the request may run a second time. A resumed stream continues after its last event.
    bool isRetrySafe() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && resumable);
    }
};

/// Capacity of each endpoint of an engine service.
struct engine_profile
{
    std::uint32_t slots = 0; ///< Largest number of requests in a batch.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached parts.
    std::uint32_t tokensPerEvent = 1;
};

/// Bounds and prices for ordering endpoints of a service.
struct autoscale_profile
{
    /// For each data centre, over ordinary and spot endpoints together.
    std::uint32_t minimum = 0;
    std::uint32_t maximum = 0;
    std::chrono::milliseconds startupTime{0}; ///< From an order until a new endpoint serves.
    double spotPrice = 1; ///< Of a spot endpoint, as a share of the price of an ordinary one.
    std::map<std::string, double> prices; ///< By data centre; 1 where it is absent.
};

struct service
{
    std::string name;
    std::string healthPath;
    std::uint32_t connectionLimit = 0; ///< Per endpoint, over all hosts; 0 for none.
    std::optional<engine_profile> engine; ///< Absent for plain services.
    std::optional<autoscale_profile> autoscale{}; ///< Absent if its endpoints are not ordered.
};

/// A customer's account, identified by its keys.
struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Takes precedence over the route's priority.
};

/// Limits on the size and duration of what callers send.
struct caller_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// Everything that operators set for forwarding. Immutable once published.
struct configuration
{
    std::uint64_t version = 0; ///< Chosen by the operators; 0 if there is none yet.
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    caller_limits limits;
    bool requiresKeys = false; ///< Whether routes that are not public need a client account.
};

} // namespace quetzalcleat::forward
