#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace quetzalcleat::state {

/// A kind of call to the platform that one host at a time makes for the whole fleet.
enum class duty : std::uint8_t { Usage = 0, Autoscale = 1 };

/// Requests that endpoints began to run, by client account.
using account_counts = std::map<std::string, std::uint64_t>;

/// Makes one process of a control host the holder of a duty. The log index of the command becomes
/// the generation number. Proposed by the leader of the log only.
struct duty_acquire
{
    state::duty kind = state::duty::Usage;
    std::string host;
    std::uint64_t incarnation = 0; ///< Of the process.
};

/// Fixes the counts of a usage window, which are never changed afterwards.
struct usage_close
{
    std::uint64_t generation = 0; ///< Of the sender's Usage duty.
    std::uint64_t window = 0;
    /// Closed windows that are kept for delivery, this one included; earlier ones are dropped.
    std::uint64_t undeliveredWindows = 0;
    account_counts counts;
};

/// The platform has accepted the counts of a window.
struct usage_delivered
{
    std::uint64_t window = 0;
};

/// Identifies a number of endpoints that the platform is asked for.
struct capacity_subject
{
    std::string service;
    std::string dataCentre;
    bool isSpot = false;

    bool operator==(const capacity_subject &) const = default;
    bool operator<(const capacity_subject &other) const
    {
        return std::tie(service, dataCentre, isSpot)
            < std::tie(other.service, other.dataCentre, other.isSpot);
    }
};

/// The platform has accepted a number of endpoints.
struct capacity_order
{
    std::uint64_t generation = 0; ///< Of the sender's Autoscale duty.
    capacity_subject subject;
    std::uint64_t desired = 0;
};

/// The newest acquisition of a duty.
struct duty_record
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t generation = 0;

    bool operator==(const duty_record &) const = default;
};

struct usage_window_record
{
    std::uint64_t generation = 0; ///< Under which it was closed.
    bool isDelivered = false;
    account_counts counts;

    bool operator==(const usage_window_record &) const = default;
};

struct capacity_record
{
    std::uint64_t generation = 0;
    std::uint64_t desired = 0;

    bool operator==(const capacity_record &) const = default;
};

/// The counts that were agreed for a window, by this usage_close or an earlier one.
struct usage_verdict
{
    std::uint64_t window = 0;
    account_counts counts;

    bool operator==(const usage_verdict &) const = default;
};

} // namespace quetzalcleat::state
