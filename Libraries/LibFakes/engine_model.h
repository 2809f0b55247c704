#pragma once

#include "LibCore/result.h"
#include "LibCore/time.h"
#include "LibFakes/prefix_cache.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace quetzalcleat::fakes {

struct engine_options
{
    std::set<std::string> models;
    std::uint32_t capacity = 32; ///< Sequences in one batch.
    std::uint32_t totalBlocks = 4096; ///< KV cache for sequences and cached prefixes together.
    std::uint32_t waitingLimit = 4096;
    std::uint32_t prefillTokensPerStep = 512;
    std::chrono::nanoseconds stepTime{std::chrono::milliseconds{12}}; ///< For an empty batch.
    std::chrono::nanoseconds timePerSequence{std::chrono::microseconds{250}};
    std::chrono::nanoseconds timePerPrefillToken{std::chrono::microseconds{50}};
    std::chrono::milliseconds loadReportLag{200};
    std::chrono::milliseconds cacheEventDelay{300};
    double cacheEventLoss = 0; ///< Probability that a cache event is never published.
    std::chrono::milliseconds modelLoadTime{2000};
    bool checksFencing = true;
    std::uint64_t seed = 1;
};

struct generation_request
{
    std::uint64_t id = 0;
    std::string model;
    std::uint32_t promptTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< See promptBlocks().
    std::uint32_t outputTokens = 0; ///< Tokens that the engine will generate.
    std::uint32_t priority = 0; ///< Lower is more urgent.
    std::uint32_t resumeFrom = 0; ///< Tokens that the caller already has.
    bool isRepeated = false; ///< An earlier attempt reached an engine.
};

enum class engine_event_kind {
    Token,
    Finished, ///< Follows the last token.
    Aborted, ///< The engine crashed.
};

struct engine_event
{
    core::instant at;
    engine_event_kind kind = engine_event_kind::Token;
    std::uint64_t request = 0;
    std::uint32_t index = 0; ///< Index of the token; 0 is the first one of the whole answer.
};

/// Load as the engine reports it.
struct engine_load
{
    std::uint64_t incarnation = 0;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedBlocks = 0;
    std::uint32_t totalBlocks = 0;
    core::instant sampledAt;
    std::set<std::string> models;
};

/// Work that an engine did, for measurements.
struct engine_totals
{
    std::uint64_t generatedTokens = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t repeatedPrefillTokens
        = 0; ///< Computed again after a preemption or for a repeated request.
};

enum class engine_order_kind { LoadModel, UnloadModel, LoadAdapter, SetRole };

struct engine_order
{
    std::uint64_t fencing = 0;
    std::string orderId;
    engine_order_kind kind = engine_order_kind::LoadModel;
    std::string target; ///< Model, adapter or role.
    std::string version;
};

/// Fake of a language-model server with continuous batching, without I/O.
///
/// Each step prefills up to a number of prompt tokens and generates one token for every sequence
/// whose prompt is complete. Time passes only through advance(), so that the model can run in an
/// HTTP server as well as in an experiment on virtual time.
class engine_model
{
public:
    engine_model(engine_options options, core::instant now);

    core::result<void> submit(generation_request request, core::instant now);
    /// Returns false if no such request is waiting or running.
    bool cancel(std::uint64_t request, core::instant now);

    /// Runs all steps that end by `now` and returns their events in order of time.
    std::vector<engine_event> advance(core::instant now);

    /// End of the current step, or no value while the engine is idle or silent.
    std::optional<core::instant> nextStepEnd() const;

    /// The load report that is available at `now`: a sample that is older by loadReportLag.
    engine_load load(core::instant now) const;
    engine_load currentLoad(core::instant now) const;

    /// Published cache events above a sequence number, without the lost ones.
    std::vector<cache_event> cacheEventsAfter(std::uint64_t sequence, core::instant now) const;
    const prefix_cache &cache() const { return m_cache; }

    core::result<void> exportBlock(std::uint64_t block) const;
    void importBlock(std::uint64_t block, core::instant now);

    /// Executes an order; one with an order id that was executed before succeeds without effect.
    core::result<void> order(const engine_order &order, core::instant now);

    const engine_totals &totals() const { return m_totals; }
    std::uint64_t incarnation() const { return m_incarnation; }

    // Fault injection.
    void setSlowdown(double factor) { m_slowdown = factor; }
    void setSilent(bool silent, core::instant now);
    bool silent() const { return m_silent; }
    void setLeaving(bool leaving) { m_leaving = leaving; }
    void setLoadReportLag(std::chrono::milliseconds lag) { m_options.loadReportLag = lag; }
    void setCacheEventLoss(double probability) { m_options.cacheEventLoss = probability; }
    /// Loses all sequences and the cache and starts again under a new incarnation.
    std::vector<engine_event> crash(core::instant now);

private:
    struct sequence
    {
        generation_request request;
        std::uint64_t arrival = 0;
        std::uint32_t prefilled = 0; ///< Tokens of the context that are in the KV cache.
        std::uint32_t generated = 0; ///< Output tokens so far, including those before a resume.
        bool preempted = false; ///< Lost its KV blocks once and repeats its prefill.
    };

    static std::uint32_t contextTokens(const sequence &entry);
    static std::uint32_t blocksOf(const sequence &entry);
    std::uint32_t blocksInUse() const;
    void fillBatch(core::instant now);
    void startStep(core::instant now);
    void finishStep(std::vector<engine_event> &events);
    void freeBlocks(core::instant now);
    void sample(core::instant now);
    bool isEventLost(std::uint64_t sequence) const;

    engine_options m_options;
    std::vector<sequence> m_waiting;
    std::vector<sequence> m_running;
    prefix_cache m_cache;
    std::optional<core::instant> m_stepEnd;
    std::vector<std::uint32_t> m_stepPrefill; ///< Prefill of the step, by running sequence.
    std::deque<engine_load> m_samples;
    std::map<std::string, core::instant> m_loadingModels;
    std::vector<engine_order> m_executedOrders;
    std::uint64_t m_highestFencing = 0;
    engine_totals m_totals;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_incarnation = 1;
    double m_slowdown = 1;
    bool m_silent = false;
    bool m_leaving = false;
};

} // namespace quetzalcleat::fakes
