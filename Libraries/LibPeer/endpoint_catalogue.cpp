#include "LibPeer/endpoint_catalogue.h"

#include "LibCore/logger.h"
#include "LibPeer/endpoint_list_codec.h"

#include <algorithm>
#include <set>

namespace quetzalcleat::peer {

namespace {

/// Removed entries that are kept; hosts that are further behind get the complete list.
constexpr std::size_t maximumRemoved = 512;
/// Ages beyond it are alike: such a list is outdated. In ms.
constexpr std::uint64_t longestAge = 3'600'000;

const core::logger &log()
{
    static const core::logger logger("endpoint-list");
    return logger;
}

} // namespace

void endpoint_catalogue::update(const std::vector<listed_endpoint> &list, core::instant readAt)
{
    m_readAt = readAt;
    const auto next = m_version + 1;
    bool changed = false;
    std::set<std::string> listed;
    for (const auto &entry : list) {
        listed.insert(entry.incarnation);
        auto &known = m_records[entry.incarnation];
        if (known.changed != 0 && !known.isRemoved && known.entry == entry)
            continue;
        known = {entry, next, false};
        changed = true;
    }
    std::size_t removed = 0;
    for (auto &[incarnation, known] : m_records) {
        if (!known.isRemoved && !listed.contains(incarnation)) {
            known.isRemoved = true;
            known.changed = next;
            changed = true;
        }
        removed += known.isRemoved ? 1 : 0;
    }
    if (changed)
        m_version = next;
    if (removed > maximumRemoved) {
        std::erase_if(m_records, [](const auto &entry) { return entry.second.isRemoved; });
        m_oldestTrackedVersion = m_version;
    }
}

bool endpoint_catalogue::needsCompleteList(std::uint64_t epoch, std::uint64_t version) const
{
    return m_readAt
        && (epoch != m_epoch || version < m_oldestTrackedVersion || version > m_version);
}

void endpoint_catalogue::fill(endpoint_changes &changes, std::uint64_t epoch, std::uint64_t version,
                              core::instant now) const
{
    if (!m_readAt)
        return;
    changes.epoch = m_epoch;
    changes.version = m_version;
    changes.ageMilliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_readAt).count(), 0));
    changes.isComplete = needsCompleteList(epoch, version);
    if (changes.isComplete) {
        changes.compressedEntries = compressedList();
        return;
    }
    for (const auto &[incarnation, known] : m_records) {
        if (known.changed <= version)
            continue;
        if (!known.isRemoved)
            changes.entries.push_back(known.entry);
        else
            changes.removed.push_back(incarnation);
    }
}

const std::string &endpoint_catalogue::compressedList() const
{
    if (m_compressed.empty() || m_compressedVersion != m_version) {
        std::vector<listed_endpoint> list;
        for (const auto &[incarnation, known] : m_records) {
            if (!known.isRemoved)
                list.push_back(known.entry);
        }
        m_compressed = compressEndpoints(list);
        m_compressedVersion = m_version;
    }
    return m_compressed;
}

bool endpoint_replica::apply(const endpoint_changes &changes, core::instant requestedAt)
{
    const bool follows = changes.epoch == m_epoch && changes.version >= m_version;
    if (changes.epoch == 0 || (!changes.isComplete && !follows))
        return false;
    const bool changed = changes.isComplete || !changes.entries.empty() || !changes.removed.empty();
    if (changes.isComplete) {
        auto list = decompressEndpoints(changes.compressedEntries);
        if (!list) {
            log().warning("cannot decompress a list of endpoints of "
                          + std::to_string(changes.compressedEntries.size())
                          + " bytes; keeping the earlier list");
            return false;
        }
        m_entries.clear();
        for (auto &entry : *list) {
            const auto incarnation = entry.incarnation;
            m_entries[incarnation] = std::move(entry);
        }
    }
    for (const auto &incarnation : changes.removed)
        m_entries.erase(incarnation);
    for (const auto &entry : changes.entries)
        m_entries[entry.incarnation] = entry;
    const auto age = std::chrono::milliseconds(std::min(changes.ageMilliseconds, longestAge));
    const bool isSameSource = changes.epoch == m_epoch && m_readAt;
    m_readAt = isSameSource ? std::max(*m_readAt, requestedAt - age) : requestedAt - age;
    m_epoch = changes.epoch;
    m_version = changes.version;
    return changed;
}

} // namespace quetzalcleat::peer
