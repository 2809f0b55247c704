// Prints the time per decision at two fleet sizes and the memory per queued request.
#include "policy_fixture.h"

#include <iostream>
#include <malloc.h>

using namespace quetzalcleat;
using namespace quetzalcleat::policy;
using namespace quetzalcleat::policy_test;

namespace {

constexpr std::uint32_t blocksPerPrompt = 64;

inventory::document makeFleet(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t models,
                              std::uint32_t dataCentres, std::uint32_t hosts, std::uint32_t tiers)
{
    auto document = makeDocument(tiers, 0);
    document.dataCentres.clear();
    for (std::uint32_t index = 0; index < dataCentres; ++index)
        document.dataCentres.push_back({"dc-" + std::to_string(index), index % 2});
    for (std::uint32_t index = 0; index < hosts; ++index)
        document.hosts.push_back(
            {"host-" + std::to_string(index), index % dataCentres, {}, {}, {}});
    for (std::uint32_t index = 0; index < endpoints; ++index) {
        inventory::endpoint engine;
        engine.name = "engine-" + std::to_string(index);
        engine.dataCentre = index % dataCentres;
        engine.models = {"model-" + std::to_string(index / dataCentres % models)};
        engine.capacity = 32;
        engine.kvBlocks = 4096;
        document.endpoints.push_back(engine);
    }
    document.accounts.clear();
    for (std::uint32_t index = 0; index < accounts; ++index)
        document.accounts.push_back({"caller-" + std::to_string(index), {}, 0, {}});
    for (auto &entry : document.classes) {
        entry.queueLength = 1U << 20U;
        entry.deadline = std::chrono::hours(1);
    }
    return document;
}

request_spec makePrompt(random_source &random, std::uint32_t accounts, std::uint32_t models,
                        std::uint32_t tiers)
{
    request_spec spec;
    spec.requestId = "0123456789abcdef0123456789abcdef";
    spec.account = account_id{random.below(accounts)};
    spec.requestClass = class_id{random.below(tiers)};
    spec.model = "model-" + std::to_string(random.below(models));
    spec.promptTokens = 1024;
    spec.maximumOutputTokens = 256;
    const std::uint64_t prefix = random.below(50);
    for (std::uint32_t block = 0; block < blocksPerPrompt; ++block)
        spec.prefixBlocks.push_back(mixBits(prefix << 32U | block));
    return spec;
}

void printTimes(const char *what, std::vector<double> &microseconds)
{
    std::ranges::sort(microseconds);
    const auto at = [&](double probability) {
        return microseconds[static_cast<std::size_t>(
            probability * static_cast<double>(microseconds.size() - 1))];
    };
    double sum = 0;
    for (const double time : microseconds)
        sum += time;
    std::cout << "  " << what << ": mean " << sum / static_cast<double>(microseconds.size())
              << " us, median " << at(0.5) << " us, p99 " << at(0.99) << " us, p99.9 " << at(0.999)
              << " us, maximum " << microseconds.back() << " us\n";
}

/// Times submit and tick together, as the daemon calls them, with `backlog` requests waiting.
void measureTime(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t models,
                 std::uint32_t dataCentres, std::uint32_t hosts, std::uint32_t tiers,
                 bool saturated)
{
    constexpr int rounds = 50000;
    policy_options options;
    options.hostQueueBound = 1U << 20U;
    options.tierQueueBound = 1U << 20U;
    decision_core core(1, options);
    random_source random(2);
    core::instant now{std::chrono::hours(1)};
    core.configure(makeFleet(endpoints, accounts, models, dataCentres, hosts, tiers),
                   {"host-0", "dc-0"}, now);
    std::vector<request_id> running;
    std::vector<double> durations;
    std::uint64_t dispatched = 0;
    const std::size_t target = saturated ? 1U << 20U : 32;
    const auto collect = [&](const std::vector<decision> &newDecisions) {
        for (const auto &decision : newDecisions)
            if (decision.kind == decision_kind::Dispatch)
                running.push_back(decision.request);
    };
    if (saturated)
        for (int index = 0; index < 4000; ++index)
            (void)core.submit(makePrompt(random, accounts, models, tiers), now);
    collect(core.tick(now));
    for (int round = 0; round < rounds; ++round) {
        now += std::chrono::microseconds(500);
        auto spec = makePrompt(random, accounts, models, tiers);
        const auto begin = std::chrono::steady_clock::now();
        const auto id = core.submit(std::move(spec), now);
        const auto decisions = core.tick(now);
        const auto end = std::chrono::steady_clock::now();
        if (!id)
            continue;
        durations.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
        collect(decisions);
        dispatched += decisions.size();
        while (!running.empty() && (running.size() > target || saturated)) {
            const std::uint32_t index = random.below(static_cast<std::uint32_t>(running.size()));
            core.reportFirstToken(running[index], now);
            core.reportFinished(running[index], attempt_outcome::Completed, now);
            running[index] = running.back();
            running.pop_back();
            if (saturated)
                break;
        }
    }
    std::cout << endpoints << " endpoints, " << accounts << " callers, " << models << " models, "
              << (saturated ? "4000 waiting" : "no backlog") << ", " << dispatched
              << " dispatched\n";
    printTimes("submit and tick", durations);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

void measureMemory()
{
    constexpr std::uint32_t requests = 50000;
    policy_options options;
    options.hostQueueBound = 1U << 20U;
    options.tierQueueBound = 1U << 20U;
    decision_core core(1, options);
    random_source random(3);
    const core::instant now{std::chrono::hours(1)};
    core.configure(makeFleet(12, 10, 1, 3, 9, 3), {"host-0", "dc-0"}, now);
    const auto before = heapBytes();
    for (std::uint32_t index = 0; index < requests; ++index)
        (void)core.submit(makePrompt(random, 10, 1, 3), now);
    const auto used = static_cast<double>(heapBytes() - before) / requests;
    std::cout << "memory per queued request: " << used << " bytes, of which "
              << blocksPerPrompt * sizeof(std::uint64_t) << " are the hashes of its "
              << blocksPerPrompt << " prompt blocks\n";
}

} // namespace

int main()
{
    measureTime(12, 10, 1, 3, 9, 3, false);
    measureTime(12, 10, 1, 3, 9, 3, true);
    measureTime(1900, 450, 9, 4, 410, 5, false);
    measureTime(1900, 450, 9, 4, 410, 5, true);
    measureMemory();
    return 0;
}
