#pragma once

#include "LibConsensus/file_system.h"
#include "schedule_random.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace quetzalcleat::explore {

/// A disk in memory that distinguishes what a process sees from what survives a power loss.
struct simulated_disk
{
    struct file
    {
        std::vector<std::byte> visible;
        std::vector<std::byte> durable;
        bool appendOnly = true; ///< `visible` begins with `durable`.
        /// The unsynced bytes stay visible, but no later sync makes them durable.
        bool syncFailed = false;
    };

    std::map<std::string, std::shared_ptr<file>> names;
    std::map<std::string, std::shared_ptr<file>> durableNames;

    bool failNextSync = false;
    /// Operations that succeed before all others fail, as if the process had been killed.
    std::optional<std::size_t> operationsLeft;
    std::optional<std::size_t> freeBytes;

    /// Drops all or part of what was not synced. A part that is kept may be corrupted.
    void losePower(schedule_random &random);
    void clearFaults();
};

/// Satisfies consensus::file_system on a simulated_disk.
class simulated_files
{
public:
    using file_handle = std::shared_ptr<simulated_disk::file>;
    using path = std::filesystem::path;

    simulated_files() = default;
    explicit simulated_files(std::shared_ptr<simulated_disk> disk) : m_disk(std::move(disk)) { }

    core::result<file_handle> create(const path &name);
    core::result<void> append(const file_handle &handle, std::span<const std::byte> bytes);
    core::result<void> sync(const file_handle &handle);
    void close(const file_handle &) { }
    core::result<void> overwrite(const path &name, std::span<const std::byte> bytes);
    core::result<std::vector<std::byte>> read(const path &name, std::uint64_t limit);
    core::result<void> rename(const path &from, const path &to);
    core::result<void> remove(const path &name);
    core::result<void> syncFolder(const path &);
    core::result<std::vector<std::string>> list(const path &);
    core::result<void> createFolder(const path &) { return {}; }
    core::result<void> lockFolder(const path &) { return {}; }

private:
    bool operationFails();

    std::shared_ptr<simulated_disk> m_disk;
};

} // namespace quetzalcleat::explore
