#pragma once

#include "LibInventory/document.h"
#include "LibPolicy/endpoint_health_tracker.h"
#include "LibPolicy/endpoint_incarnation.h"
#include "LibPolicy/endpoint_notices.h"
#include "LibPolicy/entity_table.h"
#include "LibPolicy/fair_queue.h"
#include "LibPolicy/headroom.h"
#include "LibPolicy/other_hosts_load.h"
#include "LibPolicy/output_length_estimator.h"
#include "LibPolicy/policy_options.h"
#include "LibPolicy/prefix_cache_view.h"
#include "LibPolicy/request_limits.h"
#include "LibPolicy/request_table.h"
#include "LibPolicy/retry_token_bucket.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalcleat::policy {

/// Distance of an endpoint from this host.
enum class endpoint_distance { SameDataCentre, SameRegion, OtherRegion };

struct endpoint_record
{
    std::string name;
    bool present = false;
    std::uint32_t documentIndex = 0;
    inventory::endpoint description;
    std::uint64_t nameHash = 0;
    endpoint_distance distance = endpoint_distance::SameDataCentre;
    bool drained = false; ///< A drain of the document names it.
    bool inSubset = false;
    endpoint_incarnation incarnation;
    std::string noticeKey; ///< Names the incarnation in core_tables::notices.
    bool leftUnnumbered = false; ///< Said that it leaves before its incarnation had a number.
    endpoint_health_tracker health;
    other_hosts_load load;
    prefix_cache_view cache;
    std::vector<std::string> reportedModels; ///< Of the last load report; empty if unknown.
    std::vector<request_id> running;
    std::vector<std::uint32_t> pools; ///< Pools whose subset includes it.

    bool isIdle() const { return running.empty(); }
    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(running.size()); }
    bool isConfigured() const { return present && !drained; }
};

struct account_record
{
    std::string name;
    bool present = false;
    std::uint32_t documentIndex = 0;
    inventory::limits configuredLimits;
    request_limits limits;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;

    bool isIdle() const { return queued == 0 && running == 0; }
};

struct class_record
{
    std::string name;
    bool present = false;
    std::uint32_t documentIndex = 0;
    inventory::request_class rules;
    std::uint32_t rank = 0; ///< Of its tier; 0 is the highest.
    request_limits limits;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;

    bool isIdle() const { return queued == 0 && running == 0; }
};

/// Waiting requests of one class in one pool, with the credit of its minimum share.
struct class_queue
{
    fair_queue waiting;
    double shareCredit = 0; ///< In units of request_record::work().
};

/// What a request needs: a model with an adapter, or a service.
struct pool_key
{
    std::string model;
    std::string adapter;
    std::string service;

    /// A call of a service has no model, whatever its request says.
    static pool_key of(const request_spec &spec)
    {
        if (!spec.service.empty())
            return {{}, {}, spec.service};
        return {spec.model, spec.adapter, {}};
    }

    auto tied() const { return std::tie(model, adapter, service); }
    bool operator<(const pool_key &other) const { return tied() < other.tied(); }
};

/// Endpoints that serve the same requests, and the requests that wait for them.
struct pool_record
{
    pool_record(pool_key poolKey, const policy_options &options)
        : key(std::move(poolKey)), retries(options.retryShare, options.retryReserve)
    {
    }

    pool_key key;
    std::vector<std::uint32_t> endpoints; ///< This host's subset, nearest first.
    std::uint32_t localEndpoints = 0; ///< Those in this data centre, or all if it has none.
    double hostsPerLocalEndpoint = 1; ///< Hosts that are expected to use a local endpoint.
    bool served = false; ///< Whether an endpoint of the document serves it.

    std::vector<class_queue> queues; ///< By class index.
    std::uint32_t queued = 0;
    double agedCredit = 1; ///< Dispatches that requests past their maximum wait may take.

    bool changed = true; ///< Since the last pass, in a way that may allow a dispatch.
    core::instant lastPassAt{};
    core::instant evaluatedAt{}; ///< Last run of the outlier detector.

    retry_token_bucket retries;
    std::uint32_t nextRoundRobin = 0;
    headroom topTierHeadroom;
    std::uint32_t topRank = ~0U; ///< Rank of the highest tier whose requests ran in this pool.
    double usableSlots = 0; ///< At the last refresh of the candidates.
    latency_average serviceTime; ///< Of whole attempts.
    double medianFirstToken = 0; ///< Milliseconds, normalised, over endpoints; 0 if unknown.
    double medianBetweenTokens = 0;
};

/// All state that the systems of the decision core work on.
struct core_tables
{
    explicit core_tables(const policy_options &policyOptions)
        : options(policyOptions), notices(policyOptions.notices)
    {
    }

    policy_options options;
    entity_table<endpoint_record> endpoints;
    entity_table<account_record> accounts;
    entity_table<class_record> classes;
    endpoint_notices notices; ///< By endpoint_record::noticeKey.
    std::vector<pool_record> pools;
    std::map<pool_key, std::uint32_t> poolIndex;
    request_table requests;
    output_length_estimator outputLengths;
    std::vector<std::uint32_t> queuedByRank;
    std::uint32_t queued = 0;
    double share = 1; ///< Of the fleet-wide limits, leased by this host.
    std::string hostName;
    std::uint32_t hostsInDataCentre = 1;
    std::uint32_t hosts = 1;

    struct timed_request
    {
        core::instant at;
        request_id request;

        bool operator<(const timed_request &other) const
        {
            return at != other.at ? at < other.at : request < other.request;
        }
    };
    std::set<timed_request> deadlines; ///< Of queued requests.

    void enqueue(request_record &record);

    /// Removes a request from its queue and keeps its record.
    void dequeue(request_record &record);

    void startAttempt(request_record &record, std::uint32_t endpointIndex, core::instant now);
    void endAttempt(request_record &record, core::instant now);

    /// Makes the next tick schedule the pools of the endpoint.
    void markPoolsChanged(const endpoint_record &endpoint);
};

/// Scale that makes first-token times of prompts of different lengths comparable: a prompt of this
/// many tokens may take twice as long as an empty one.
constexpr double promptTokensForTwiceTheTime = 1024;

/// First-token time in milliseconds, normalised by the prompt length.
double normalisedFirstToken(const request_record &record, core::instant now);

} // namespace quetzalcleat::policy
