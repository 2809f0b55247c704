#include "../../Utilities/explore-schedules/simulated_files.h"
#include "LibConsensus/log_store_implementation.h"
#include "raft_fixture.h"

#include <gtest/gtest.h>

using namespace quetzalcleat::consensus;
using namespace quetzalcleat::consensus::test;
using quetzalcleat::explore::schedule_random;
using quetzalcleat::explore::simulated_disk;
using quetzalcleat::explore::simulated_files;

namespace {

using store = basic_log_store<simulated_files>;
constexpr const char *folder = "/data";

ready entries(log_index first, log_index last, term_number term = 2)
{
    ready work;
    work.hardState = hard_state{term, 1, first - 1};
    for (auto index = first; index <= last; ++index)
        work.entries.push_back(command(term, index));
    return work;
}

class log_store_test : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(store::create(folder, {0, 7}, voters({7}), {}, simulated_files(disk)));
    }

    quetzalcleat::core::result<store> open()
    {
        return store::open(folder, storeOptions, simulated_files(disk), &problem);
    }

    void write(const std::vector<ready> &parts)
    {
        auto opened = open();
        ASSERT_TRUE(opened);
        for (const auto &part : parts)
            ASSERT_TRUE(opened.value().write(part));
    }

    restored_state reopen()
    {
        auto opened = open();
        EXPECT_TRUE(opened) << problem.code.message();
        return opened ? opened.value().takeRestored() : restored_state();
    }

    std::vector<std::byte> &newestSegment()
    {
        std::string newest;
        for (const auto &[name, file] : disk->names) {
            if (name.starts_with("log-"))
                newest = name;
        }
        return disk->names[newest]->visible;
    }

    std::shared_ptr<simulated_disk> disk = std::make_shared<simulated_disk>();
    log_store_options storeOptions;
    store_problem problem;
    schedule_random random{20261204};
};

snapshot snapshotAt(log_index index)
{
    const std::vector<std::byte> content(10, std::byte{5});
    return {{2, index}, voters({7}), std::make_shared<const std::vector<std::byte>>(content)};
}

} // namespace

// Guards against lost or changed entries and hard state after a restart.
TEST_F(log_store_test, ReadsBackWhatWasWritten)
{
    write({entries(2, 4), entries(4, 5, 3)});
    const auto restored = reopen();
    EXPECT_EQ(restored.hardState, (hard_state{3, 1, 3}));
    ASSERT_EQ(restored.entries.size(), 5U);
    EXPECT_EQ(restored.entries[2], command(2, 3));
    EXPECT_EQ(restored.entries[3], command(3, 4));
}

// Guards against acknowledged entries that are lost in a power failure.
TEST_F(log_store_test, SyncedEntriesSurviveALossOfPower)
{
    for (log_index index = 2; index < 40; ++index) {
        write({entries(index, index)});
        disk->losePower(random);
        EXPECT_EQ(reopen().entries.size(), index);
    }
}

// Guards against a torn batch, which was never acknowledged, that keeps the member from starting.
TEST_F(log_store_test, DropsATornTail)
{
    write({entries(2, 3)});
    auto opened = open();
    disk->operationsLeft = 1; // The batch is written, but the process is killed in the sync.
    EXPECT_FALSE(opened.value().write(entries(4, 9)));
    disk->operationsLeft.reset();
    auto &bytes = newestSegment();
    bytes.resize(bytes.size() - 5);
    EXPECT_EQ(reopen().entries.size(), 3U);
    write({entries(4, 4)});
    EXPECT_EQ(reopen().entries.size(), 4U);
}

// Guards against acknowledged entries that are dropped as a torn tail.
TEST_F(log_store_test, RefusesAnAcknowledgedTail)
{
    write({entries(2, 3), entries(4, 5)});
    const auto whole = newestSegment();
    newestSegment().resize(whole.size() - 5);
    EXPECT_EQ(open().error(), consensus_error::CorruptRecord);
    newestSegment() = whole;
    newestSegment().back() ^= std::byte{1};
    EXPECT_EQ(open().error(), consensus_error::CorruptRecord);
    // A later batch also shows that the damaged one was synced.
    disk->names.erase("synced");
    newestSegment() = whole;
    const auto second = segmentHeaderBytes
        + decodeBatch(std::span(whole).subspan(segmentHeaderBytes))->frameBytes;
    newestSegment()[second + 40] ^= std::byte{1};
    EXPECT_EQ(open().error(), consensus_error::CorruptRecord);
    EXPECT_FALSE(problem.advice.empty());
    EXPECT_EQ(problem.offset, second);
}

// Guards against a write after a failed one, which could leave a gap in the log.
TEST_F(log_store_test, StaysFailedUntilReopened)
{
    auto opened = open();
    disk->freeBytes = 20;
    EXPECT_EQ(opened.value().write(entries(2, 3)).error(), consensus_error::DiskFull);
    disk->freeBytes.reset();
    EXPECT_EQ(opened.value().write(entries(2, 3)).error(), consensus_error::StoreFailed);
    EXPECT_TRUE(opened.value().failed());
    EXPECT_EQ(reopen().entries.size(), 1U);
}

// Guards against data that the operating system still returns after a failed sync but never writes
// to the disk.
TEST_F(log_store_test, TrustsNothingAfterAFailedSync)
{
    auto opened = open();
    disk->failNextSync = true;
    EXPECT_EQ(opened.value().write(entries(2, 3)).error(), consensus_error::SyncFailed);
    const auto seen = reopen().entries.size();
    disk->losePower(random);
    EXPECT_EQ(reopen().entries.size(), seen);
}

// Guards against segments that are removed too early or never, and against missing ones.
TEST_F(log_store_test, SnapshotsReplaceOldSegments)
{
    storeOptions.segmentBytes = 200;
    auto opened = open();
    for (log_index index = 2; index <= 40; ++index)
        ASSERT_TRUE(opened.value().write(entries(index, index)));
    const auto before = opened.value().segmentCount();
    ASSERT_TRUE(opened.value().saveSnapshot(snapshotAt(35), 30));
    EXPECT_LT(opened.value().segmentCount(), before);
    auto restored = reopen();
    ASSERT_TRUE(restored.latestSnapshot);
    EXPECT_EQ(restored.latestSnapshot->last, (log_position{2, 35}));
    EXPECT_LE(restored.entries.front().position.index, 31U);
    EXPECT_EQ(restored.entries.back().position.index, 40U);

    std::string first;
    for (const auto &[name, file] : disk->names) {
        if (name.starts_with("log-") && (first.empty() || name < first))
            first = name;
    }
    const auto next = std::next(disk->names.find(first));
    ASSERT_TRUE(next->first.starts_with("log-"));
    disk->names.erase(next);
    EXPECT_EQ(open().error(), consensus_error::MissingSegment);
}

// Guards against an installed snapshot that is combined with the discarded log before it. The store
// once removed the segment it had just started, because an empty one had the same number.
TEST_F(log_store_test, InstalledSnapshotStartsTheLogAnew)
{
    storeOptions.segmentBytes = 1; // Every batch begins a segment.
    write({entries(2, 3)});
    auto opened = open();
    disk->operationsLeft = 2;
    EXPECT_FALSE(opened.value().write(entries(4, 4)));
    disk->operationsLeft.reset();
    newestSegment().resize(10); // Its header is torn.
    ready work = entries(51, 52);
    work.snapshotToInstall = snapshotAt(50);
    write({work, entries(53, 53)});
    const auto restored = reopen();
    ASSERT_TRUE(restored.latestSnapshot);
    EXPECT_EQ(restored.latestSnapshot->last.index, 50U);
    ASSERT_EQ(restored.entries.size(), 3U);
    EXPECT_EQ(restored.entries.front().position.index, 51U);
}

// Guards against a damaged snapshot that is loaded, and a missing one that is not detected.
TEST_F(log_store_test, RefusesDamagedSnapshots)
{
    ready work = entries(51, 52);
    work.snapshotToInstall = snapshotAt(50);
    write({work});
    const auto name = "snapshot-00000000000000000050";
    disk->names[name]->visible[30] ^= std::byte{1};
    EXPECT_EQ(open().error(), consensus_error::CorruptSnapshot);
    disk->names.erase(name);
    EXPECT_EQ(open().error(), consensus_error::CorruptSnapshot);
}

// Guards against a member that forgets its votes because its identity was lost.
TEST_F(log_store_test, RefusesALostIdentity)
{
    write({entries(2, 3)});
    disk->names["identity"]->visible[14] ^= std::byte{1};
    EXPECT_EQ(open().error(), consensus_error::IdentityCorrupt);
    disk->names.erase("identity");
    EXPECT_EQ(open().error(), consensus_error::IdentityMissing);
    EXPECT_EQ(store::create(folder, {0, 9}, {}, {}, simulated_files(disk)).error(),
              consensus_error::IdentityMissing);
    disk->names.clear();
    EXPECT_EQ(open().error(), consensus_error::EmptyFolder);
}

// Guards against a host that cannot start because its process was killed while it created the
// folder.
TEST_F(log_store_test, InterruptedCreationCanBeRepeated)
{
    for (std::size_t operations = 0; operations < 12; ++operations) {
        disk->names.clear();
        disk->durableNames.clear();
        disk->operationsLeft = operations;
        const bool created
            = store::create(folder, {0, 7}, voters({7}), {}, simulated_files(disk)).hasValue();
        disk->losePower(random);
        const auto opened = open();
        EXPECT_TRUE(opened || !created) << operations;
        if (opened)
            continue;
        EXPECT_EQ(opened.error(), consensus_error::EmptyFolder) << operations;
        EXPECT_TRUE(store::create(folder, {0, 8}, {}, {}, simulated_files(disk))) << operations;
    }
}

// Guards against a single damaged byte that changes or removes acknowledged state undetected.
TEST_F(log_store_test, DetectsEveryDamagedByte)
{
    storeOptions.segmentBytes = 150;
    ready install = entries(21, 22);
    install.snapshotToInstall = snapshotAt(20);
    write({install, entries(23, 24), entries(25, 25, 3)});
    const auto expected = reopen();
    std::vector<std::string> names;
    for (const auto &each : disk->names)
        names.push_back(each.first);
    for (const auto &name : names) {
        const auto whole = disk->names[name]->visible;
        for (std::size_t i = 0; i < whole.size(); ++i) {
            disk->names[name]->visible[i] ^= std::byte{1};
            if (auto opened = open()) {
                const auto found = opened.value().takeRestored();
                EXPECT_EQ(found.hardState, expected.hardState) << name << ' ' << i;
                EXPECT_EQ(found.entries, expected.entries) << name << ' ' << i;
                EXPECT_EQ(*found.latestSnapshot->content, *expected.latestSnapshot->content);
                EXPECT_EQ(name, "synced") << i;
            }
            disk->names[name]->visible = whole;
        }
    }
}

// Guards against two processes in one folder, and against differences between the simulated disk
// and the real one.
TEST(PosixFiles, StoreOnTheRealDisk)
{
    const auto path = std::filesystem::temp_directory_path()
        / ("quetzalcleat-store-" + std::to_string(newMemberId()));
    EXPECT_EQ(log_store::open(path, {}).error(), consensus_error::EmptyFolder);
    {
        auto created = log_store::create(path, {0, 7}, voters({7}), {});
        ASSERT_TRUE(created);
        EXPECT_EQ(log_store::open(path, {}).error(), consensus_error::FolderInUse);
        ASSERT_TRUE(created.value().write(entries(2, 20)));
        ASSERT_TRUE(created.value().saveSnapshot(snapshotAt(10), 5));
    }
    auto opened = log_store::open(path, {});
    ASSERT_TRUE(opened);
    const auto restored = opened.value().takeRestored();
    EXPECT_EQ(restored.entries.size(), 20U);
    EXPECT_TRUE(restored.latestSnapshot);
    std::filesystem::remove_all(path);
}
