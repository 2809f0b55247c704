#include "membership_schedule.h"
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

template <typename Statistics>
struct exploration
{
    exploration(std::uint64_t seed, std::uint64_t count) : firstSeed(seed), schedules(count) { }

    std::uint64_t firstSeed;
    std::uint64_t schedules;
    std::atomic<std::uint64_t> next = 0;
    std::atomic<bool> failed = false;
    std::mutex mutex;
    Statistics statistics;
};

template <typename Schedule, typename Statistics>
void runSchedules(exploration<Statistics> &all)
{
    Statistics own;
    while (!all.failed) {
        const auto number = all.next++;
        if (number >= all.schedules)
            break;
        const auto seed = all.firstSeed + number;
        Schedule schedule(seed);
        try {
            own.add(schedule.run());
        } catch (const explore::invariant_violation &violation) {
            const std::lock_guard lock(all.mutex);
            std::cout << "violated with seed " << seed << ": " << violation.what() << '\n'
                      << schedule.describe();
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

void print(const explore::membership_statistics &sums)
{
    std::cout << "committed entries " << sums.commits << ", lost disks " << sums.lostDisks
              << ", of them before the host counted again " << sums.repeatedLosses
              << ", planned replacements " << sums.plannedReplacements << ", unplanned "
              << sums.unplannedReplacements << ", replaced successors " << sums.replacedSuccessors
              << ", kills " << sums.restarts << ", planned stops " << sums.plannedStops
              << ", freezes " << sums.freezes << ", installed snapshots " << sums.installedSnapshots
              << ", long logs " << sums.largeLogs << ", longest time without a leader "
              << sums.longestWithoutLeader.count() << " ms\n";
}

template <typename Schedule, typename Statistics>
int exploreAll(exploration<Statistics> &all, unsigned threads)
{
    const auto start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> workers;
        for (unsigned i = 0; i < threads; ++i)
            workers.emplace_back([&all] { runSchedules<Schedule>(all); });
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
    std::uint64_t schedules = 1000;
    std::uint64_t firstSeed = 1;
    unsigned threads = 1;
    bool membership = false;
    std::string folder;
    application.add_option("--schedules", schedules, "Number of schedules");
    application.add_option("--seed", firstSeed,
                           "Seed of the first schedule; each following one adds 1");
    application.add_flag("--membership", membership,
                         "Schedules of lost disks and replaced hosts instead of faults of the log");
    application.add_option("--threads", threads, "Threads")->check(CLI::Range(1, 64));
    application.add_option("--measure-recovery", folder,
                           "Instead measure recovery from logs written below this folder");
    CLI11_PARSE(application, argc, argv);
    if (!folder.empty())
        return explore::measureRecovery(folder) ? 0 : 1;
    if (membership) {
        exploration<explore::membership_statistics> all(firstSeed, schedules);
        return exploreAll<explore::membership_schedule>(all, threads);
    }
    exploration<explore::schedule_statistics> all(firstSeed, schedules);
    return exploreAll<explore::simulated_cluster>(all, threads);
}
