#include "fleet_load.h"

#include "LibExperiment/arrivals.h"
#include "LibFakes/generated_text.h"
#include "fleet_call.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <random>

#include <fmt/format.h>

namespace quetzalcleat::experiment {

namespace {

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

/// The client accounts of the example inventories have tokens of this form.
std::string tokenOf(const std::string &account)
{
    return "example-token-" + account;
}

/// Text with the given number of tokens, determined by the seed.
std::string fillerText(std::uint64_t seed, std::uint32_t tokens)
{
    std::mt19937_64 random(seed);
    std::string text;
    text.reserve(std::size_t{tokens} * fakes::bytesPerToken);
    for (std::uint32_t index = 0; index < tokens; ++index)
        text += fmt::format("{:03x} ", random() % 4096);
    return text;
}

class closed_loop
{
public:
    closed_loop(const inventory::document &document, const closed_loop_options &options)
        : m_document(document), m_options(options), m_client(m_context)
    {
        for (const auto &endpoint : document.endpoints) {
            if (endpoint.kind == inventory::endpoint_kind::Engine && m_model.empty())
                m_model = endpoint.models.front();
        }
        for (const auto &endpoint : document.endpoints) {
            if (std::ranges::find(endpoint.models, m_model) != endpoint.models.end())
                m_engines.push_back(endpoint.address);
        }
    }

    std::string run(bool &allCorrect)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto first = std::min(m_options.streams, m_options.requests);
        for (std::uint32_t index = 0; index < first; ++index)
            sendNext();
        m_context.run();
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        allCorrect = m_correct == m_options.requests && m_wrong == 0 && m_broken == 0;
        return fmt::format(
            "{} streams {} requests {} whole {} wrong {} broken {} resent {} tokens/s {:.0f} "
            "first_token_ms p50 {:.2f} p95 {:.2f} between_tokens_ms p50 {:.2f} p95 {:.2f}",
            m_options.direct ? "direct" : "router", m_options.streams, m_options.requests,
            m_correct, m_wrong, m_broken, m_resent, double(m_tokens) / elapsed.count(),
            quantile(m_firstToken, 0.5), quantile(m_firstToken, 0.95), quantile(m_gaps, 0.5),
            quantile(m_gaps, 0.95));
    }

private:
    static constexpr std::chrono::milliseconds resendDelay{50};

    void sendNext()
    {
        if (m_sent < m_options.requests)
            send(m_sent++);
    }

    void send(std::uint32_t index)
    {
        fleet_request request;
        request.requestId = fmt::format("loop-{}-{}", index, ++m_attempts);
        request.model = m_model;
        request.prompt = fmt::format("request {} ", index) + fillerText(index, 32);
        request.outputTokens = m_options.outputTokens;
        request.maximumTokens = 2 * m_options.outputTokens;
        if (m_options.direct) {
            request.address = m_engines[index % m_engines.size()];
        } else {
            const auto &host = m_document.hosts[index % m_document.hosts.size()];
            const auto &account
                = m_document
                      .accounts[(index / m_document.hosts.size()) % m_document.accounts.size()];
            request.address = host.callerAddress;
            request.token = tokenOf(account.name);
        }
        std::make_shared<fleet_call>(
            m_client, std::move(request),
            [this, index](const fleet_request &, const fleet_measurement &result) {
                onEnd(index, result);
            })
            ->start();
    }

    void onEnd(std::uint32_t index, const fleet_measurement &result)
    {
        m_tokens += result.tokens;
        switch (result.outcome) {
        case fleet_outcome::Refused: {
            ++m_resent;
            const auto timer = std::make_shared<asio::steady_timer>(m_context, resendDelay);
            timer->async_wait([this, timer, index](std::error_code) { send(index); });
            return;
        }
        case fleet_outcome::Correct:
            ++m_correct;
            m_firstToken.push_back(fractional_milliseconds(result.firstToken).count());
            for (const auto gap : result.gaps)
                m_gaps.push_back(fractional_milliseconds(gap).count());
            break;
        case fleet_outcome::Broken:
            ++m_broken;
            break;
        case fleet_outcome::Wrong:
            ++m_wrong;
            break;
        }
        sendNext();
    }

    const inventory::document &m_document;
    closed_loop_options m_options;
    asio::io_context m_context;
    http::endpoint_client m_client;
    std::string m_model;
    std::vector<core::socket_address> m_engines;
    std::uint32_t m_sent = 0;
    std::uint64_t m_attempts = 0;
    std::uint32_t m_correct = 0;
    std::uint32_t m_wrong = 0;
    std::uint32_t m_broken = 0;
    std::uint32_t m_resent = 0;
    std::uint64_t m_tokens = 0;
    std::vector<double> m_firstToken;
    std::vector<double> m_gaps;
};

class workload_replay
{
public:
    workload_replay(const inventory::document &document, const workload &load, double utilisation,
                    std::uint64_t seed)
        : m_document(document), m_workload(load), m_client(m_context), m_seed(seed)
    {
        scenario conditions;
        conditions.name = "replay";
        conditions.utilisation = utilisation;
        m_arrivals = drawArrivals(load, conditions, document, seed);
        m_report.scenario = fmt::format("fleet-{:.2f}", utilisation);
        m_report.policy = "fleet";
        m_report.seenByCallersOnly = true;
        m_report.seed = seed;
        m_report.duration = load.duration;
        for (const auto &entry : load.classes) {
            class_report row;
            row.name = entry.className;
            row.usesEngines = !entry.model.empty();
            m_report.classes.push_back(row);
        }
    }

    run_report run()
    {
        std::vector<std::shared_ptr<asio::steady_timer>> timers;
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t index = 0; index < m_arrivals.size(); ++index) {
            timers.push_back(
                std::make_shared<asio::steady_timer>(m_context, begin + m_arrivals[index].at));
            timers.back()->async_wait([this, index](std::error_code) { send(index); });
        }
        m_context.run();
        return m_report;
    }

private:
    void send(std::size_t index)
    {
        const auto &source = m_arrivals[index];
        const auto &load = m_workload.classes[source.workloadClass];
        auto &row = m_report.classes[source.workloadClass];
        const auto &rules = m_document.classes[source.requestClass];
        row.tierRank = m_document.tiers[rules.tier].rank;
        ++row.offered;
        fleet_request request;
        request.address = m_document.hosts[source.host].callerAddress;
        request.token = tokenOf(m_document.accounts[source.account].name);
        request.requestId = fmt::format("replay-{}-{}", m_seed, index);
        request.requestClass = load.className;
        request.model = load.model;
        request.service = load.service;
        request.deadline = rules.deadline;
        if (!source.repeatable)
            request.idempotencyKey = fmt::format("key-{}-{}", m_seed, index);
        const auto shared = std::min(load.sharedPrefixTokens, source.promptTokens);
        if (!source.prefixBlocks.empty() && load.sharedPrefixes > 0)
            request.prompt = fillerText(source.prefixBlocks.front(), shared);
        request.prompt
            += fmt::format("request {} ", index) + fillerText(index, source.promptTokens - shared);
        request.outputTokens = source.outputTokens;
        request.maximumTokens = load.output.maximum;
        std::make_shared<fleet_call>(
            m_client, std::move(request),
            [this, index](const fleet_request &, const fleet_measurement &result) {
                onEnd(index, result);
            })
            ->start();
    }

    void onEnd(std::size_t index, const fleet_measurement &result)
    {
        const auto &source = m_arrivals[index];
        auto &row = m_report.classes[source.workloadClass];
        const auto &rules = m_document.classes[source.requestClass];
        if (result.outcome == fleet_outcome::Refused) {
            ++row.refused;
            return;
        }
        if (result.outcome != fleet_outcome::Correct) {
            ++row.broken;
            return;
        }
        ++row.completed;
        row.firstTokenMilliseconds.push_back(fractional_milliseconds(result.firstToken).count());
        for (const auto gap : result.gaps)
            row.betweenTokensMilliseconds.push_back(fractional_milliseconds(gap).count());
        const auto meanGap = (result.lastToken - result.firstToken)
            / std::max<std::uint32_t>(1, result.tokens > 0 ? result.tokens - 1 : 0);
        if ((!rules.timeToFirstToken || result.firstToken <= *rules.timeToFirstToken)
            && (!rules.timeBetweenTokens || meanGap <= *rules.timeBetweenTokens)
            && result.lastToken <= rules.deadline) {
            ++row.attained;
            row.attainedTokens += result.tokens;
        }
    }

    const inventory::document &m_document;
    const workload &m_workload;
    asio::io_context m_context;
    http::endpoint_client m_client;
    std::uint64_t m_seed;
    std::vector<arrival> m_arrivals;
    run_report m_report;
};

} // namespace

std::string runClosedLoop(const inventory::document &document, const closed_loop_options &options,
                          bool &allCorrect)
{
    return closed_loop(document, options).run(allCorrect);
}

run_report replayWorkload(const inventory::document &document, const workload &load,
                          double utilisation, std::uint64_t seed)
{
    return workload_replay(document, load, utilisation, seed).run();
}

} // namespace quetzalcleat::experiment
