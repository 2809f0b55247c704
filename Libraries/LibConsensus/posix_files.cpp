#include "LibConsensus/consensus_error.h"
#include "LibConsensus/file_system.h"

#include <cerrno>
#include <cstdio>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace quetzalcleat::consensus {

namespace {

consensus_error writeError()
{
    return errno == ENOSPC || errno == EDQUOT ? consensus_error::DiskFull
                                              : consensus_error::WriteFailed;
}

bool writeAll(int descriptor, std::span<const std::byte> bytes)
{
    while (!bytes.empty()) {
        const auto count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return false;
        bytes = bytes.subspan(static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace

posix_files::~posix_files()
{
    if (m_lock >= 0)
        ::close(m_lock);
}

posix_files::posix_files(posix_files &&other) noexcept : m_lock(std::exchange(other.m_lock, -1)) { }

posix_files &posix_files::operator=(posix_files &&other) noexcept
{
    std::swap(m_lock, other.m_lock);
    return *this;
}

core::result<int> posix_files::create(const std::filesystem::path &path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return writeError();
    return descriptor;
}

core::result<void> posix_files::append(file_handle handle, std::span<const std::byte> bytes)
{
    if (!writeAll(handle, bytes))
        return writeError();
    return {};
}

core::result<void> posix_files::sync(file_handle handle)
{
    // A second call after a failure may report success although the data is lost, so there is no
    // retry here.
    if (::fdatasync(handle) != 0)
        return consensus_error::SyncFailed;
    return {};
}

void posix_files::close(file_handle handle)
{
    ::close(handle);
}

core::result<void> posix_files::overwrite(const std::filesystem::path &path,
                                          std::span<const std::byte> bytes)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return writeError();
    const bool written = writeAll(descriptor, bytes);
    ::close(descriptor);
    if (!written)
        return consensus_error::WriteFailed;
    return {};
}

core::result<std::vector<std::byte>> posix_files::read(const std::filesystem::path &path,
                                                       std::uint64_t limit)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return consensus_error::ReadFailed;
    struct stat status = {};
    if (::fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode)) {
        ::close(descriptor);
        return consensus_error::ReadFailed;
    }
    if (static_cast<std::uint64_t>(status.st_size) > limit) {
        ::close(descriptor);
        return consensus_error::FileTooLarge;
    }
    std::vector<std::byte> content(static_cast<std::size_t>(status.st_size));
    std::size_t filled = 0;
    while (filled < content.size()) {
        const auto count = ::read(descriptor, content.data() + filled, content.size() - filled);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        filled += static_cast<std::size_t>(count);
    }
    ::close(descriptor);
    if (filled < content.size())
        return consensus_error::ReadFailed;
    return content;
}

core::result<void> posix_files::rename(const std::filesystem::path &from,
                                       const std::filesystem::path &to)
{
    if (std::rename(from.c_str(), to.c_str()) != 0)
        return writeError();
    return {};
}

core::result<void> posix_files::remove(const std::filesystem::path &path)
{
    if (::unlink(path.c_str()) != 0)
        return consensus_error::WriteFailed;
    return {};
}

core::result<void> posix_files::syncFolder(const std::filesystem::path &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return consensus_error::SyncFailed;
    const bool done = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!done)
        return consensus_error::SyncFailed;
    return {};
}

core::result<std::vector<std::string>> posix_files::list(const std::filesystem::path &path)
{
    std::error_code error;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator each(path, error), end; !error && each != end;
         each.increment(error))
        names.push_back(each->path().filename().string());
    if (error)
        return consensus_error::ReadFailed;
    return names;
}

core::result<void> posix_files::createFolder(const std::filesystem::path &path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return consensus_error::WriteFailed;
    return {};
}

core::result<void> posix_files::lockFolder(const std::filesystem::path &path)
{
    const auto file = path / "lock";
    m_lock = ::open(file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (m_lock < 0)
        return writeError();
    if (::flock(m_lock, LOCK_EX | LOCK_NB) != 0)
        return consensus_error::FolderInUse;
    return {};
}

} // namespace quetzalcleat::consensus
