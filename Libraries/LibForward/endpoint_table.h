#pragma once

#include "LibCore/settings.h"
#include "LibCore/time.h"
#include "LibForward/part_history.h"
#include "LibPolicy/endpoint_notices.h"
#include "LibPolicy/load_estimate.h"
#include "LibPolicy/part_id.h"
#include "LibPolicy/pause_prediction.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::forward {

/// One part of a prompt. A cached part can be used only if all parts before it are cached too.
struct prompt_part
{
    policy::part_id id = 0;
    std::uint32_t tokens = 0;
};

/// Known or estimated size of a request to an engine.
struct generation_size
{
    std::vector<prompt_part> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Upper bound.
    std::uint32_t expectedOutputTokens = 0;
};

/// An entry of the platform's list of endpoints.
struct listed_endpoint
{
    std::string incarnation; ///< Identifies one start of the endpoint.
    std::string service;
    core::socket_address address;
    std::string dataCentre;
    std::uint32_t slots = 0; ///< Requests that can run concurrently.
    bool isLeaving = false; ///< As the list says; endpoint_notices decides.
    bool isSpot = false; ///< Cheaper, and may be reclaimed at short notice.
    std::optional<std::chrono::milliseconds> leavesIn{}; ///< Announced time until it is gone.
};

/// One incarnation of an endpoint with the state that this host keeps for it.
struct endpoint
{
    listed_endpoint listed;
    bool isUnlisted = false; ///< Not in the newest list.
    std::optional<core::instant> listedAsStaying; ///< When a list last said that it is not leaving.

    std::uint32_t running = 0; ///< Attempts by this host in progress.
    std::uint64_t waitingTokens = 0; ///< Sent by this host, prefill not finished.
    std::uint32_t runningByOtherHosts = 0; ///< Attempts by other hosts, as last reported.
    std::uint64_t waitingTokensOfOtherHosts = 0;
    policy::load_estimate loadOfOtherHosts; ///< Allows for the age of these sums.
    policy::learnt_speed learntSpeed;
    core::instant addedAt; ///< When it came into the list.

    double failureShare = 0; ///< Moving average, 0 to 1.
    std::uint32_t outcomes = 0; ///< Outcomes in the average, up to a small bound.
    std::uint32_t ejections = 0; ///< Consecutive ejections.
    core::instant ejectedUntil; ///< Not used before this time unless all others are worse.
    core::instant lastReceived; ///< Last byte of any response.
    std::optional<core::instant> lostAt; ///< No connection, or another incarnation answered.
    bool isProbing = false; ///< A single request tests it after an ejection.
    bool isBeingChecked = false; ///< A connection is being opened to see whether it still runs.

    /// When each prompt part was last sent here.
    part_history partSentTimes;

    /// Not 0 if it has started again under its identity; distinguishes these starts.
    std::uint64_t restart = 0;

    /// Connections with the same key are interchangeable.
    std::string connectionKey() const
    {
        const auto key = listed.address.text() + ' ' + listed.incarnation;
        return restart == 0 ? key : key + ' ' + std::to_string(restart);
    }
};

/// Work of all other hosts at an endpoint.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint64_t waitingTokens = 0;
};

/// How an attempt at an endpoint ended.
enum class endpoint_outcome {
    Served,
    Refused, ///< The endpoint states that it did not run the request.
    Replaced, ///< Not run: another incarnation has this address.
    Failed, ///< The endpoint or the network path to it failed.
    Unreachable, ///< No connection could be opened.
    Abandoned, ///< Caller disconnected or deadline passed; not the endpoint's fault.
};

/// Endpoints by incarnation, and the rules for ejecting those that fail although they are listed as
/// ready. Reads no clock: the time is passed in.
class endpoint_table
{
public:
    using endpoint_pointer = std::shared_ptr<endpoint>;

    explicit endpoint_table(policy::notice_limits limits = {}) : m_notices(limits) { }

    /// Age of a list when it arrives by way of a control host, at most.
    static constexpr std::chrono::milliseconds maximumListDelay{2500};

    /// Replaces the list. An incarnation that was once leaving stays so, except by confirmList().
    void update(const std::vector<listed_endpoint> &list, core::instant now);

    /// The list that was set last is not older than maximumListDelay. Endpoints that were leaving
    /// and have started again under their identity begin without state; returns these.
    std::vector<policy::endpoint_notices::ended_leave> confirmList(core::instant now);

    /// All endpoints of a service, including those that are leaving or no longer listed.
    const std::vector<endpoint_pointer> &ofService(std::string_view service) const;

    void recordOutcome(endpoint &target, endpoint_outcome outcome, core::instant now);

    /// Replaces the sums of other hosts; an incarnation that is not named has no work of them.
    void applyLoads(const std::map<std::string, reported_load> &loads, core::instant now);
    /// No sums arrive any more; outdated ones mislead the placement more than none.
    void forgetLoads();
    /// Age of the sums; empty if there are none.
    std::optional<std::chrono::milliseconds> loadAge(core::instant now) const;

    /// Of the streams of an engine service.
    const policy::pause_prediction &pauses(std::string_view service) const;
    policy::pause_prediction &pauses(const std::string &service) { return m_pauses[service]; }

    /// Ejects endpoints that other hosts have recently lost; `reporters` counts these hosts by
    /// incarnation. Ignored for endpoints that recently responded here, and for services of which a
    /// large share is reported lost, as the reporting hosts may be cut off themselves.
    void applyLossReports(const std::map<std::string, std::uint32_t> &reporters, core::instant now);

    /// Whether this host should report to others that it lost the endpoint.
    static bool shouldReportLoss(const endpoint &target, core::instant now);

    /// What the endpoints say of themselves, by incarnation.
    policy::endpoint_notices &notices() { return m_notices; }
    const policy::endpoint_notices &notices() const { return m_notices; }

    std::size_t size() const { return m_endpoints.size(); }
    const std::map<std::string, endpoint_pointer> &all() const { return m_endpoints; }

private:
    bool isStaying(const std::string &incarnation) const;
    void replaceByNewStart(endpoint_pointer &known, core::instant now);

    policy::endpoint_notices m_notices;
    std::map<std::string, endpoint_pointer> m_endpoints; ///< By incarnation.
    std::map<std::string, std::vector<endpoint_pointer>, std::less<>> m_services;
    std::uint64_t m_restarts = 0;
    std::map<std::string, policy::pause_prediction, std::less<>> m_pauses;
    std::optional<core::instant> m_loadsArrivedAt;
    std::optional<core::instant> m_loadsMadeAt;
};

} // namespace quetzalcleat::forward
