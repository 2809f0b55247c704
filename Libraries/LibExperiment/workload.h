#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzalcleat::experiment {

/// A lognormal distribution of lengths in tokens, clamped to 1 .. maximum.
struct length_distribution
{
    double median = 100;
    double sigma = 0.5; ///< Standard deviation of the logarithm.
    std::uint32_t maximum = 8192;
};

/// The share of a client account in the requests of a class.
struct account_share
{
    std::string account;
    double weight = 1;
};

/// Requests of one class. They arrive as a Poisson process.
struct class_load
{
    std::string className;
    double requestsPerSecond = 1;
    std::string model; ///< Empty for calls to a service.
    std::string service; ///< Empty for requests to an engine.
    length_distribution prompt;
    length_distribution output;
    std::uint32_t sharedPrefixes = 0; ///< Number of different prefixes; 0 for none.
    std::uint32_t sharedPrefixTokens = 0;
    double nonRepeatable = 0; ///< Fraction of the calls that must not run twice.
    std::chrono::milliseconds serviceTime{80}; ///< Mean run time of a call to a service.
    std::vector<account_share> accounts;
};

struct workload
{
    std::string name;
    std::chrono::seconds duration{120};
    std::vector<class_load> classes;
};

} // namespace quetzalcleat::experiment
