#include "recovery_measurement.h"
#include "simulated_cluster.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

namespace explore = quetzalcleat::explore;

namespace {

struct exploration
{
    std::uint64_t firstSeed = 1;
    std::uint64_t schedules = 1000;
    std::atomic<std::uint64_t> next = 0;
    std::atomic<bool> failed = false;
    std::mutex mutex;
    explore::schedule_statistics statistics;
};

void runSchedules(exploration &all)
{
    explore::schedule_statistics own;
    while (!all.failed) {
        const auto number = all.next++;
        if (number >= all.schedules)
            break;
        const auto seed = all.firstSeed + number;
        explore::simulated_cluster cluster(seed);
        try {
            own.add(cluster.run());
        } catch (const explore::invariant_violation &violation) {
            const std::lock_guard lock(all.mutex);
            std::cout << "violated with seed " << seed << ": " << violation.what() << '\n'
                      << cluster.describe();
            all.failed = true;
        }
    }
    const std::lock_guard lock(all.mutex);
    all.statistics.add(own);
}

void print(const explore::schedule_statistics &sums)
{
    std::cout << "committed entries " << sums.commits << ", crashes " << sums.crashes
              << ", power losses " << sums.powerLosses << ", failed stores " << sums.storeFailures
              << ", pauses " << sums.pauses << ", emptied disks " << sums.emptiedDisks
              << ", replaced voters " << sums.replacements << ", installed snapshots "
              << sums.installedSnapshots << ", transfers " << sums.transfers << ", lease checks "
              << sums.leaseChecks << ", dispatched calls " << sums.dispatches << '\n';
}

int exploreAll(exploration &all, unsigned threads)
{
    const auto start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> workers;
        for (unsigned i = 0; i < threads; ++i)
            workers.emplace_back([&all] { runSchedules(all); });
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const auto done = std::min(all.next.load(), all.schedules);
    std::cout << done << " schedules in " << elapsed.count() << " s, "
              << static_cast<double>(done) / elapsed.count() << " per second with " << threads
              << " threads, first seed " << all.firstSeed << '\n';
    print(all.statistics);
    std::cout << (all.failed ? "FAILED" : "no guarantee violated") << '\n';
    return all.failed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App application("Runs random schedules of the replicated log and checks its guarantees");
    exploration all;
    unsigned threads = 1;
    std::string folder;
    application.add_option("--schedules", all.schedules, "Number of schedules");
    application.add_option("--seed", all.firstSeed,
                           "Seed of the first schedule; each following one adds 1");
    application.add_option("--threads", threads, "Threads")->check(CLI::Range(1, 64));
    application.add_option("--measure-recovery", folder,
                           "Instead measure recovery from logs written below this folder");
    CLI11_PARSE(application, argc, argv);
    if (!folder.empty())
        return explore::measureRecovery(folder) ? 0 : 1;
    return exploreAll(all, threads);
}
