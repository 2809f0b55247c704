#pragma once

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibState/command.h"
#include "LibState/command_result.h"
#include "LibState/duty_tables.h"
#include "LibState/state_error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace quetzalcleat::state {

/// Limits of the tables. The same in every process of a version, because replicas must agree.
struct table_limits
{
    static constexpr std::size_t edits = 20'000; ///< 1,200 edits a day for 16 days.
    static constexpr std::size_t history = 10'000;
    static constexpr std::size_t claims = 2'000'000;
    static constexpr std::size_t abandonedAttempts = 1'000'000;
    static constexpr std::size_t hosts = 8'192;
    static constexpr std::size_t openOrders = 10'000;
    static constexpr std::size_t orders = 50'000;
    static constexpr std::size_t members = 64;
    /// Total size of the kept answer bodies. The oldest are dropped first and become `truncated`.
    static constexpr std::uint64_t answerBytes = std::uint64_t{256} * 1024 * 1024;

    static constexpr std::chrono::hours editRetention{48};
    /// A key must not be reused, nor its call resent, after this time.
    static constexpr std::chrono::hours claimRetention{24 * 7};
    /// A claim that runs longer becomes unknown: its owner may have failed without a successor.
    static constexpr std::chrono::minutes runningLimit{30};
    static constexpr std::chrono::hours attemptRetention{48};
    static constexpr std::chrono::hours hostRetention{24 * 30};
    static constexpr std::chrono::hours orderRetention{48};
    static constexpr std::chrono::minutes maximumLease{5};
    /// Longest time that an order may take to reach an endpoint.
    static constexpr std::chrono::seconds orderDeliveryDelay{30};
};

enum class claim_state : std::uint8_t {
    Running = 0,
    Finished = 1,
    OutcomeUnknown = 2,
    ClosedNotRun = 3,
};

struct claim_record
{
    claim_state state = claim_state::Running;
    claim_attempt attempt; ///< Key only for ClosedNotRun.
    std::string bodyHash;
    stored_response answer;
    core::wall_time changedAt;
    core::wall_time answerUntil; ///< Finished: when the body is dropped.
};

struct edit_record
{
    std::string documentHash; ///< SHA-256 over document and base revision.
    edit_verdict verdict;
    core::wall_time decidedAt;
};

struct history_record
{
    std::uint64_t revision = 0;
    std::string editId;
    std::string author;
    std::string documentHash;
    core::wall_time acceptedAt;

    bool operator==(const history_record &) const = default;
};

struct control_lease_record
{
    std::string holder; ///< Empty if nobody holds it.
    std::uint64_t incarnation = 0;
    std::uint64_t fencing = 0;
    core::wall_time expiresAt;

    bool operator==(const control_lease_record &) const = default;
};

struct order_record
{
    order_begin order;
    order_state state = order_state::Started;
    core::wall_time changedAt;
};

struct host_record
{
    std::uint64_t incarnation = 0;
    core::wall_time changedAt;
};

/// The replicated state machine. Deterministic: its content depends only on the commands and their
/// log indexes.
class replicated_state
{
public:
    /// Indexes must grow; an index that was applied before gives OutOfOrder.
    command_result apply(std::uint64_t logIndex, const command &value);

    /// Decodes and applies. If the error is UnsupportedVersion, the process must stop applying,
    /// because replicas of the newer version did not skip the command.
    command_result applyEncoded(std::uint64_t logIndex, std::span<const std::byte> bytes);

    /// Encodes every table; the bytes are the same on every replica.
    std::vector<std::byte> snapshot() const;
    /// Error: MalformedSnapshot, UnsupportedVersion.
    static core::result<replicated_state> restore(std::span<const std::byte> bytes);

    std::uint64_t appliedIndex() const { return m_appliedIndex; }
    /// Highest command time so far.
    core::wall_time time() const { return m_time; }
    const configuration &currentConfiguration() const { return m_configuration; }
    const std::deque<history_record> &history() const { return m_history; }
    const claim_ledger_limits &limits() const { return m_limits; }
    const claim_record *findClaim(const claim_key &key) const;
    const edit_record *findEdit(const std::string &editId) const;
    const control_lease_record &lease() const { return m_lease; }
    const std::map<std::string, order_record> &orders() const { return m_orders; }
    const std::map<std::uint64_t, member_contact> &members() const { return m_members; }
    const duty_tables &duties() const { return m_duties; }
    std::size_t claimCount() const { return m_claims.size(); }

private:
    enum class expiry_kind : std::uint8_t { Edit, Claim, Attempt, Host, Order };

    struct expiry
    {
        core::wall_time at;
        expiry_kind kind = expiry_kind::Edit;
        claim_key key; ///< `account` stays empty for tables with a single key.

        bool operator<(const expiry &other) const
        {
            return std::tie(at, kind, key) < std::tie(other.at, other.kind, other.key);
        }
    };

    struct retained_response
    {
        core::wall_time until;
        claim_key key;

        bool operator<(const retained_response &other) const
        {
            return std::tie(until, key) < std::tie(other.until, other.key);
        }
    };

    command_result handle(const apply_edit &body);
    command_result handle(const claim_begin &body);
    command_result handle(const claim_finish &body);
    command_result handle(const claim_abandon &body);
    command_result handle(const claim_close &body);
    command_result handle(const host_register &body);
    command_result handle(const control_lease_acquire &body);
    command_result handle(const order_begin &body);
    command_result handle(const order_finish &body);
    command_result handle(const member_contact &body);
    command_result handle(const duty_acquire &body) { return m_duties.apply(body, m_appliedIndex); }
    command_result handle(const usage_close &body) { return m_duties.apply(body); }
    command_result handle(const usage_delivered &body) { return m_duties.apply(body); }
    command_result handle(const capacity_order &body) { return m_duties.apply(body); }

    void expire();
    void expireOne(const expiry &due);
    void expireClaim(const claim_key &key);
    core::result<void> recordIncarnation(const std::string &host, std::uint64_t incarnation);
    void changeClaim(const claim_key &key, claim_record &claim, claim_state state);
    void eraseClaim(const claim_key &key);
    void keepAnswer(const claim_key &key, claim_record &claim);
    void dropAnswer(const retained_response &kept);
    command_result claimResult(const claim_record &claim) const;
    control_lease_verdict leaseVerdict(bool granted) const;
    bool leaseAllows(std::uint64_t fencing) const;

    // Derived data
    static core::wall_time claimExpiry(const claim_record &claim);
    void indexClaim(const claim_key &key, const claim_record &claim);
    void unindexClaim(const claim_key &key, const claim_record &claim);
    void rebuildIndexes();

    std::uint64_t m_appliedIndex = 0;
    core::wall_time m_time;
    configuration m_configuration;
    claim_ledger_limits m_limits;
    std::deque<history_record> m_history;
    std::map<std::string, edit_record> m_edits;
    std::map<claim_key, claim_record> m_claims;
    std::map<std::string, core::wall_time> m_abandoned; ///< Time of abandonment by attempt id.
    std::map<std::string, host_record> m_hosts;
    control_lease_record m_lease;
    std::map<std::string, order_record> m_orders;
    std::map<std::uint64_t, member_contact> m_members;
    duty_tables m_duties;

    // Derived from the tables above; not part of a snapshot.
    std::set<expiry> m_expiries;
    std::set<retained_response> m_answers;
    std::uint64_t m_answerBytes = 0;
    /// Running claims by host, so that a new incarnation need not search the whole table.
    std::map<std::string, std::set<claim_key>> m_runningByHost;
    std::size_t m_openOrders = 0;
};

} // namespace quetzalcleat::state
