#pragma once

#include "LibCore/result.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace quetzalcleat::consensus {

/// The disk operations that log_store needs. Errors are consensus_error values. Files are only
/// appended to, except by `overwrite`. Nothing is durable before `sync` of the file and, for a new,
/// renamed or removed name, `syncFolder` of its folder.
template <typename Files>
concept file_system
    = requires(Files files, const std::filesystem::path &path, std::span<const std::byte> bytes,
               typename Files::file_handle handle, std::uint64_t limit)
{
    /// Creates an empty file or empties an existing one.
    {
        files.create(path)
        } -> std::same_as<core::result<typename Files::file_handle>>;
    {
        files.append(handle, bytes)
        } -> std::same_as<core::result<void>>;
    {
        files.sync(handle)
        } -> std::same_as<core::result<void>>;
    {
        files.close(handle)
        } -> std::same_as<void>;
    /// Replaces a file's content in place, without sync. Only for hints that may be lost.
    {
        files.overwrite(path, bytes)
        } -> std::same_as<core::result<void>>;
    /// FileTooLarge if the file has more than `limit` bytes.
    {
        files.read(path, limit)
        } -> std::same_as<core::result<std::vector<std::byte>>>;
    {
        files.rename(path, path)
        } -> std::same_as<core::result<void>>;
    {
        files.remove(path)
        } -> std::same_as<core::result<void>>;
    {
        files.syncFolder(path)
        } -> std::same_as<core::result<void>>;
    /// Names in a folder, in any order.
    {
        files.list(path)
        } -> std::same_as<core::result<std::vector<std::string>>>;
    {
        files.createFolder(path)
        } -> std::same_as<core::result<void>>;
    /// Locks the folder against other processes until the object is destroyed. Error:
    /// FolderInUse.
    {
        files.lockFolder(path)
        } -> std::same_as<core::result<void>>;
};

/// The file system of the operating system.
class posix_files
{
public:
    using file_handle = int;

    posix_files() = default;
    ~posix_files();
    posix_files(posix_files &&other) noexcept;
    posix_files &operator=(posix_files &&other) noexcept;
    posix_files(const posix_files &) = delete;
    posix_files &operator=(const posix_files &) = delete;

    core::result<file_handle> create(const std::filesystem::path &path);
    core::result<void> append(file_handle handle, std::span<const std::byte> bytes);
    core::result<void> sync(file_handle handle);
    void close(file_handle handle);
    core::result<void> overwrite(const std::filesystem::path &path,
                                 std::span<const std::byte> bytes);
    core::result<std::vector<std::byte>> read(const std::filesystem::path &path,
                                              std::uint64_t limit);
    core::result<void> rename(const std::filesystem::path &from, const std::filesystem::path &to);
    core::result<void> remove(const std::filesystem::path &path);
    core::result<void> syncFolder(const std::filesystem::path &path);
    core::result<std::vector<std::string>> list(const std::filesystem::path &path);
    core::result<void> createFolder(const std::filesystem::path &path);
    core::result<void> lockFolder(const std::filesystem::path &path);

private:
    int m_lock = -1;
};

} // namespace quetzalcleat::consensus
