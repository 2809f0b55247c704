#pragma once

#include "LibCore/time.h"
#include "LibPolicy/capacity_distribution.h"
#include "LibPolicy/capacity_need.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace quetzalcleat::policy {

/// The endpoints of a service in one data centre.
struct data_centre_state
{
    std::string name;
    std::string region;
    double price = 1; ///< Of an ordinary endpoint.
    bool isHeard = true; ///< Its hosts report.
    by_kind<std::uint32_t> serving; ///< Without those that leave.
    by_kind<std::uint32_t> leaving;
    work_rate demand; ///< Of its callers.
    work_rate recentDemand; ///< Over a shorter time, for sudden changes.
    std::uint32_t running = 0; ///< Requests at its endpoints.
};

struct capacity_input
{
    std::vector<data_centre_state> dataCentres;
    std::optional<engine_rates> engine; ///< Absent for plain services.
    std::uint32_t slots = 0; ///< Of an endpoint.
    bool isListFresh = true; ///< Of the list of endpoints that the numbers come from.
    std::uint32_t minimum = 0; ///< For each data centre, over both kinds.
    std::uint32_t maximum = 0;
    std::chrono::milliseconds startupTime{0}; ///< From an order until a new endpoint serves.
    double spotPrice = 1; ///< As a share of the price of an ordinary endpoint.
};

/// Why a number is what it is.
enum class capacity_reason {
    Unchanged,
    Demand, ///< Follows the demand, in either direction.
    KindChange, ///< Another kind of endpoint takes the place of these.
    Substitute, ///< For endpoints that are refused elsewhere.
    Missing, ///< Fewer are present than were ordered; the order is repeated.
    AwaitsReplacement, ///< More than wanted, until others serve.
    Refused, ///< The platform has none available here.
    Failed, ///< The last call failed; the order is repeated after a pause.
    NotHeard, ///< The data centre's hosts do not report.
    ListTooOld,
};

std::string_view toString(capacity_reason reason);
std::string_view toString(capacity_kind kind);

/// Why the platform did not accept an order.
enum class order_refusal {
    NoneAvailable, ///< It has none of this kind there now.
    Failed, ///< Too many calls, a fault of the platform, or no answer: the outcome may be unknown.
};

struct capacity_decision
{
    std::string dataCentre;
    capacity_kind kind = capacity_kind::Ordinary;
    std::uint32_t wanted = 0; ///< The number that the demand needs here.
    std::uint32_t desired = 0; ///< The number to be in force now.
    std::uint32_t serving = 0;
    std::optional<std::uint32_t> ordered; ///< The last number that the platform has accepted.
    capacity_reason reason = capacity_reason::Unchanged;
    bool isDue = false; ///< `desired` has to be sent to the platform.
};

/// Plans the numbers of endpoints of one service, by data centre and kind. Does no I/O; time is
/// passed in.
///
/// More endpoints are ordered at once. Fewer are ordered only while as many as needed serve
/// without them, and only a share at a time.
class capacity_planner
{
public:
    /// After a refusal, nothing is ordered there for this long.
    static constexpr std::chrono::milliseconds refusalTime{4000};
    /// Of the pause after a failed call, which doubles with each further failure.
    static constexpr std::chrono::milliseconds shortestPause{200};
    static constexpr std::chrono::milliseconds longestPause{4000};
    /// Between two reductions. Longer than the list takes to show the effect of the first one.
    static constexpr std::chrono::milliseconds reductionInterval{5000};
    static constexpr std::uint32_t reductionDivisor = 5; ///< One fifth at a time.
    /// On top of the start-up time, until an endpoint that was ordered is in the list: the list
    /// lags by about a second and is read twice a second.
    static constexpr std::chrono::milliseconds arrivalMargin{3000};

    /// A number that an earlier holder of the duty has ordered.
    void restore(const std::string &dataCentre, capacity_kind kind, std::uint32_t ordered);

    /// Decides on every kind in every data centre of the input.
    std::vector<capacity_decision> plan(const capacity_input &input, core::instant now);

    void recordAcknowledged(const std::string &dataCentre, capacity_kind kind,
                            std::uint32_t ordered, core::instant now);
    void recordRefused(const std::string &dataCentre, capacity_kind kind, order_refusal refusal,
                       core::instant now);

private:
    using subject_key = std::pair<std::string, capacity_kind>;

    struct subject
    {
        std::optional<std::uint32_t> desired; ///< Without a value, what is present.
        std::optional<std::uint32_t> ordered;
        bool isRestored = false; ///< Not changed since an earlier holder ordered it.
        bool isUncertain = false; ///< A call may or may not have arrived.
        std::optional<core::instant> orderedAt;
        std::uint32_t repetitions = 0; ///< Of an order whose endpoints have not come.
        std::optional<core::instant> refusedUntil;
        std::uint32_t failures = 0;
        core::instant pausedUntil;
        std::uint32_t wanted = 0;
        capacity_reason reason = capacity_reason::Unchanged;

        std::uint32_t current(std::uint32_t serving) const { return desired.value_or(serving); }
        bool isRefused(core::instant now) const { return refusedUntil && now < *refusedUntil; }
    };

    struct reduction
    {
        subject *target = nullptr;
        capacity_kind kind = capacity_kind::Ordinary;
        std::uint32_t serving = 0;
        double price = 0; ///< Of the data centre.
    };

    subject &subjectOf(const data_centre_state &state, capacity_kind kind)
    {
        return m_subjects[{state.name, kind}];
    }
    need_input needInput(const capacity_input &input);
    distribution distribute(const capacity_input &input,
                            const std::map<std::string, std::uint32_t> &needed, core::instant now);
    void trackArrivals(const capacity_input &input, core::instant now);
    void increase(const capacity_input &input, const distribution &wanted, core::instant now);
    void reduce(const capacity_input &input, std::uint32_t needed, core::instant now);
    bool isDue(const subject &target, std::uint32_t serving, const capacity_input &input,
               core::instant now) const;
    bool isOverdue(const subject &target, const capacity_input &input, core::instant now) const;

    capacity_need m_need;
    std::map<subject_key, subject> m_subjects;
    std::optional<core::instant> m_reducedAt;
};

} // namespace quetzalcleat::policy
