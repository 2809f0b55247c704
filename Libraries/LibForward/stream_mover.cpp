#include "LibForward/stream_mover.h"

#include "LibForward/exchange.h"

#include <algorithm>

namespace quetzalcleat::forward {

namespace {

/// A list that lags may announce an endpoint again that is gone.
constexpr std::chrono::milliseconds retention{60'000};
constexpr std::size_t maximumLeaves = 10'000;

} // namespace

void stream_mover::recordLeave(const std::string &incarnation, std::chrono::milliseconds remaining,
                               core::instant now)
{
    const auto known = m_ends.find(incarnation);
    if (known != m_ends.end()) {
        known->second = std::min(known->second, now + remaining);
        return;
    }
    if (m_ends.size() >= maximumLeaves || !m_endpoints.all().contains(incarnation))
        return;
    m_ends.emplace(incarnation, now + remaining);
    m_log.write("endpoint_ends",
                {{"endpoint", incarnation}, {"left_ms", std::to_string(remaining.count())}});
}

void stream_mover::update(const std::vector<std::shared_ptr<exchange>> &requests,
                          std::chrono::milliseconds interval, core::instant now)
{
    std::erase_if(m_ends, [now](const auto &entry) { return now - entry.second > retention; });
    for (const auto &[incarnation, end] : m_ends) {
        const auto target = m_endpoints.all().find(incarnation);
        if (end <= now || target == m_endpoints.all().end() || !hasOther(*target->second, now))
            continue;
        move(incarnation, requests,
             std::chrono::duration_cast<std::chrono::milliseconds>(end - now), interval);
    }
}

/// Whether another endpoint can continue the streams. Without one, they are better off here.
bool stream_mover::hasOther(const endpoint &leaving, core::instant now) const
{
    const auto &endpoints = m_endpoints.ofService(leaving.listed.service);
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &other) {
        return other.get() != &leaving && !other->isUnlisted && other->ejectedUntil <= now
            && !m_ends.contains(other->listed.incarnation)
            && m_endpoints.notices().use(other->listed.incarnation, now)
            == policy::endpoint_use::Free;
    });
}

void stream_mover::move(const std::string &incarnation,
                        const std::vector<std::shared_ptr<exchange>> &requests,
                        std::chrono::milliseconds left, std::chrono::milliseconds interval)
{
    std::vector<std::shared_ptr<exchange>> here;
    std::vector<policy::leaving_stream> streams;
    for (const auto &request : requests) {
        if (const auto stream = request->streamAt(incarnation)) {
            here.push_back(request);
            streams.push_back(*stream);
        }
    }
    std::size_t moved = 0;
    const auto chosen = policy::streamsToMove(streams, left, interval);
    for (const auto index : chosen) {
        here[index]->recall();
        if (!here[index]->streamAt(incarnation))
            ++moved;
    }
    if (chosen.empty())
        return;
    m_counters.counter("streams_moved_total") += moved;
    m_log.write("streams_moved",
                {{"endpoint", incarnation},
                 {"left_ms", std::to_string(left.count())},
                 {"streams", std::to_string(streams.size())},
                 {"moved", std::to_string(moved)},
                 {"kept_by_retry_budget", std::to_string(chosen.size() - moved)}});
}

} // namespace quetzalcleat::forward
