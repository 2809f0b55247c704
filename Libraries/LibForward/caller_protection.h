#pragma once

#include "LibCore/counter_registry.h"
#include "LibForward/limit_log.h"
#include "LibPolicy/caller_overload.h"
#include "LibPolicy/memory_budget.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <asio/ip/tcp.hpp>

namespace quetzalcleat::forward {

class attempt;
class caller_session;

/// Limits on callers that are the same on all hosts. Those in `caller_limits` are set by operators.
/// docs/operators/callers.md lists them.
struct caller_protection_limits
{
    /// Fields of a head. Common clients send fewer than 50, and each takes about 100 bytes beyond
    /// its text.
    std::size_t headerFields = 256;
    /// Body that is read while the host cannot know whether the request has a route and a key.
    std::size_t unconfirmedBodyBytes = std::size_t{256} * 1024;
    /// Body of a request without a route or key that is read and dropped, so that its connection
    /// can be used again.
    std::size_t droppedBodyBytes = std::size_t{64} * 1024;
    /// Least mean rate of a body, checked after the grace time, for bodies above the exempt size.
    std::size_t bodyBytesPerSecond = 16;
    std::chrono::milliseconds bodyRateGrace{5000};
    std::size_t rateExemptBodyBytes = 1024;
    /// Read of requests sent ahead while a request is in progress, and while memory is short.
    std::size_t pipelinedBytes = std::size_t{64} * 1024;
    std::size_t tightPipelinedBytes = std::size_t{4} * 1024;
    /// Of an answer that waits for its caller, beyond which the endpoint is not read.
    std::size_t unreadAnswerBytes = std::size_t{256} * 1024;
    std::size_t tightUnreadAnswerBytes = std::size_t{16} * 1024;
    /// Connections of one caller address; 0 for no limit, as all callers may come through one
    /// balancer.
    std::size_t sessionsPerAddress = 0;
    /// Bodies that wait for room at the same time; further ones are refused. Each wait compares all
    /// connections several times a second.
    std::size_t waitingBodies = 32;
    /// Assumed memory of a connection, to derive the number of connections from the budget.
    std::size_t sessionBytes = std::size_t{8} * 1024;
    /// Buffers in the kernel for each connection of a caller. Bytes in them count toward the memory
    /// of the process, and by default the kernel lets them grow to several MB. Enough for 40 Mbit/s
    /// at a round trip of 6 ms; the kernel doubles the values.
    int receiveBufferBytes = 32 * 1024;
    int sendBufferBytes = 64 * 1024;

    /// Memory of the buffers when they are full.
    std::size_t receiveMemory() const { return 2 * static_cast<std::size_t>(receiveBufferBytes); }
    std::size_t sendMemory() const { return 2 * static_cast<std::size_t>(sendBufferBytes); }
};

/// Keeps callers that nobody controls from using up the memory and the connections of the host.
///
/// Used only on the thread of the event loop.
class caller_protection
{
public:
    using session_set = std::set<std::shared_ptr<caller_session>>;

    caller_protection(std::shared_ptr<policy::memory_budget> budget,
                      caller_protection_limits limits, const session_set &sessions,
                      core::counter_registry &counters, event_log &log);

    const caller_protection_limits &limits() const { return m_limits; }
    const policy::caller_overload &overload() const { return m_overload; }
    const std::shared_ptr<policy::memory_budget> &budget() const { return m_budget; }
    bool mayWait() const { return m_waitingBodies < m_limits.waitingBodies; }
    void waitStarted() { ++m_waitingBodies; }
    void waitEnded() { --m_waitingBodies; }
    bool isTight() const { return m_budget->isTight(); }
    std::size_t pipelinedBytes() const;
    std::size_t unreadAnswerBytes() const;
    /// For reads that are consumed at once. A connection that is idle has no buffer of its own.
    std::array<char, 16 * 1024> &readBuffer() { return m_readBuffer; }

    std::uint64_t nextId() { return ++m_lastId; }

    /// Whether a new connection from the address is taken. If all are in use, an idle one is closed
    /// for it, or else one whose request arrives slowly.
    bool admitsConnection(const asio::ip::address &address, std::size_t maximumSessions);
    void connectionClosed(const asio::ip::address &address);

    /// Whether the body of the session may take so many more bytes. Closes others for it.
    policy::overload_verdict requestGrowth(const caller_session &session, std::uint64_t needed);

    /// Closes connections if the bound is exceeded, as some memory is charged that could not be
    /// refused. Not to be called by a connection, which may be among them.
    void closeExcess();

    /// While memory is short, the endpoint of an answer waits of which so many bytes are kept. The
    /// attempt that has waited for longest goes on in any case.
    void pauseIfTight(const std::shared_ptr<attempt> &answered, std::size_t bytes);

    /// Counts a limit that took effect, for the metrics and the log.
    void record(std::string_view limit) { m_log.record(limit); }

    /// To be called regularly.
    void update();

private:
    std::vector<policy::caller_load> loads() const;
    void closeSessions(const std::vector<std::uint64_t> &victims);
    std::shared_ptr<caller_session> sessionToReplace() const;

    std::shared_ptr<policy::memory_budget> m_budget;
    caller_protection_limits m_limits;
    policy::caller_overload m_overload;
    const session_set &m_sessions;
    core::counter_registry &m_counters;
    limit_log m_log;
    std::array<char, 16 * 1024> m_readBuffer{};
    std::map<asio::ip::address, std::size_t> m_addresses; ///< Open connections.
    std::deque<std::weak_ptr<attempt>> m_paused;
    std::uint64_t m_lastId = 0;
    std::size_t m_waitingBodies = 0;
};

} // namespace quetzalcleat::forward
