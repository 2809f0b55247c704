#include "addressed_fleet.h"

namespace quetzalcleat::peer::test {

class membership_changes : public addressed_fleet
{
protected:
    void SetUp() override
    {
        for (const auto &seed : seeds)
            startControl(seed, true);
    }

    std::string follower()
    {
        const auto at = waitForLeader();
        for (const auto &[ip, host] : controls) {
            if (ip != at)
                return ip;
        }
        return {};
    }
};

/// Guards against a log whose documents fill the disk and are all copied to a host that lost its
/// own, which takes longer than the others may be needed (review/1).
TEST_F(membership_changes, LongHistoryOfLargeDocumentsStaysSmall)
{
    constexpr std::size_t padding = std::size_t{300} * 1024;
    constexpr std::uint64_t changes = 160;
    for (std::uint64_t version = 1; version <= changes; ++version)
        ASSERT_EQ(write(version, padding), write_outcome::Accepted);
    // Less than two thirds of what was written, and more than a snapshot and the segments that
    // hold the entries behind and after it.
    constexpr std::uintmax_t bound = std::uintmax_t{30} * 1024 * 1024;
    static_assert(bound < changes * padding * 2 / 3);
    EXPECT_TRUE(until([&] {
        return std::all_of(seeds.begin(), seeds.end(),
                           [&](const std::string &seed) { return dataBytes(seed) < bound; });
    }));
    const auto emptied = follower();
    stopControl(emptied);
    removeData(emptied);
    startControl(emptied, false);
    ASSERT_TRUE(until([&] { return controls.at(emptied).service->isVoter(); }));
    constexpr std::uintmax_t copied = std::uintmax_t{10} * 1024 * 1024;
    EXPECT_LT(dataBytes(emptied), copied);
    EXPECT_EQ(newestVersion(), changes);
}

} // namespace quetzalcleat::peer::test
