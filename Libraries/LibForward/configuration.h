#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::forward {

/// What may be done with a request whose outcome is not known.
enum class request_kind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs at most once.
    Stream, ///< A series of events; runs at most once unless it can be resumed.
};

struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of one host and path prefix go.
struct route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::AtMostOnce;
    std::chrono::milliseconds timeout{0}; ///< Longest time until the final response.
    std::chrono::milliseconds latencyObjective{
        0}; ///< To the response; streams: to the first event.
    std::chrono::milliseconds eventGapObjective{0}; ///< Streams: longest pause between events.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<weighted_service> services;
    int maximumAttempts = 1; ///< Endpoints that one request may run on.
    bool isPublic = false; ///< Needs no client account.
    bool sharesPrefixes = false; ///< Requests name the shared parts of their prompts.
    bool resumable = false;

    /// Whether a second run does no harm, given that a resumed stream continues after its last
    /// event.
    bool isRetrySafe() const
    {
        return kind == request_kind::Idempotent || (kind == request_kind::Stream && resumable);
    }
};

/// What an engine service promises about each of its endpoints.
struct engine_profile
{
    std::uint32_t slots = 0; ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Memory for running requests and cached parts.
    std::uint32_t tokensPerEvent = 1;
};

struct service
{
    std::string name;
    std::string healthPath;
    std::uint32_t connectionLimit = 0; ///< Per endpoint, over all hosts; 0 for none.
    std::optional<engine_profile> engine; ///< Absent for plain services.
};

/// Owner of keys and limits.
struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Takes precedence over the route's priority.
};

/// Bounds on what callers send and how long they may take.
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
    std::uint64_t version = 0; ///< Chosen by the operators; 0 stands for "none yet".
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    caller_limits limits;
    bool requiresKeys = false; ///< Whether routes that are not public need a client account.
};

} // namespace quetzalcleat::forward
