#include "LibPeer/endpoint_catalogue.h"

#include "LibCore/logger.h"
#include "LibPeer/packed_list.h"

#include <algorithm>
#include <set>

namespace quetzalcleat::peer {

namespace {

/// Removed entries that are remembered; hosts that lag further get the whole list.
constexpr std::size_t maximumRemoved = 512;

const core::logger &log()
{
    static const core::logger logger("endpoint-list");
    return logger;
}

} // namespace

void endpoint_catalogue::update(const std::vector<endpoint_entry> &list, core::instant now)
{
    m_readAt = now;
    const auto next = m_version + 1;
    bool changed = false;
    std::set<std::string> named;
    for (const auto &entry : list) {
        named.insert(entry.incarnation);
        auto &known = m_records[entry.incarnation];
        if (known.changed != 0 && !known.isRemoved && known.entry == entry)
            continue;
        known = {entry, next, false};
        changed = true;
    }
    std::size_t removed = 0;
    for (auto &[incarnation, known] : m_records) {
        if (!known.isRemoved && !named.contains(incarnation)) {
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
        m_oldestKnown = m_version;
    }
}

bool endpoint_catalogue::needsWhole(std::uint64_t epoch, std::uint64_t version) const
{
    return m_readAt && (epoch != m_epoch || version < m_oldestKnown || version > m_version);
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
    changes.isWhole = needsWhole(epoch, version);
    if (changes.isWhole) {
        changes.packedEntries = packedList();
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

const std::string &endpoint_catalogue::packedList() const
{
    if (m_packed.empty() || m_packedVersion != m_version) {
        std::vector<endpoint_entry> list;
        for (const auto &[incarnation, known] : m_records) {
            if (!known.isRemoved)
                list.push_back(known.entry);
        }
        m_packed = packEndpoints(list);
        m_packedVersion = m_version;
    }
    return m_packed;
}

bool endpoint_replica::apply(const endpoint_changes &changes)
{
    const bool follows = changes.epoch == m_epoch && changes.version >= m_version;
    if (changes.epoch == 0 || (!changes.isWhole && !follows))
        return false;
    const bool changed = changes.isWhole || !changes.entries.empty() || !changes.removed.empty();
    if (changes.isWhole) {
        auto list = unpackEndpoints(changes.packedEntries);
        if (!list) {
            log().warning("a list of endpoints in " + std::to_string(changes.packedEntries.size())
                          + " bytes cannot be unpacked; the earlier one stays");
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
    m_epoch = changes.epoch;
    m_version = changes.version;
    return changed;
}

} // namespace quetzalcleat::peer
