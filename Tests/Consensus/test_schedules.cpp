#include "../../Utilities/explore-schedules/membership_schedule.h"
#include "../../Utilities/explore-schedules/simulated_cluster.h"

#include <gtest/gtest.h>

namespace explore = quetzalcleat::explore;

// Guards against any violation of the log's and the state's guarantees under message loss, network
// partitions, crashes, emptied disks, pauses and membership changes. To reproduce a failure, run
// build/bin/explore-schedules --schedules 1 --seed N.
TEST(Schedules, KeepEveryGuarantee)
{
    constexpr std::uint64_t firstSeed = 20261204;
    // The sanitizer build is about 60 times slower; 2,000 schedules take over 5 minutes in it.
#ifdef NDEBUG
    constexpr std::uint64_t schedules = 2000;
#else
    constexpr std::uint64_t schedules = 250;
#endif
    explore::schedule_statistics sums;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        explore::simulated_cluster cluster(seed);
        try {
            sums.add(cluster.run());
        } catch (const explore::invariant_violation &violation) {
            FAIL() << "seed " << seed << ": " << violation.what() << '\n' << cluster.describe();
        }
    }
    // The schedules must contain enough of each event to test anything.
    EXPECT_GT(sums.commits, schedules * 20);
    EXPECT_GT(sums.dispatches, schedules);
    EXPECT_GT(sums.crashes, sums.powerLosses);
    EXPECT_GT(sums.powerLosses, schedules);
    EXPECT_GT(sums.storeFailures, schedules / 10);
    EXPECT_GT(sums.emptiedDisks, schedules / 10);
    EXPECT_GT(sums.pauses, schedules / 10);
    EXPECT_GT(sums.replacements, schedules / 10);
    EXPECT_GT(sums.installedSnapshots, schedules / 10);
    EXPECT_GT(sums.transfers, schedules / 20);
    EXPECT_GT(sums.leaseChecks, schedules * 20);
}

// Guards against any state of a membership change in which the next permitted loss of hosts takes
// the majority: hosts that come back empty, catch up, are replaced, lose their disk again, leave as
// planned or freeze, in groups of 3 and 5, with small and large states and logs. To reproduce a
// failure, run build/bin/explore-schedules --membership --schedules 1 --seed N.
TEST(Schedules, MembershipChangesKeepAMajority)
{
    constexpr std::uint64_t firstSeed = 20261205;
#ifdef NDEBUG
    constexpr std::uint64_t schedules = 2000;
#else
    constexpr std::uint64_t schedules = 150;
#endif
    explore::membership_statistics sums;
    for (auto seed = firstSeed; seed < firstSeed + schedules; ++seed) {
        explore::membership_schedule schedule(seed);
        try {
            sums.add(schedule.run());
        } catch (const explore::invariant_violation &violation) {
            FAIL() << "seed " << seed << ": " << violation.what() << '\n' << schedule.describe();
        }
    }
    EXPECT_GT(sums.commits, schedules * 20);
    EXPECT_GT(sums.lostDisks, schedules);
    EXPECT_GT(sums.repeatedLosses, schedules);
    EXPECT_GT(sums.plannedReplacements, schedules / 4);
    EXPECT_GT(sums.unplannedReplacements, schedules / 4);
    EXPECT_GT(sums.replacedSuccessors, schedules / 10);
    EXPECT_GT(sums.restarts, schedules / 4);
    EXPECT_GT(sums.plannedStops, schedules / 4);
    EXPECT_GT(sums.freezes, schedules / 4);
    EXPECT_GT(sums.installedSnapshots, schedules / 4);
    EXPECT_GT(sums.largeLogs, schedules / 4);
}

// Guards against results that cannot be reproduced from a seed.
TEST(Schedules, AreTheSameForTheSameSeed)
{
    const auto first = explore::simulated_cluster(7).run();
    const auto second = explore::simulated_cluster(7).run();
    EXPECT_EQ(first.commits, second.commits);
    EXPECT_EQ(first.crashes, second.crashes);
    EXPECT_EQ(first.leaseChecks, second.leaseChecks);
}
