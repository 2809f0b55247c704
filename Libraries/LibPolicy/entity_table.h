#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::policy {

/// Entities of the document by name, at table indices that stay the same while documents change.
/// The document index of an entity is its position in the current document and may change with
/// every document.
///
/// Record has `name`, `present`, `documentIndex` and `isIdle()`. A record whose entity left the
/// document keeps its index until it is idle, because queued and running work refers to it.
template <typename Record>
class entity_table
{
public:
    /// Matches the entities of a new document by name. `prepare(record, tableIndex, entity, isNew)`
    /// is called for each entity in document order.
    template <typename Entities, typename Prepare>
    void assign(const Entities &entities, Prepare prepare)
    {
        m_tableIndices.assign(entities.size(), 0);
        std::vector<bool> isNew(entities.size(), false);
        for (auto &record : m_records)
            record.present = false;
        for (std::size_t index = 0; index < entities.size(); ++index) {
            const auto found = m_byName.find(entities[index].name);
            isNew[index] = found == m_byName.end();
            if (isNew[index])
                continue;
            m_tableIndices[index] = found->second;
            m_records[found->second].present = true;
        }
        std::uint32_t firstFree = 0;
        for (std::size_t index = 0; index < entities.size(); ++index) {
            if (isNew[index])
                m_tableIndices[index] = allocate(entities[index].name, firstFree);
            auto &record = m_records[m_tableIndices[index]];
            record.documentIndex = static_cast<std::uint32_t>(index);
            prepare(record, m_tableIndices[index], entities[index], isNew[index]);
        }
    }

    std::optional<std::uint32_t> indexOf(std::uint32_t documentIndex) const
    {
        if (documentIndex >= m_tableIndices.size())
            return std::nullopt;
        return m_tableIndices[documentIndex];
    }

    std::optional<std::uint32_t> indexOf(const std::string &name) const
    {
        const auto found = m_byName.find(name);
        if (found == m_byName.end() || !m_records[found->second].present)
            return std::nullopt;
        return found->second;
    }

    Record &operator[](std::uint32_t index) { return m_records[index]; }
    const Record &operator[](std::uint32_t index) const { return m_records[index]; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_records.size()); }
    auto begin() { return m_records.begin(); }
    auto end() { return m_records.end(); }
    auto begin() const { return m_records.begin(); }
    auto end() const { return m_records.end(); }

private:
    std::uint32_t allocate(const std::string &name, std::uint32_t &firstFree)
    {
        while (firstFree < m_records.size()
               && (m_records[firstFree].present || !m_records[firstFree].isIdle()))
            ++firstFree;
        if (firstFree == m_records.size())
            m_records.emplace_back();
        else
            m_byName.erase(m_records[firstFree].name);
        auto &record = m_records[firstFree];
        record = Record{};
        record.name = name;
        record.present = true;
        m_byName[name] = firstFree;
        return firstFree;
    }

    std::vector<Record> m_records;
    std::vector<std::uint32_t> m_tableIndices; ///< By document index.
    std::unordered_map<std::string, std::uint32_t> m_byName;
};

} // namespace quetzalcleat::policy
