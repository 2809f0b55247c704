#pragma once

// The member functions of basic_log_store, for files that instantiate it with their own file
// system. Other code includes log_store.h only.

#include "LibConsensus/log_store.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace quetzalcleat::consensus {

namespace detail {

constexpr std::string_view segmentPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view temporarySuffix = ".tmp";
constexpr const char *identityName = "identity";
constexpr const char *syncHintName = "synced";
/// Added to the configured size of a segment to bound its file: one batch may exceed that size.
constexpr std::uint64_t segmentSlackBytes = 2 * std::uint64_t{maximumBatchBytes};
constexpr std::size_t numberDigits = 20;

constexpr const char *replaceFolderAdvice
    = "stop the process, move the data folder away and start with an empty folder; the host "
      "rejoins under a new member id as a learner and receives the log from the others";

inline std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    return std::string(prefix) + std::string(numberDigits - digits.size(), '0') + digits;
}

/// Numbers of the files with this prefix, in ascending order.
inline std::vector<std::uint64_t> numbersOf(const std::vector<std::string> &names,
                                            std::string_view prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &name : names) {
        if (name.size() != prefix.size() + numberDigits || !name.starts_with(prefix))
            continue;
        std::uint64_t number = 0;
        const auto *end = name.data() + name.size();
        const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            numbers.push_back(number);
    }
    std::ranges::sort(numbers);
    return numbers;
}

inline std::error_code reportProblem(store_problem &problem, consensus_error error,
                                     std::filesystem::path file, std::uint64_t offset = 0,
                                     std::string advice = replaceFolderAdvice)
{
    problem = {error, std::move(file), offset, std::move(advice)};
    return error;
}

} // namespace detail

template <file_system Files>
basic_log_store<Files>::basic_log_store(std::filesystem::path folder, log_store_options options,
                                        Files files)
    : m_folder(std::move(folder)), m_options(options), m_files(std::move(files))
{
}

template <file_system Files>
basic_log_store<Files>::basic_log_store(basic_log_store &&other) noexcept
    : m_folder(std::move(other.m_folder)), m_options(other.m_options),
      m_files(std::move(other.m_files)), m_identity(other.m_identity),
      m_restored(std::move(other.m_restored)), m_hardState(other.m_hardState),
      m_lastIndex(other.m_lastIndex), m_snapshots(std::move(other.m_snapshots)),
      m_syncHint(other.m_syncHint), m_tail(std::move(other.m_tail)),
      m_segments(std::move(other.m_segments)),
      m_current(std::exchange(other.m_current, std::nullopt)), m_nextBatch(other.m_nextBatch),
      m_failed(std::exchange(other.m_failed, true))
{
}

template <file_system Files>
basic_log_store<Files> &basic_log_store<Files>::operator=(basic_log_store &&other) noexcept
{
    if (this != &other) {
        this->~basic_log_store();
        new (this) basic_log_store(std::move(other));
    }
    return *this;
}

template <file_system Files>
basic_log_store<Files>::~basic_log_store()
{
    if (m_current)
        m_files.close(*m_current);
}

template <file_system Files>
core::result<basic_log_store<Files>>
basic_log_store<Files>::create(const std::filesystem::path &folder, const store_identity &identity,
                               const std::optional<membership> &initial, log_store_options options,
                               Files files)
{
    basic_log_store store(folder, options, std::move(files));
    if (const auto made = store.m_files.createFolder(folder); !made)
        return made.error();
    if (const auto locked = store.m_files.lockFolder(folder); !locked)
        return locked.error();
    const auto names = store.m_files.list(folder);
    if (!names)
        return names.error();
    if (std::ranges::find(names.value(), detail::identityName) != names.value().end())
        return consensus_error::FolderNotEmpty;
    store_problem problem;
    if (const auto loaded = store.loadIdentity(names.value(), problem);
        loaded.error() != consensus_error::EmptyFolder)
        return loaded.error();

    // The identity is written last: after a crash before that the folder counts as empty.
    store.m_identity = identity;
    log_batch first;
    first.number = store.m_nextBatch++;
    if (initial) {
        first.hardState = {1, 0, 1};
        first.entries.push_back({{1, 1}, entry_kind::Membership, encodeMembership(*initial)});
    }
    store.m_hardState = first.hardState;
    store.m_lastIndex = first.entries.size();
    store.m_restored.hardState = first.hardState;
    store.m_restored.entries = first.entries;
    store.m_segments.push_back({first.number, store.m_lastIndex, 0});
    if (const auto written = store.startSegment(encodeBatch(first)); !written)
        return written.error();
    const auto written = store.writeFile(folder / detail::identityName, encodeIdentity(identity));
    if (!written)
        return written.error();
    if (const auto done = store.m_files.syncFolder(folder.parent_path()); !done)
        return done.error();
    return store;
}

template <file_system Files>
core::result<basic_log_store<Files>>
basic_log_store<Files>::open(const std::filesystem::path &folder, log_store_options options,
                             Files files, store_problem *problem)
{
    basic_log_store store(folder, options, std::move(files));
    store_problem found;
    const auto loaded = store.load(found);
    if (loaded)
        return store;
    if (problem != nullptr) {
        if (!found.code)
            found = {loaded.error(), folder, 0,
                     "check the disk and its free space, then start the process again"};
        *problem = std::move(found);
    }
    return loaded.error();
}

template <file_system Files>
restored_state basic_log_store<Files>::takeRestored()
{
    return std::exchange(m_restored, {});
}

template <file_system Files>
std::filesystem::path basic_log_store<Files>::segmentPath(std::uint64_t firstBatch) const
{
    return m_folder / detail::numberedName(detail::segmentPrefix, firstBatch);
}

template <file_system Files>
std::filesystem::path basic_log_store<Files>::snapshotPath(log_index index) const
{
    return m_folder / detail::numberedName(detail::snapshotPrefix, index);
}

// Opening

template <file_system Files>
core::result<void> basic_log_store<Files>::load(store_problem &problem)
{
    // A folder that does not exist is an empty one; its creation is left to create().
    auto names = m_files.list(m_folder);
    if (!names)
        return detail::reportProblem(problem, consensus_error::EmptyFolder, m_folder, 0, {});
    if (const auto locked = m_files.lockFolder(m_folder); !locked)
        return locked.error();
    for (const auto &name : names.value()) {
        if (!name.ends_with(detail::temporarySuffix))
            continue;
        if (const auto removed = m_files.remove(m_folder / name); !removed)
            return removed.error();
    }
    if (const auto loaded = loadIdentity(names.value(), problem); !loaded)
        return loaded;
    if (const auto hint = m_files.read(m_folder / detail::syncHintName, 4096); hint)
        m_syncHint = decodeSyncHint(hint.value());
    if (const auto loaded = loadSnapshot(names.value(), problem); !loaded)
        return loaded;
    if (const auto loaded = loadSegments(names.value(), problem); !loaded)
        return loaded;
    return rewriteTail();
}

template <file_system Files>
core::result<void> basic_log_store<Files>::loadIdentity(const std::vector<std::string> &names,
                                                        store_problem &problem)
{
    const auto path = m_folder / detail::identityName;
    if (std::ranges::find(names, detail::identityName) == names.end()) {
        // create() writes the first segment before the identity. A later segment or a snapshot
        // means that a member ran here and may have voted under the lost identity.
        const auto segments = detail::numbersOf(names, detail::segmentPrefix);
        const bool memberHasRun = segments.size() > 1 || (!segments.empty() && segments.front() > 1)
            || !detail::numbersOf(names, detail::snapshotPrefix).empty();
        if (memberHasRun)
            return detail::reportProblem(problem, consensus_error::IdentityMissing, path);
        if (!segments.empty()) {
            const auto content
                = m_files.read(segmentPath(1), m_options.segmentBytes + detail::segmentSlackBytes);
            if (!content)
                return content.error();
            if (containsLaterBatch(content.value(), 1))
                return detail::reportProblem(problem, consensus_error::IdentityMissing, path);
        }
        return detail::reportProblem(problem, consensus_error::EmptyFolder, m_folder, 0, {});
    }
    const auto content = m_files.read(path, 4096);
    if (!content)
        return content.error();
    const auto identity = decodeIdentity(content.value());
    if (!identity)
        return detail::reportProblem(problem, consensus_error::IdentityCorrupt, path);
    m_identity = *identity;
    return {};
}

template <file_system Files>
core::result<void> basic_log_store<Files>::loadSnapshot(const std::vector<std::string> &names,
                                                        store_problem &problem)
{
    m_snapshots = detail::numbersOf(names, detail::snapshotPrefix);
    if (m_snapshots.empty())
        return {};
    // A snapshot gets its final name only once it is synced, so the newest one must be complete.
    const auto path = snapshotPath(m_snapshots.back());
    constexpr std::uint64_t overheadBytes = std::uint64_t{64} * 1024;
    const auto content = m_files.read(path, m_options.maximumSnapshotBytes + overheadBytes);
    if (!content)
        return detail::reportProblem(problem, consensus_error::CorruptSnapshot, path);
    auto decoded = decodeSnapshotFile(content.value(), m_identity);
    if (!decoded || decoded.value().last.index != m_snapshots.back())
        return detail::reportProblem(problem, consensus_error::CorruptSnapshot, path);
    m_restored.latestSnapshot = std::move(decoded).value();
    return {};
}

template <file_system Files>
core::result<void> basic_log_store<Files>::loadSegments(const std::vector<std::string> &names,
                                                        store_problem &problem)
{
    const auto numbers = detail::numbersOf(names, detail::segmentPrefix);
    if (numbers.empty())
        return detail::reportProblem(problem, consensus_error::MissingSegment, m_folder);
    m_nextBatch = numbers.front();
    // This batch was synced before older segments were removed and before the identity was written.
    m_syncHint = std::max(m_syncHint, numbers.front());
    log_replay replay;
    for (const auto number : numbers) {
        if (number != m_nextBatch)
            return detail::reportProblem(problem, consensus_error::MissingSegment,
                                         segmentPath(m_nextBatch));
        const auto loaded = loadSegment(number, number == numbers.back(), replay, problem);
        if (!loaded)
            return loaded;
    }
    if (m_nextBatch <= m_syncHint)
        return detail::reportProblem(problem, consensus_error::CorruptRecord,
                                     segmentPath(numbers.back()), m_tail.bytes.size());
    return checkLog(replay, problem);
}

template <file_system Files>
core::result<void> basic_log_store<Files>::loadSegment(std::uint64_t firstBatch, bool newest,
                                                       log_replay &replay, store_problem &problem)
{
    const auto path = segmentPath(firstBatch);
    auto content = m_files.read(path, m_options.segmentBytes + detail::segmentSlackBytes);
    if (!content)
        return detail::reportProblem(problem, consensus_error::CorruptRecord, path);
    const std::span<const std::byte> bytes(content.value());
    segment description{firstBatch, 0, 0};
    std::size_t offset = 0;
    if (hasSegmentHeader(bytes, m_identity, firstBatch)) {
        offset = segmentHeaderBytes;
        while (offset < bytes.size()) {
            auto decoded = decodeBatch(bytes.subspan(offset));
            if (!decoded || decoded->batch.number != m_nextBatch)
                break;
            offset += decoded->frameBytes;
            ++m_nextBatch;
            for (const auto &entry : decoded->batch.entries)
                description.highestIndex = std::max(description.highestIndex, entry.position.index);
            if (!replay.apply(std::move(decoded->batch)))
                return detail::reportProblem(problem, consensus_error::CorruptRecord, path, offset);
        }
    }
    // What follows may be a torn batch. It was never synced, and so never acknowledged, only if it
    // is the last batch of the log and the hint does not show it as synced.
    const bool damaged = offset < bytes.size() || offset == 0;
    const bool acknowledged = !newest || m_nextBatch <= m_syncHint
        || containsLaterBatch(bytes.subspan(offset), m_nextBatch);
    if (damaged && acknowledged)
        return detail::reportProblem(problem, consensus_error::CorruptRecord, path, offset);
    description.bytes = offset;
    m_segments.push_back(description);
    if (newest)
        m_tail
            = {{bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(offset)}, description};
    return {};
}

template <file_system Files>
core::result<void> basic_log_store<Files>::checkLog(log_replay &replay, store_problem &problem)
{
    m_hardState = replay.hardState();
    auto entries = replay.takeEntries();
    const auto snapshotIndex
        = m_restored.latestSnapshot ? m_restored.latestSnapshot->last.index : 0;
    const auto resetIndex = replay.reset() ? replay.reset()->index : 0;
    const auto firstIndex = entries.empty() ? resetIndex + 1 : entries.front().position.index;
    if (firstIndex > snapshotIndex + 1)
        return detail::reportProblem(problem,
                                     snapshotIndex < resetIndex ? consensus_error::CorruptSnapshot
                                                                : consensus_error::MissingSegment,
                                     m_folder);
    m_lastIndex = entries.empty() ? resetIndex : entries.back().position.index;
    m_restored.hardState = m_hardState;
    m_restored.entries = std::move(entries);
    return {};
}

/// Makes everything that was read durable: after a failed sync the operating system may still show
/// data that is not on the disk.
template <file_system Files>
core::result<void> basic_log_store<Files>::rewriteTail()
{
    auto bytes = std::exchange(m_tail, {}).bytes;
    if (bytes.empty())
        bytes = encodeSegmentHeader(m_identity, m_segments.back().firstBatch);
    m_segments.back().bytes = bytes.size();
    const auto path = segmentPath(m_segments.back().firstBatch);
    auto temporary = path;
    temporary += detail::temporarySuffix;
    const auto handle = m_files.create(temporary);
    if (!handle)
        return handle.error();
    m_current = handle.value();
    if (const auto done = m_files.append(*m_current, bytes); !done)
        return done;
    if (const auto done = m_files.sync(*m_current); !done)
        return done;
    if (const auto done = m_files.rename(temporary, path); !done)
        return done;
    if (const auto done = m_files.syncFolder(m_folder); !done)
        return done;

    // After a crash between the installation of a snapshot and the batch that follows it, the log
    // does not contain the snapshot's last entry and must be discarded.
    const auto &latest = m_restored.latestSnapshot;
    if (!latest)
        return {};
    const auto found = std::ranges::find_if(m_restored.entries, [&](const log_entry &entry) {
        return entry.position.index == latest->last.index;
    });
    const bool contained = found != m_restored.entries.end() ? found->position == latest->last
                                                             : latest->last.index <= m_lastIndex
            && (m_restored.entries.empty()
                || m_restored.entries.front().position.index == latest->last.index + 1);
    if (contained)
        return {};
    m_restored.entries.clear();
    return writeEntries({}, latest->last);
}

// Writing

template <file_system Files>
core::result<void> basic_log_store<Files>::failOnError(core::result<void> outcome)
{
    if (!outcome)
        m_failed = true;
    return outcome;
}

template <file_system Files>
core::result<void> basic_log_store<Files>::writeFile(const std::filesystem::path &path,
                                                     std::span<const std::byte> bytes)
{
    auto temporary = path;
    temporary += detail::temporarySuffix;
    const auto handle = m_files.create(temporary);
    if (!handle)
        return handle.error();
    auto done = m_files.append(handle.value(), bytes);
    if (done)
        done = m_files.sync(handle.value());
    m_files.close(handle.value());
    if (!done)
        return done;
    if (done = m_files.rename(temporary, path); !done)
        return done;
    return m_files.syncFolder(m_folder);
}

/// Writes the header and first frame of the last segment in m_segments.
template <file_system Files>
core::result<void> basic_log_store<Files>::startSegment(std::span<const std::byte> firstFrame)
{
    auto &description = m_segments.back();
    const auto handle = m_files.create(segmentPath(description.firstBatch));
    if (!handle)
        return handle.error();
    if (m_current)
        m_files.close(*m_current);
    m_current = handle.value();
    auto bytes = encodeSegmentHeader(m_identity, description.firstBatch);
    bytes.insert(bytes.end(), firstFrame.begin(), firstFrame.end());
    description.bytes = bytes.size();
    if (const auto done = m_files.append(*m_current, bytes); !done)
        return done;
    if (const auto done = m_files.sync(*m_current); !done)
        return done;
    return m_files.syncFolder(m_folder);
}

template <file_system Files>
core::result<void> basic_log_store<Files>::writeBatch(log_batch batch)
{
    batch.number = m_nextBatch++;
    const auto frame = encodeBatch(batch);
    // After a torn batch was dropped the newest segment may be empty and already have this number.
    const bool empty = m_segments.back().firstBatch == batch.number;
    const bool rotate = !empty && (batch.reset || m_segments.back().bytes > m_options.segmentBytes);
    const auto highest = batch.entries.empty() ? 0 : batch.entries.back().position.index;
    if (rotate) {
        m_segments.push_back({batch.number, highest, 0});
        if (const auto done = startSegment(frame); !done)
            return done;
    } else {
        auto &description = m_segments.back();
        description.highestIndex = std::max(description.highestIndex, highest);
        description.bytes += frame.size();
        if (const auto done = m_files.append(*m_current, frame); !done)
            return done;
        if (const auto done = m_files.sync(*m_current); !done)
            return done;
    }
    if (!batch.entries.empty())
        m_lastIndex = highest;
    // The hint only serves to tell a torn batch from a damaged one, so a failed write is ignored.
    static_cast<void>(
        m_files.overwrite(m_folder / detail::syncHintName, encodeSyncHint(batch.number)));
    return {};
}

template <file_system Files>
core::result<void> basic_log_store<Files>::writeEntries(const std::vector<log_entry> &entries,
                                                        std::optional<log_position> reset)
{
    log_batch batch{0, m_hardState, reset, {}};
    if (reset)
        m_lastIndex = reset->index;
    std::size_t bytes = 0;
    for (const auto &entry : entries) {
        if (bytes + entry.payload.size() > maximumBatchBytes && !batch.entries.empty()) {
            if (const auto done = writeBatch(std::move(batch)); !done)
                return done;
            batch = {0, m_hardState, std::nullopt, {}};
            bytes = 0;
        }
        bytes += entry.payload.size();
        batch.entries.push_back(entry);
    }
    return writeBatch(std::move(batch));
}

template <file_system Files>
core::result<void> basic_log_store<Files>::write(const ready &work)
{
    if (m_failed)
        return consensus_error::StoreFailed;
    if (!work.needsSync())
        return {};
    const auto last = work.snapshotToInstall ? work.snapshotToInstall->last.index : m_lastIndex;
    if (!work.entries.empty() && work.entries.front().position.index > last + 1)
        return failOnError(consensus_error::LogGap);
    if (work.hardState)
        m_hardState = *work.hardState;
    if (!work.snapshotToInstall)
        return failOnError(writeEntries(work.entries, std::nullopt));
    if (const auto done = failOnError(writeSnapshot(*work.snapshotToInstall)); !done)
        return done;
    if (const auto done = failOnError(writeEntries(work.entries, work.snapshotToInstall->last));
        !done)
        return done;
    // The batch with the reset began a new segment; nothing before it is needed.
    if (const auto done = failOnError(removeSegmentsUpTo(~log_index{0})); !done)
        return done;
    return failOnError(removeOldSnapshots());
}

template <file_system Files>
core::result<void> basic_log_store<Files>::writeSnapshot(const snapshot &value)
{
    if (value.content->size() > m_options.maximumSnapshotBytes)
        return consensus_error::FileTooLarge;
    const auto done
        = writeFile(snapshotPath(value.last.index), encodeSnapshotFile(m_identity, value));
    if (done)
        m_snapshots.push_back(value.last.index);
    return done;
}

template <file_system Files>
core::result<void> basic_log_store<Files>::saveSnapshot(const snapshot &saved,
                                                        log_index compactionIndex)
{
    if (m_failed)
        return consensus_error::StoreFailed;
    // A newer snapshot may have been installed in the meantime.
    if (!m_snapshots.empty() && saved.last.index <= m_snapshots.back())
        return {};
    if (const auto done = failOnError(writeSnapshot(saved)); !done)
        return done;
    if (const auto done
        = failOnError(removeSegmentsUpTo(std::min(compactionIndex, saved.last.index)));
        !done)
        return done;
    return failOnError(removeOldSnapshots());
}

/// Removes the oldest segments as long as they have no entry above the index.
template <file_system Files>
core::result<void> basic_log_store<Files>::removeSegmentsUpTo(log_index index)
{
    while (m_segments.size() > 1 && m_segments.front().highestIndex <= index) {
        if (const auto done = m_files.remove(segmentPath(m_segments.front().firstBatch)); !done)
            return done;
        // Each removal is synced before the next, so that a crash cannot leave a gap in the
        // sequence.
        if (const auto done = m_files.syncFolder(m_folder); !done)
            return done;
        m_segments.erase(m_segments.begin());
    }
    return {};
}

template <file_system Files>
core::result<void> basic_log_store<Files>::removeOldSnapshots()
{
    while (m_snapshots.size() > 1) {
        if (const auto done = m_files.remove(snapshotPath(m_snapshots.front())); !done)
            return done;
        m_snapshots.erase(m_snapshots.begin());
    }
    return {};
}

} // namespace quetzalcleat::consensus
