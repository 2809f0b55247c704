#include "LibForward/caller_protection.h"

#include "LibForward/caller_session.h"
#include "LibForward/upstream.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::forward {

namespace {

/// A connection is closed for another one only if it has been idle or slow for so long.
constexpr std::chrono::milliseconds minimumIdleTime{500};

} // namespace

caller_protection::caller_protection(std::shared_ptr<policy::memory_budget> budget,
                                     caller_protection_limits limits, const session_set &sessions,
                                     core::counter_registry &counters, event_log &log)
    : m_budget(std::move(budget)), m_limits(limits), m_sessions(sessions), m_counters(counters),
      m_log("caller", counters, log)
{
    if (!m_budget)
        m_budget = std::make_shared<policy::memory_budget>(policy::memory_budget::boundFor(0));
}

std::size_t caller_protection::pipelinedBytes() const
{
    return isTight() ? m_limits.tightPipelinedBytes : m_limits.pipelinedBytes;
}

std::size_t caller_protection::unreadAnswerBytes() const
{
    return isTight() ? m_limits.tightUnreadAnswerBytes : m_limits.unreadAnswerBytes;
}

bool caller_protection::admitsConnection(const asio::ip::address &address,
                                         std::size_t maximumSessions)
{
    auto &ofAddress = m_addresses[address];
    if (m_limits.sessionsPerAddress > 0 && ofAddress >= m_limits.sessionsPerAddress) {
        record("connections_of_address");
        return false;
    }
    const auto byMemory = static_cast<std::size_t>(m_budget->bound()) / m_limits.sessionBytes;
    if (m_sessions.size() >= std::min(maximumSessions, byMemory)) {
        const auto replaced = sessionToReplace();
        if (!replaced) {
            if (ofAddress == 0)
                m_addresses.erase(address);
            record("connections");
            return false;
        }
        record("connection_replaced");
        // Its address may be the same, and its entry is erased with its last connection.
        ++ofAddress;
        replaced->close();
        return true;
    }
    ++ofAddress;
    return true;
}

void caller_protection::connectionClosed(const asio::ip::address &address)
{
    const auto found = m_addresses.find(address);
    if (found != m_addresses.end() && --found->second == 0)
        m_addresses.erase(found);
}

/// The connection that has been idle for longest, or else the one whose request has not progressed
/// for longest.
std::shared_ptr<caller_session> caller_protection::sessionToReplace() const
{
    const auto latest = std::chrono::steady_clock::now() - minimumIdleTime;
    std::shared_ptr<caller_session> idle;
    std::shared_ptr<caller_session> slow;
    for (const auto &session : m_sessions) {
        auto &oldest = session->isIdle() ? idle : slow;
        if ((session->isIdle() || session->isReading()) && session->progressed() <= latest
            && (!oldest || session->progressed() < oldest->progressed())
            && !session->hasBytesToRead())
            oldest = session;
    }
    return idle ? idle : slow;
}

std::vector<policy::caller_load> caller_protection::loads() const
{
    std::vector<policy::caller_load> result;
    result.reserve(m_sessions.size());
    for (const auto &session : m_sessions)
        result.push_back(session->load());
    return result;
}

policy::overload_verdict caller_protection::requestGrowth(const caller_session &session,
                                                          std::uint64_t needed)
{
    if (m_budget->fits(needed))
        return policy::overload_verdict::Proceed;
    const auto decision = m_overload.decideGrowth(*m_budget, loads(), session.id(), needed,
                                                  std::chrono::steady_clock::now());
    closeSessions(decision.victims);
    // A victim may free less than it was charged for, if an attempt still holds its body.
    if (decision.verdict == policy::overload_verdict::Proceed && !m_budget->fits(needed))
        return policy::overload_verdict::Wait;
    return decision.verdict;
}

void caller_protection::closeSessions(const std::vector<std::uint64_t> &victims)
{
    if (victims.empty())
        return;
    std::map<std::uint64_t, std::shared_ptr<caller_session>> byId;
    for (const auto &session : m_sessions)
        byId.emplace(session->id(), session);
    for (const auto id : victims) {
        const auto found = byId.find(id);
        if (found == byId.end())
            continue;
        record("memory");
        found->second->endForOverload();
    }
}

void caller_protection::closeExcess()
{
    if (m_budget->excess() > 0)
        closeSessions(m_overload.victims(*m_budget, loads(), std::chrono::steady_clock::now()));
}

void caller_protection::pauseIfTight(const std::shared_ptr<attempt> &answered, std::size_t bytes)
{
    // Answers up to this size are always read, as waiting would keep their requests longer.
    constexpr std::size_t smallAnswer = std::size_t{16} * 1024;
    if (bytes <= smallAnswer || !isTight() || answered->isPaused())
        return;
    record("endpoint_paused");
    answered->pause();
    m_paused.push_back(answered);
}

void caller_protection::update()
{
    while (!m_paused.empty()) {
        const auto paused = m_paused.front().lock();
        m_paused.pop_front();
        if (paused && paused->isPaused()) {
            paused->resume();
            if (isTight())
                break;
        }
    }
    for (std::size_t kind = 0; kind < policy::memoryKinds; ++kind) {
        const auto value = static_cast<policy::memory_kind>(kind);
        m_counters.gauge("caller_memory_bytes",
                         "kind=\"" + std::string(policy::toString(value)) + '"')
            = static_cast<double>(m_budget->used(value));
    }
    m_counters.gauge("caller_memory_peak_bytes") = static_cast<double>(m_budget->peak());
    m_counters.gauge("caller_memory_bound_bytes") = static_cast<double>(m_budget->bound());
}

} // namespace quetzalcleat::forward
