#include "LibFakes/engine_model.h"

#include "LibCore/hash.h"
#include "LibFakes/fakes_error.h"
#include "LibFakes/generated_text.h"

#include <algorithm>
#include <limits>

namespace quetzalcleat::fakes {

namespace {

constexpr std::chrono::milliseconds sampleInterval{50};
constexpr std::chrono::seconds sampleRetention{30};

std::uint32_t blocksFor(std::uint32_t tokens)
{
    return (tokens + tokensPerBlock - 1) / tokensPerBlock;
}

} // namespace

engine_model::engine_model(engine_options options, core::instant now)
    : m_options(std::move(options))
{
    sample(now);
}

core::result<void> engine_model::submit(generation_request request, core::instant now)
{
    if (!m_options.models.contains(request.model))
        return fakes_error::UnknownModel;
    if (m_waiting.size() >= m_options.waitingLimit)
        return fakes_error::QueueFull;
    const auto hasId = [&](const sequence &entry) { return entry.request.id == request.id; };
    if (std::ranges::any_of(m_waiting, hasId) || std::ranges::any_of(m_running, hasId))
        return fakes_error::DuplicateRequest;
    sequence entry;
    entry.arrival = ++m_arrivals;
    entry.generated = request.resumeFrom;
    entry.request = std::move(request);
    m_waiting.push_back(std::move(entry));
    if (!m_stepEnd)
        startStep(now);
    return {};
}

bool engine_model::cancel(std::uint64_t request, core::instant now)
{
    const auto hasId = [&](const sequence &entry) { return entry.request.id == request; };
    if (std::erase_if(m_waiting, hasId) > 0)
        return true;
    const auto running = std::ranges::find_if(m_running, hasId);
    if (running == m_running.end())
        return false;
    const auto index = running - m_running.begin();
    if (static_cast<std::size_t>(index) < m_stepPrefill.size())
        m_stepPrefill.erase(m_stepPrefill.begin() + index);
    m_running.erase(running);
    if (m_running.empty() && m_waiting.empty())
        m_stepEnd.reset();
    sample(now);
    return true;
}

std::vector<engine_event> engine_model::advance(core::instant now)
{
    std::vector<engine_event> events;
    for (auto model = m_loadingModels.begin(); model != m_loadingModels.end();) {
        if (model->second > now) {
            ++model;
            continue;
        }
        m_options.models.insert(model->first);
        model = m_loadingModels.erase(model);
    }
    if (m_silent)
        return events;
    while (m_stepEnd && *m_stepEnd <= now)
        finishStep(events);
    if (m_samples.empty() || now - m_samples.back().sampledAt >= sampleInterval)
        sample(now);
    return events;
}

std::optional<core::instant> engine_model::nextStepEnd() const
{
    if (m_silent)
        return std::nullopt;
    return m_stepEnd;
}

engine_load engine_model::load(core::instant now) const
{
    const auto newest = now - m_options.loadReportLag;
    for (auto entry = m_samples.rbegin(); entry != m_samples.rend(); ++entry) {
        if (entry->sampledAt <= newest)
            return *entry;
    }
    return m_samples.front();
}

engine_load engine_model::currentLoad(core::instant now) const
{
    return {m_incarnation,
            m_leaving,
            static_cast<std::uint32_t>(m_running.size()),
            static_cast<std::uint32_t>(m_waiting.size()),
            blocksInUse(),
            m_options.totalBlocks,
            now,
            m_options.models};
}

std::vector<cache_event> engine_model::cacheEventsAfter(std::uint64_t sequence,
                                                        core::instant now) const
{
    auto events = m_cache.eventsAfter(sequence);
    std::erase_if(events, [&](const cache_event &event) {
        return event.at + m_options.cacheEventDelay > now || isEventLost(event.sequence);
    });
    return events;
}

core::result<void> engine_model::exportBlock(std::uint64_t block) const
{
    if (!m_cache.contains(block))
        return fakes_error::UnknownBlock;
    return {};
}

void engine_model::importBlock(std::uint64_t block, core::instant now)
{
    m_cache.store(block, now);
    freeBlocks(now);
}

core::result<void> engine_model::order(const engine_order &order, core::instant now)
{
    if (m_options.checksFencing && order.fencing < m_highestFencing)
        return fakes_error::StaleFencing;
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    const auto hasSameId
        = [&](const engine_order &earlier) { return earlier.orderId == order.orderId; };
    if (std::ranges::any_of(m_executedOrders, hasSameId))
        return {};
    m_executedOrders.push_back(order);
    if (order.kind == engine_order_kind::LoadModel)
        m_loadingModels.emplace(order.target, now + m_options.modelLoadTime);
    if (order.kind == engine_order_kind::UnloadModel) {
        m_loadingModels.erase(order.target);
        m_options.models.erase(order.target);
    }
    return {};
}

void engine_model::setSilent(bool silent, core::instant now)
{
    if (m_silent && !silent && m_stepEnd)
        m_stepEnd = std::max(*m_stepEnd, now);
    m_silent = silent;
}

std::vector<engine_event> engine_model::crash(core::instant now)
{
    std::vector<engine_event> events;
    for (const auto *table : {&m_running, &m_waiting}) {
        for (const auto &entry : *table)
            events.push_back({now, engine_event_kind::Aborted, entry.request.id, entry.generated});
    }
    m_running.clear();
    m_waiting.clear();
    m_stepPrefill.clear();
    m_stepEnd.reset();
    m_cache.clear(now);
    m_leaving = false;
    ++m_incarnation;
    sample(now);
    return events;
}

std::uint32_t engine_model::contextTokens(const sequence &entry)
{
    return entry.request.promptTokens + entry.generated;
}

std::uint32_t engine_model::blocksOf(const sequence &entry)
{
    return blocksFor(contextTokens(entry) + 1);
}

std::uint32_t engine_model::blocksInUse() const
{
    std::uint32_t blocks = 0;
    for (const auto &entry : m_running)
        blocks += blocksOf(entry);
    return blocks;
}

/// Moves waiting sequences into the batch, most urgent first, while there are free blocks.
void engine_model::fillBatch(core::instant now)
{
    const auto moreUrgent = [](const sequence &left, const sequence &right) {
        if (left.request.priority != right.request.priority)
            return left.request.priority < right.request.priority;
        return left.arrival < right.arrival;
    };
    std::uint32_t inUse = blocksInUse();
    while (!m_waiting.empty() && m_running.size() < m_options.capacity) {
        const auto next = std::ranges::min_element(m_waiting, moreUrgent);
        const auto needed = blocksOf(*next);
        // A sequence that never fits runs alone. Otherwise it would block the queue for ever.
        if (inUse + needed > m_options.totalBlocks && !m_running.empty())
            return;
        inUse += needed;
        sequence entry = std::move(*next);
        m_waiting.erase(next);
        const auto matched = m_cache.match(entry.request.prefixBlocks);
        entry.prefilled = std::min(static_cast<std::uint32_t>(matched) * tokensPerBlock,
                                   entry.request.promptTokens);
        if (!entry.preempted)
            m_totals.cachedPromptTokens += entry.prefilled;
        m_running.push_back(std::move(entry));
        freeBlocks(now);
    }
}

void engine_model::startStep(core::instant now)
{
    fillBatch(now);
    m_stepPrefill.assign(m_running.size(), 0);
    if (m_running.empty()) {
        m_stepEnd.reset();
        return;
    }
    std::uint32_t budget = m_options.prefillTokensPerStep;
    std::uint32_t prefill = 0;
    std::uint32_t generating = 0;
    for (std::size_t index = 0; index < m_running.size(); ++index) {
        const auto &entry = m_running[index];
        // A resumed sequence also prefills the output that was delivered before.
        const auto missing = contextTokens(entry) - std::min(contextTokens(entry), entry.prefilled);
        if (missing == 0) {
            ++generating;
            continue;
        }
        m_stepPrefill[index] = std::min(missing, budget);
        budget -= m_stepPrefill[index];
        prefill += m_stepPrefill[index];
    }
    const auto nominalTime = m_options.stepTime + generating * m_options.timePerSequence
        + prefill * m_options.timePerPrefillToken;
    m_stepEnd = now
        + std::chrono::duration_cast<core::instant::duration>(
                    std::chrono::duration<double, std::nano>(
                        static_cast<double>(nominalTime.count()) * m_slowdown));
}

void engine_model::finishStep(std::vector<engine_event> &events)
{
    const auto now = *m_stepEnd;
    for (std::size_t index = 0; index < m_running.size(); ++index) {
        auto &entry = m_running[index];
        const auto before = contextTokens(entry);
        if (m_stepPrefill[index] > 0 || entry.prefilled < before) {
            entry.prefilled += m_stepPrefill[index];
            m_totals.prefilledTokens += m_stepPrefill[index];
            if (entry.preempted || entry.request.isRepeated)
                m_totals.repeatedPrefillTokens += m_stepPrefill[index];
            if (entry.prefilled < before)
                continue;
            for (const auto block : entry.request.prefixBlocks)
                m_cache.store(block, now);
        }
        if (entry.generated < entry.request.outputTokens) {
            events.push_back({now, engine_event_kind::Token, entry.request.id, entry.generated});
            ++entry.generated;
            ++entry.prefilled;
            ++m_totals.generatedTokens;
        }
        if (entry.generated >= entry.request.outputTokens)
            events.push_back({now, engine_event_kind::Finished, entry.request.id, entry.generated});
    }
    std::erase_if(m_running, [](const sequence &entry) {
        return entry.generated >= entry.request.outputTokens
            && entry.prefilled >= contextTokens(entry);
    });
    freeBlocks(now);
    if (m_samples.empty() || now - m_samples.back().sampledAt >= sampleInterval)
        sample(now);
    startStep(now);
}

/// Frees blocks: evicts cached prefixes, and preempts the least urgent sequences if the running
/// ones alone do not fit. A preempted sequence repeats its prefill.
void engine_model::freeBlocks(core::instant now)
{
    while (m_running.size() > 1 && blocksInUse() > m_options.totalBlocks) {
        const auto victim = std::ranges::max_element(m_running, {}, [](const sequence &entry) {
            return std::pair(entry.request.priority, entry.arrival);
        });
        victim->preempted = true;
        victim->prefilled = 0;
        m_waiting.push_back(std::move(*victim));
        m_running.erase(victim);
        m_stepPrefill.clear();
        m_stepPrefill.resize(m_running.size(), 0);
    }
    const auto inUse = std::min(blocksInUse(), m_options.totalBlocks);
    m_cache.shrinkTo(m_options.totalBlocks - inUse, now);
}

void engine_model::sample(core::instant now)
{
    m_samples.push_back(currentLoad(now));
    while (m_samples.size() > 1 && now - m_samples[1].sampledAt > sampleRetention)
        m_samples.pop_front();
}

bool engine_model::isEventLost(std::uint64_t sequence) const
{
    if (m_options.cacheEventLoss <= 0)
        return false;
    const auto bytes = std::string_view(reinterpret_cast<const char *>(&sequence), sizeof sequence);
    const auto draw = static_cast<double>(core::hash64(bytes, m_options.seed))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return draw < m_options.cacheEventLoss;
}

} // namespace quetzalcleat::fakes
