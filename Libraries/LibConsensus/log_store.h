#pragma once

#include "LibConsensus/consensus_error.h"
#include "LibConsensus/file_system.h"
#include "LibConsensus/log_record.h"
#include "LibConsensus/raft_core.h"
#include "LibConsensus/raft_message.h"
#include "LibCore/result.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace quetzalcleat::consensus {

struct log_store_options
{
    /// A new segment is started when the current one is larger.
    std::uint64_t segmentBytes = std::uint64_t{8} * 1024 * 1024;
    std::uint64_t maximumSnapshotBytes = std::uint64_t{512} * 1024 * 1024;
};

/// The group and member that a folder belongs to.
struct store_identity
{
    group_id group = 0;
    member_id self = 0; ///< newMemberId() for a new folder.

    bool operator==(const store_identity &) const = default;
};

/// Why a folder could not be opened and which file is at fault, for the operator.
struct store_problem
{
    std::error_code code;
    std::filesystem::path file;
    std::uint64_t offset = 0;
    std::string advice; ///< What the operator can do about it.
};

/// A member id from the operating system's random source; never 0.
member_id newMemberId();

/// Log, hard state and snapshots of one member of one group in one folder.
///
/// The log is a sequence of batches in segment files. A batch holds the hard state and entries, has
/// a number that grows by one, and is synced before the next one is written; so only the last batch
/// can be torn. After each sync its number is written to a hint file. A batch that cannot be read
/// is dropped only if it is the last one and the hint does not show it as synced. Otherwise opening
/// the folder fails.
///
/// After a failed write or sync the operating system may report data as written that never reaches
/// the disk. All further writes then fail until the store is reopened. Opening reads the last
/// segment and writes what it read to a new, synced file before it is used.
///
/// Not thread-safe; meant for one disk thread.
template <file_system Files>
class basic_log_store
{
public:
    /// Prepares an empty folder. The first members of a new cluster are created with the same
    /// `initial` membership; a member that joins later has none.
    /// Errors: FolderNotEmpty, FolderInUse, IdentityMissing and errors of the disk.
    static core::result<basic_log_store> create(const std::filesystem::path &folder,
                                                const store_identity &identity,
                                                const std::optional<membership> &initial,
                                                log_store_options options, Files files = {});

    /// Opens a folder and reads its content. EmptyFolder if no member has run there. On an error,
    /// `problem` is filled if it is given.
    static core::result<basic_log_store> open(const std::filesystem::path &folder,
                                              log_store_options options, Files files = {},
                                              store_problem *problem = nullptr);

    basic_log_store(basic_log_store &&other) noexcept;
    basic_log_store &operator=(basic_log_store &&other) noexcept;
    basic_log_store(const basic_log_store &) = delete;
    basic_log_store &operator=(const basic_log_store &) = delete;
    ~basic_log_store();

    const store_identity &identity() const { return m_identity; }

    /// The state that open() read or create() wrote. Moves it out, so it can be taken once.
    restored_state takeRestored();

    /// Writes the parts of a ready and syncs them: snapshotToInstall, hardState, entries. After an
    /// error all further writes fail.
    core::result<void> write(const ready &work);

    /// Writes a snapshot of this member's state machine and syncs it, then removes segments and
    /// snapshots that are not needed any more. Entries above `compactionIndex` are kept.
    core::result<void> saveSnapshot(const snapshot &saved, log_index compactionIndex);

    bool failed() const { return m_failed; }
    log_index lastIndex() const { return m_lastIndex; }
    std::size_t segmentCount() const { return m_segments.size(); }

private:
    struct segment
    {
        std::uint64_t firstBatch = 0;
        log_index highestIndex = 0; ///< Of its entries; 0 if it has none.
        std::uint64_t bytes = 0;
    };

    basic_log_store(std::filesystem::path folder, log_store_options options, Files files);

    /// The undamaged batches of the newest segment, which open() writes to a new file.
    struct tail_content
    {
        std::vector<std::byte> bytes;
        segment description;
    };

    std::filesystem::path segmentPath(std::uint64_t firstBatch) const;
    std::filesystem::path snapshotPath(log_index index) const;
    core::result<void> load(store_problem &problem);
    core::result<void> loadIdentity(const std::vector<std::string> &names, store_problem &problem);
    core::result<void> loadSnapshot(const std::vector<std::string> &names, store_problem &problem);
    core::result<void> loadSegments(const std::vector<std::string> &names, store_problem &problem);
    core::result<void> loadSegment(std::uint64_t firstBatch, bool newest, log_replay &replay,
                                   store_problem &problem);
    core::result<void> checkLog(log_replay &replay, store_problem &problem);
    core::result<void> rewriteTail();
    core::result<void> writeFile(const std::filesystem::path &path,
                                 std::span<const std::byte> bytes);
    core::result<void> startSegment(std::span<const std::byte> firstFrame);
    core::result<void> writeBatch(log_batch batch);
    core::result<void> writeEntries(const std::vector<log_entry> &entries,
                                    std::optional<log_position> reset);
    core::result<void> writeSnapshot(const snapshot &value);
    core::result<void> removeSegmentsUpTo(log_index index);
    core::result<void> removeOldSnapshots();
    core::result<void> failOnError(core::result<void> outcome);

    std::filesystem::path m_folder;
    log_store_options m_options;
    Files m_files;
    store_identity m_identity;
    restored_state m_restored;
    hard_state m_hardState;
    log_index m_lastIndex = 0;
    std::vector<log_index> m_snapshots; ///< Indexes of the snapshot files.
    std::uint64_t m_syncHint = 0;
    tail_content m_tail;
    std::vector<segment> m_segments;
    std::optional<typename Files::file_handle> m_current; ///< Newest segment.
    std::uint64_t m_nextBatch = 1;
    bool m_failed = false;
};

using log_store = basic_log_store<posix_files>;

extern template class basic_log_store<posix_files>;

} // namespace quetzalcleat::consensus
