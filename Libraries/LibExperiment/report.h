#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzalcleat::experiment {

/// What happened to the requests of one class in one run.
struct class_report
{
    std::string name;
    std::uint32_t tierRank = 0;
    bool usesEngines = false;
    std::uint64_t offered = 0;
    std::uint64_t completed = 0; ///< Answers that reached the caller completely.
    std::uint64_t attained = 0; ///< Completed and within every target of the class.
    std::uint64_t refused = 0; ///< Refused on arrival.
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t broken = 0; ///< Failed after the request was sent.
    std::uint64_t abandoned = 0; ///< The caller gave up.
    std::uint64_t attainedTokens = 0;
    std::chrono::milliseconds longestWait{0}; ///< From arrival to dispatch or refusal.
    std::vector<double> firstTokenMilliseconds;
    std::vector<double> betweenTokensMilliseconds; ///< Gaps between tokens, sampled.

    double attainment() const { return offered == 0 ? 1 : double(attained) / double(offered); }
};

/// Result of one run.
struct run_report
{
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    std::chrono::duration<double> duration{0};
    std::vector<class_report> classes;
    /// Only the callers of a fleet were observed. The figures below that concern its hosts and
    /// engines are not known, and reports say so.
    bool seenByCallersOnly = false;
    std::uint64_t generatedTokens = 0;
    std::uint64_t deliveredTokens = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t repeatedPrefillTokens = 0;
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t retries = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t tierViolations = 0; ///< Requests shed or preempted in favour of a lower tier.
    std::uint64_t crossEngineResumptions = 0; ///< On an engine that did not begin the answer.

    double goodput() const; ///< Attained answers per second.
    double attainedTokensPerSecond() const;
    /// Tokens generated but not delivered plus repeated prefill tokens, as a fraction of all tokens
    /// generated and prefilled.
    double wastedFraction() const;
    /// Lowest attainment among the classes of the highest tier and of the highest tier that uses
    /// engines. Their demand fits the capacity in every scenario.
    double protectedAttainment() const;
    std::chrono::milliseconds longestWait() const;
};

/// The quantile of a sample for a probability from 0 to 1; 0 for an empty sample.
double quantile(std::vector<double> values, double probability);

/// Formats a table with one group of lines per scenario and policy: the median and range of each
/// figure over the seeds.
std::string formatTable(const std::vector<run_report> &runs);
std::string formatJson(const std::vector<run_report> &runs);

} // namespace quetzalcleat::experiment
