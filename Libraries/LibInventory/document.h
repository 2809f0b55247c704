#pragma once

#include "LibCore/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::inventory {

struct region
{
    std::string name;
};

struct data_centre
{
    std::string name;
    std::uint32_t region = 0; ///< Index into document::regions.
};

struct host
{
    std::string name;
    std::uint32_t dataCentre = 0; ///< Index into document::dataCentres.
    core::socket_address callerAddress;
    core::socket_address operatorAddress;
    core::socket_address peerAddress;
    bool control = false;
};

enum class endpoint_kind { Engine, Service };

/// Matches calls of a plain service that must not run twice.
struct non_repeatable_rule
{
    std::string method; ///< For example "POST"; "*" stands for every method.
    std::string pathPrefix; ///< Path after /services/NAME, for example "/bookings".
};

struct endpoint
{
    std::string name;
    endpoint_kind kind = endpoint_kind::Engine;
    std::uint32_t dataCentre = 0; ///< Index into document::dataCentres.
    core::socket_address address;
    std::string service; ///< Name under /services/; empty for an engine.
    std::vector<std::string> models; ///< Empty for a service.
    std::vector<std::string> adapters;
    std::uint32_t capacity = 1; ///< Sequences or calls that run at the same time.
    std::uint32_t kvBlocks = 0; ///< Blocks of the prefix cache.
    std::uint32_t accelerators = 1;
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing number.
    bool canResume = false;
    std::vector<non_repeatable_rule> nonRepeatable;
};

/// Limits of a client account or a class. An absent value means no limit.
struct limits
{
    std::optional<double> requestsPerSecond;
    double requestBurst = 1;
    std::optional<std::uint32_t> concurrency;
    std::optional<double> tokensPerSecond;
    double tokenBurst = 0;
};

struct client_account
{
    std::string name;
    std::vector<std::string> tokenHashes; ///< SHA-256, lower-case hexadecimal.
    std::uint32_t defaultClass = 0; ///< Index into document::classes.
    limits configuredLimits;
};

struct tier
{
    std::string name;
    std::uint32_t rank = 0; ///< 0 is the highest.
};

/// Which requests belong to a class when no header names one. Empty fields match everything.
struct class_match
{
    std::string account;
    std::string model;
    std::string service;
    std::string pathPrefix;

    bool empty() const
    {
        return account.empty() && model.empty() && service.empty() && pathPrefix.empty();
    }
};

struct request_class
{
    std::string name;
    std::uint32_t tier = 0; ///< Index into document::tiers.
    class_match match;
    std::optional<std::chrono::milliseconds> timeToFirstToken; ///< Target.
    std::optional<std::chrono::milliseconds> timeBetweenTokens; ///< Target.
    std::chrono::milliseconds deadline{60000}; ///< For the whole answer, from arrival.
    double minimumShare = 0; ///< Fraction (0 to 1) of the capacity kept for it.
    std::chrono::milliseconds maximumWait{30000}; ///< A longer wait may overtake higher tiers.
    std::uint32_t queueLength = 256; ///< Waiting requests per entry host.
    bool preemptible = false;
    limits configuredLimits;
};

/// Desired placement of a model on an engine.
struct placement
{
    std::string model;
    std::string version;
    std::uint32_t endpoint = 0; ///< Index into document::endpoints.
    std::string role; ///< "mixed", "prefill" or "decode".
};

enum class drain_target_kind { Endpoint, Host };

struct drain
{
    drain_target_kind kind = drain_target_kind::Endpoint;
    std::string target;
};

/// Limits of the stored answers of non-repeatable calls.
struct claim_ledger_limits
{
    std::uint32_t answerBytes = 65536; ///< Largest stored answer.
    std::chrono::seconds answerRetention{86400};
};

/// Limits of the load on the weight store.
struct weight_store_limits
{
    std::uint32_t concurrentLoads = 2; ///< Model loads at the same time.
};

/// The inventory (what exists) and the rules (tiers, classes, limits) of one deployment.
///
/// References between entities are indices into the tables; parse() checks them.
struct document
{
    std::string deployment;
    std::vector<region> regions;
    std::vector<data_centre> dataCentres;
    std::vector<host> hosts;
    std::vector<endpoint> endpoints;
    std::vector<client_account> accounts;
    std::vector<tier> tiers;
    std::vector<request_class> classes;
    std::vector<placement> placements;
    std::vector<drain> drains;
    claim_ledger_limits ledger;
    weight_store_limits weightStore;
};

} // namespace quetzalcleat::inventory
