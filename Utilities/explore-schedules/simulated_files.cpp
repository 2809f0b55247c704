#include "simulated_files.h"

#include "LibConsensus/consensus_error.h"

#include <algorithm>
#include <set>

namespace quetzalcleat::explore {

using consensus::consensus_error;

namespace {

void loseUnsyncedBytes(simulated_disk::file &file, schedule_random &random)
{
    auto survivor = file.durable;
    if (!file.syncFailed && file.appendOnly && file.visible.size() > file.durable.size()) {
        const auto unsynced = file.visible.size() - file.durable.size();
        const auto kept = random.below(unsynced + 1);
        survivor.assign(file.visible.begin(),
                        file.visible.begin()
                            + static_cast<std::ptrdiff_t>(file.durable.size() + kept));
        if (kept > 0 && random.chance(500))
            survivor[file.durable.size() + random.below(kept)] ^= std::byte{0x40};
    } else if (!file.syncFailed && !file.appendOnly && random.chance(500)) {
        survivor = file.visible;
    }
    file.visible = survivor;
    file.durable = std::move(survivor);
    file.appendOnly = true;
    file.syncFailed = false;
}

} // namespace

void simulated_disk::losePower(schedule_random &random)
{
    std::set<std::string> all;
    for (const auto &each : names)
        all.insert(each.first);
    for (const auto &each : durableNames)
        all.insert(each.first);
    for (const auto &name : all) {
        const auto seen = names.find(name);
        const auto synced = durableNames.find(name);
        const bool same
            = seen != names.end() && synced != durableNames.end() && seen->second == synced->second;
        if (same || random.chance(500))
            continue;
        if (synced == durableNames.end())
            names.erase(name);
        else
            names[name] = synced->second;
    }
    durableNames = names;
    std::set<file *> files;
    for (const auto &each : names)
        files.insert(each.second.get());
    // Visits the files by name, because the order of the set depends on addresses.
    for (const auto &each : names) {
        if (files.erase(each.second.get()) != 0)
            loseUnsyncedBytes(*each.second, random);
    }
    clearFaults();
}

void simulated_disk::clearFaults()
{
    failNextSync = false;
    operationsLeft.reset();
    freeBytes.reset();
}

bool simulated_files::operationFails()
{
    if (!m_disk->operationsLeft)
        return false;
    if (*m_disk->operationsLeft == 0)
        return true;
    --*m_disk->operationsLeft;
    return false;
}

core::result<simulated_files::file_handle> simulated_files::create(const path &name)
{
    if (operationFails())
        return consensus_error::WriteFailed;
    auto &file = m_disk->names[name.filename().string()];
    file = std::make_shared<simulated_disk::file>();
    return file;
}

core::result<void> simulated_files::append(const file_handle &handle,
                                           std::span<const std::byte> bytes)
{
    if (operationFails())
        return consensus_error::WriteFailed;
    auto count = bytes.size();
    if (m_disk->freeBytes) {
        count = std::min(count, *m_disk->freeBytes);
        *m_disk->freeBytes -= count;
    }
    const auto written = bytes.first(count);
    handle->visible.insert(handle->visible.end(), written.begin(), written.end());
    if (count < bytes.size())
        return consensus_error::DiskFull;
    return {};
}

core::result<void> simulated_files::sync(const file_handle &handle)
{
    if (operationFails())
        return consensus_error::SyncFailed;
    if (m_disk->failNextSync) {
        m_disk->failNextSync = false;
        handle->syncFailed = true;
        return consensus_error::SyncFailed;
    }
    if (handle->syncFailed)
        return {};
    handle->durable.insert(handle->durable.end(),
                           handle->visible.begin()
                               + static_cast<std::ptrdiff_t>(handle->durable.size()),
                           handle->visible.end());
    return {};
}

core::result<void> simulated_files::overwrite(const path &name, std::span<const std::byte> bytes)
{
    if (operationFails())
        return consensus_error::WriteFailed;
    auto &file = m_disk->names[name.filename().string()];
    if (!file)
        file = std::make_shared<simulated_disk::file>();
    file->visible.assign(bytes.begin(), bytes.end());
    file->appendOnly = false;
    return {};
}

core::result<std::vector<std::byte>> simulated_files::read(const path &name, std::uint64_t limit)
{
    const auto found = m_disk->names.find(name.filename().string());
    if (operationFails() || found == m_disk->names.end())
        return consensus_error::ReadFailed;
    if (found->second->visible.size() > limit)
        return consensus_error::FileTooLarge;
    return found->second->visible;
}

core::result<void> simulated_files::rename(const path &from, const path &to)
{
    const auto found = m_disk->names.find(from.filename().string());
    if (operationFails() || found == m_disk->names.end())
        return consensus_error::WriteFailed;
    auto file = found->second;
    m_disk->names.erase(found);
    m_disk->names[to.filename().string()] = std::move(file);
    return {};
}

core::result<void> simulated_files::remove(const path &name)
{
    if (operationFails() || m_disk->names.erase(name.filename().string()) == 0)
        return consensus_error::WriteFailed;
    return {};
}

core::result<void> simulated_files::syncFolder(const path &)
{
    if (operationFails())
        return consensus_error::SyncFailed;
    m_disk->durableNames = m_disk->names;
    return {};
}

core::result<std::vector<std::string>> simulated_files::list(const path &)
{
    if (operationFails())
        return consensus_error::ReadFailed;
    std::vector<std::string> found;
    for (const auto &each : m_disk->names)
        found.push_back(each.first);
    return found;
}

} // namespace quetzalcleat::explore
