#pragma once

#include "LibCore/settings.h"
#include "LibCore/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::forward {

/// One shared part of a prompt. A part is only of use in a cache if all parts before it are there.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What is known about the size of a request for an engine.
struct generation_size
{
    std::vector<prompt_part> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Upper bound.
    std::uint32_t expectedOutputTokens = 0;
};

/// An entry of the platform's list.
struct listed_endpoint
{
    std::string incarnation; ///< Name of one start of the endpoint.
    std::string service;
    core::socket_address address;
    std::string dataCentre;
    std::uint32_t slots = 0; ///< Requests that run at once.
    bool isLeaving = false;
};

/// One incarnation of an endpoint with what this host knows of it.
struct endpoint
{
    listed_endpoint listed;
    bool isUnlisted = false; ///< Not in the newest list.

    std::uint32_t running = 0; ///< Attempts of this host in progress.
    std::uint64_t waitingTokens = 0; ///< Prompt tokens of this host that are not read yet.
    std::uint32_t runningElsewhere = 0; ///< Attempts of other hosts, as last reported.
    std::uint64_t waitingTokensElsewhere = 0;

    double failureShare = 0; ///< Moving average, 0 to 1.
    std::uint32_t outcomes = 0; ///< Outcomes counted into the average, up to a small bound.
    std::uint32_t ejections = 0; ///< In a row.
    core::instant ejectedUntil; ///< Gets nothing before this time, unless all others are worse.
    core::instant lastReceived; ///< Last byte of any response.
    std::optional<core::instant> lostAt; ///< No connection, or another incarnation answered.
    bool isProbing = false; ///< One request tries it after an ejection.

    /// When a part was last sent here.
    std::unordered_map<std::uint64_t, core::instant> partSentTimes;

    /// Connections with the same key may be used for each other.
    std::string connectionKey() const { return listed.address.text() + ' ' + listed.incarnation; }
};

/// How an attempt at an endpoint ended.
enum class attempt_outcome {
    Served,
    Refused, ///< Not run, says the endpoint.
    Replaced, ///< Not run: another incarnation has this address.
    Failed, ///< A failure of the endpoint or of the way to it.
    Unreachable, ///< No connection.
    Abandoned, ///< The caller left or the time ran out; says nothing about the endpoint.
};

/// Endpoints by incarnation, and the rules for ejecting those that fail while they are listed as
/// ready. Pure: time is passed in.
class endpoint_table
{
public:
    using endpoint_pointer = std::shared_ptr<endpoint>;

    /// Takes a new list over. An incarnation once seen as leaving stays so.
    void update(const std::vector<listed_endpoint> &list);

    /// All endpoints of a service, those that leave or are gone included.
    const std::vector<endpoint_pointer> &ofService(std::string_view service) const;

    void recordOutcome(endpoint &target, attempt_outcome outcome, core::instant now);

    /// Takes over how many other hosts lost an incarnation lately. A hint: what this host hears
    /// itself counts more, and where others lost much of a service, their own way may be cut.
    void applyLossReports(const std::map<std::string, std::uint32_t> &reporters, core::instant now);

    /// Whether this host should tell others that it lost the endpoint.
    static bool shouldReportLoss(const endpoint &target, core::instant now);

    std::size_t size() const { return m_endpoints.size(); }
    const std::map<std::string, endpoint_pointer> &all() const { return m_endpoints; }

private:
    std::map<std::string, endpoint_pointer> m_endpoints; ///< By incarnation.
    std::map<std::string, std::vector<endpoint_pointer>, std::less<>> m_services;
};

} // namespace quetzalcleat::forward
