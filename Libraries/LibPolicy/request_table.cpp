#include "LibPolicy/request_table.h"

namespace quetzalcleat::policy {

namespace {

// 16 million requests at a time; the sequence number has the other 40 bits.
constexpr std::uint32_t slotBits = 24;
constexpr std::uint64_t slotMask = (std::uint64_t{1} << slotBits) - 1;

} // namespace

request_record &request_table::create()
{
    if (m_free.empty()) {
        m_free.push_back(static_cast<std::uint32_t>(m_records.size()));
        m_records.emplace_back();
    }
    const std::uint32_t slot = m_free.back();
    m_free.pop_back();
    auto &record = m_records[slot];
    record = request_record{};
    record.id = request_id{++m_sequence << slotBits | slot};
    return record;
}

request_record *request_table::find(request_id id)
{
    const std::uint64_t slot = id.value & slotMask;
    if (id.value == 0 || slot >= m_records.size() || m_records[slot].id != id)
        return nullptr;
    return &m_records[slot];
}

const request_record *request_table::find(request_id id) const
{
    const std::uint64_t slot = id.value & slotMask;
    if (id.value == 0 || slot >= m_records.size() || m_records[slot].id != id)
        return nullptr;
    return &m_records[slot];
}

void request_table::erase(request_id id)
{
    auto *record = find(id);
    if (record == nullptr)
        return;
    *record = request_record{};
    m_free.push_back(static_cast<std::uint32_t>(id.value & slotMask));
}

} // namespace quetzalcleat::policy
