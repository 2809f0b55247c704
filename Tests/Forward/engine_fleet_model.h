#pragma once

#include "LibForward/placement.h"
#include "LibForward/placement_record.h"
#include "LibPolicy/random_source.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace quetzalcleat::forward::test {

/// Requests of one class: size, rate, number of shared prefixes and objectives.
struct load_class
{
    std::uint32_t sharedTokens;
    std::uint32_t ownTokens;
    std::uint32_t events;
    double requestsPerSecond;
    std::uint32_t prefixes;
    engine_pool pool;
    std::chrono::milliseconds latencyObjective;
    std::chrono::milliseconds pauseObjective;
};

struct fleet_result
{
    double busiestWork = 0; ///< Prompt tokens read by the busiest engine, by the mean of all.
    double busiestCount = 0; ///< Requests at the busiest engine, by the mean of all.
    std::chrono::milliseconds lateWait{0}; ///< 99th percentile of the times to the first byte.
    double missedStarts = 0; ///< Share of requests that start after their objective.
    double missedPauses = 0; ///< Share of streams with a pause over their objective.
    double missedUrgent = 0; ///< Share of the low-latency streams that miss either.
    std::uint64_t sharedTokensReadAgain = 0; ///< Beyond the first time that any engine read them.
};

/// 60 hosts that place requests at 60 engines in 6 data centres, by sums that are 100 to 800 ms
/// old. An engine runs steps; a step reads a chunk of the first waiting prompt and writes a token
/// of each running stream. No requests fail, and engines always have memory for running requests.
class engine_fleet_model
{
public:
    static constexpr std::size_t hostCount = 60;
    static constexpr std::size_t engineCount = 60;
    static constexpr std::size_t dataCentres = 6;

    engine_fleet_model(placement_rule rule, std::vector<load_class> classes, std::uint64_t seed)
        : m_classes(std::move(classes)), m_random(seed)
    {
        m_service.name = "engines";
        for (const auto &kind : m_classes) {
            if (kind.pool == engine_pool::LowLatency)
                m_protectedPause = kind.pauseObjective;
        }
        m_service.engine = engine_profile{64, cacheTokens, tokensPerEvent};
        m_options.rule = rule;
        m_options.speed = {promptTokensPerMillisecond, stepTime, stepTimePerRequest};
        for (std::size_t index = 0; index < dataCentres; ++index)
            m_options.regions["dc" + std::to_string(index)] = "region" + std::to_string(index / 2);
        std::vector<listed_endpoint> list;
        for (std::size_t index = 0; index < engineCount; ++index) {
            list.push_back({"engine-" + std::to_string(index),
                            "engines",
                            {"10.0.0." + std::to_string(index + 1), 80},
                            "dc" + std::to_string(index % dataCentres),
                            64});
            m_engines[index].speed = 0.55 + 0.65 * uniform();
        }
        for (auto &host : m_hosts) {
            host.table.update(list, start);
            for (std::size_t index = 0; index < engineCount; ++index)
                host.endpoints.push_back(host.table.all().at(list[index].incarnation).get());
        }
        for (std::size_t index = 0; index < engineCount; ++index)
            m_indexes[list[index].incarnation] = index;
    }

    /// A prefix that receives a third of the requests of its class.
    void setHotPrefix(std::size_t classIndex) { m_hotClass = classIndex; }

    fleet_result run(std::chrono::milliseconds length)
    {
        const auto end = start + length;
        for (auto now = start; now < end; now += tick) {
            for (std::size_t index = 0; index < m_classes.size(); ++index) {
                const double mean = m_classes[index].requestsPerSecond
                    * std::chrono::duration<double>(tick).count();
                if (uniform() < mean)
                    place(index, now);
            }
            for (std::size_t index = 0; index < engineCount; ++index)
                advance(m_engines[index], now);
            exchangeLoads(now);
        }
        return result();
    }

private:
    static constexpr core::instant start{std::chrono::hours(1)};
    static constexpr std::chrono::milliseconds tick{1};
    static constexpr std::chrono::milliseconds reportInterval{250};
    static constexpr std::uint64_t cacheTokens = 587'270;
    static constexpr std::uint32_t tokensPerEvent = 4;
    static constexpr double promptTokensPerMillisecond = 51.1;
    static constexpr std::chrono::microseconds stepTime{5090};
    static constexpr std::chrono::microseconds stepTimePerRequest{30};
    static constexpr double chunkTokens = 4096;

    struct host
    {
        endpoint_table table;
        std::vector<endpoint *> endpoints;
    };

    struct stream
    {
        std::size_t host;
        std::size_t classIndex;
        std::uint64_t prefix;
        placement_record placement;
        core::instant sentAt;
        core::instant lastEvent;
        double tokensToRead = -1; ///< Negative until its turn.
        std::uint32_t tokensLeft;
        std::chrono::microseconds longestPause{0};
        bool missedStart = false;
        bool missedPause = false;
    };

    struct engine
    {
        double speed = 1;
        core::instant stepEnd = start;
        std::uint64_t requests = 0;
        double tokensRead = 0;
        std::deque<stream> waiting;
        std::list<stream> running;
        std::unordered_map<std::uint64_t, std::pair<std::uint32_t, core::instant>> cache;
        std::uint64_t cached = 0;
        double chunk = 0; ///< Of the step in progress.
        bool hasStep = false;
    };

    /// Loads of each host at one time; sums of all hosts less the own ones are what a host learns.
    struct snapshot
    {
        core::instant at;
        std::vector<std::array<reported_load, engineCount>> own;
        std::array<reported_load, engineCount> sums{};
    };

    double uniform() { return static_cast<double>(m_random.next() >> 11U) * 0x1.0p-53; }

    /// Popularities in proportion to 1/rank.
    std::uint64_t choosePrefix(std::size_t classIndex)
    {
        const auto count = m_classes[classIndex].prefixes;
        std::uint64_t rank = 0;
        if (m_hotClass != classIndex || uniform() >= 1.0 / 3)
            rank = static_cast<std::uint64_t>(std::pow(count, uniform())) - 1;
        return (classIndex + 1) * 1'000'000 + rank;
    }

    void place(std::size_t classIndex, core::instant now)
    {
        const auto &kind = m_classes[classIndex];
        const auto hostIndex = m_random.below(hostCount);
        auto &host = m_hosts[hostIndex];
        const auto prefix = choosePrefix(classIndex);
        const generation_size size{{{prefix, kind.sharedTokens}, {m_random.next(), kind.ownTokens}},
                                   kind.sharedTokens + kind.ownTokens,
                                   kind.events * tokensPerEvent,
                                   kind.events * tokensPerEvent};
        placement_request request;
        request.target = &m_service;
        request.size = &size;
        request.pool = kind.pool;
        request.objective = kind.latencyObjective;
        request.protectedPause = m_protectedPause;
        request.affinity = prefix;
        request.random = m_random.next();
        m_options.dataCentre = "dc" + std::to_string(hostIndex % dataCentres);
        m_options.region = m_options.regions.at(m_options.dataCentre);
        const auto choice = chooseEndpoint(host.table, request, m_options, now);
        for (const auto &part : size.parts)
            choice.chosen->partSentTimes.record(part.id, now);
        stream added{hostIndex, classIndex, prefix, {}, now, now, -1, kind.events * tokensPerEvent};
        added.placement.begin(*choice.chosen, choice, now);
        auto &target = m_engines[m_indexes.at(choice.chosen->listed.incarnation)];
        ++target.requests;
        target.waiting.push_back(std::move(added));
    }

    /// Shared tokens that are not in the cache are read again.
    double tokensToRead(engine &target, const stream &entry, core::instant now)
    {
        const auto &kind = m_classes[entry.classIndex];
        const auto [known, added] = target.cache.try_emplace(entry.prefix, kind.sharedTokens, now);
        known->second.second = now;
        if (!added)
            return kind.ownTokens;
        m_sharedTokensRead += kind.sharedTokens;
        if (m_prefixesRead.insert(entry.prefix).second)
            m_sharedTokensFirstRead += kind.sharedTokens;
        target.cached += kind.sharedTokens;
        const auto inUse = static_cast<std::uint64_t>(kind.ownTokens) * target.running.size();
        while (target.cached + inUse > cacheTokens && target.cache.size() > 1) {
            const auto oldest = std::min_element(
                target.cache.begin(), target.cache.end(), [](const auto &left, const auto &right) {
                    return left.second.second < right.second.second;
                });
            target.cached -= oldest->second.first;
            target.cache.erase(oldest);
        }
        return kind.sharedTokens + kind.ownTokens;
    }

    void advance(engine &target, core::instant now)
    {
        while (target.stepEnd <= now && !(target.waiting.empty() && target.running.empty())) {
            endStep(target);
            beginStep(target, std::max(target.stepEnd, now - tick));
        }
    }

    void beginStep(engine &target, core::instant now)
    {
        target.chunk = 0;
        if (!target.waiting.empty() && target.running.size() < 64) {
            auto &first = target.waiting.front();
            if (first.tokensToRead < 0) {
                first.tokensToRead = tokensToRead(target, first, now);
                target.tokensRead += first.tokensToRead;
            }
            target.chunk = std::min(chunkTokens, first.tokensToRead);
        }
        if (target.chunk == 0 && target.running.empty())
            return;
        const double micros
            = (static_cast<double>(stepTime.count())
               + static_cast<double>(stepTimePerRequest.count() * target.running.size())
               + target.chunk * 1000 / promptTokensPerMillisecond)
            / target.speed;
        const auto length = std::chrono::microseconds(static_cast<std::int64_t>(micros));
        target.stepEnd = now + length;
        target.hasStep = true;
    }

    void endStep(engine &target)
    {
        if (!std::exchange(target.hasStep, false))
            return;
        const auto now = target.stepEnd;
        for (auto entry = target.running.begin(); entry != target.running.end();) {
            --entry->tokensLeft;
            if (entry->tokensLeft % tokensPerEvent == 0) {
                entry->longestPause = std::max(
                    entry->longestPause,
                    std::chrono::duration_cast<std::chrono::microseconds>(now - entry->lastEvent));
                if (now - entry->lastEvent > m_classes[entry->classIndex].pauseObjective)
                    entry->missedPause = true;
                entry->lastEvent = now;
            }
            if (entry->tokensLeft > 0) {
                ++entry;
                continue;
            }
            entry->placement.end(endpointOf(target, *entry));
            m_hosts[entry->host]
                .table.pauses(m_service.name)
                .record(
                    entry->longestPause,
                    paceOf(m_service, m_options.speed, static_cast<double>(target.running.size())));
            recordEnd(*entry);
            entry = target.running.erase(entry);
        }
        if (target.chunk == 0)
            return;
        auto &first = target.waiting.front();
        first.tokensToRead -= target.chunk;
        if (first.tokensToRead > 0)
            return;
        first.placement.recordFirstByte(endpointOf(target, first), now);
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(now - first.sentAt);
        m_waits.push_back(wait);
        first.missedStart = wait > m_classes[first.classIndex].latencyObjective;
        first.lastEvent = now;
        target.running.push_back(std::move(first));
        target.waiting.pop_front();
    }

    endpoint &endpointOf(const engine &target, const stream &entry)
    {
        return *m_hosts[entry.host].endpoints[static_cast<std::size_t>(&target - m_engines.data())];
    }

    void recordEnd(const stream &entry)
    {
        ++m_ended;
        m_missedStarts += entry.missedStart ? 1 : 0;
        m_missedPauses += entry.missedPause ? 1 : 0;
        if (m_classes[entry.classIndex].pool != engine_pool::LowLatency)
            return;
        ++m_urgentEnded;
        m_urgentMissed += entry.missedStart || entry.missedPause ? 1 : 0;
    }

    void exchangeLoads(core::instant now)
    {
        constexpr std::chrono::milliseconds snapshotInterval{50};
        constexpr std::size_t snapshots = 17;
        if ((now - start) % snapshotInterval == tick * 0) {
            snapshot taken{now, {}, {}};
            taken.own.resize(hostCount);
            for (std::size_t index = 0; index < hostCount; ++index) {
                for (std::size_t number = 0; number < engineCount; ++number) {
                    const auto &entry = *m_hosts[index].endpoints[number];
                    taken.own[index][number] = {entry.running, entry.waitingTokens};
                    taken.sums[number].running += entry.running;
                    taken.sums[number].waitingTokens += entry.waitingTokens;
                }
            }
            m_snapshots.push_front(std::move(taken));
            m_snapshots.resize(std::min(m_snapshots.size(), snapshots));
        }
        for (std::size_t index = 0; index < hostCount; ++index) {
            const auto phase
                = reportInterval * static_cast<int>(index) / static_cast<int>(hostCount);
            if ((now - start - phase) % reportInterval >= tick || m_snapshots.size() < snapshots)
                continue;
            // 100 to 800 ms old.
            const auto &known = m_snapshots[2 + m_random.below(snapshots - 2)];
            std::map<std::string, reported_load> loads;
            for (std::size_t number = 0; number < engineCount; ++number) {
                auto load = known.sums[number];
                load.running -= known.own[index][number].running;
                load.waitingTokens -= known.own[index][number].waitingTokens;
                loads[m_hosts[index].endpoints[number]->listed.incarnation] = load;
            }
            m_hosts[index].table.applyLoads(loads, now);
        }
    }

    fleet_result result()
    {
        fleet_result found;
        double tokens = 0;
        double mostTokens = 0;
        std::uint64_t requests = 0;
        std::uint64_t mostRequests = 0;
        for (const auto &target : m_engines) {
            tokens += target.tokensRead;
            mostTokens = std::max(mostTokens, target.tokensRead);
            requests += target.requests;
            mostRequests = std::max(mostRequests, target.requests);
        }
        const auto share = [](auto part, auto all) {
            return static_cast<double>(part) / std::max(static_cast<double>(all), 1.0);
        };
        found.busiestWork = share(mostTokens * engineCount, tokens);
        found.busiestCount = share(mostRequests * engineCount, requests);
        std::sort(m_waits.begin(), m_waits.end());
        if (!m_waits.empty())
            found.lateWait = m_waits[m_waits.size() * 99 / 100];
        // Those that have not started yet count as late.
        const auto unstarted = requests - m_waits.size();
        found.missedStarts = share(m_missedStarts + unstarted, requests);
        found.missedPauses = share(m_missedPauses, m_ended);
        found.missedUrgent = share(m_urgentMissed, m_urgentEnded);
        found.sharedTokensReadAgain = m_sharedTokensRead - m_sharedTokensFirstRead;
        return found;
    }

    std::vector<load_class> m_classes;
    std::optional<std::size_t> m_hotClass;
    policy::random_source m_random;
    service m_service;
    placement_options m_options;
    std::chrono::milliseconds m_protectedPause{0};
    std::array<host, hostCount> m_hosts;
    std::array<engine, engineCount> m_engines;
    std::map<std::string, std::size_t> m_indexes;
    std::deque<snapshot> m_snapshots;
    std::vector<std::chrono::milliseconds> m_waits;
    std::set<std::uint64_t> m_prefixesRead;
    std::uint64_t m_sharedTokensRead = 0;
    std::uint64_t m_sharedTokensFirstRead = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_missedStarts = 0;
    std::uint64_t m_missedPauses = 0;
    std::uint64_t m_urgentEnded = 0;
    std::uint64_t m_urgentMissed = 0;
};

} // namespace quetzalcleat::forward::test
