#pragma once

#include "LibState/msgpack_fields.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace quetzalcleat::state::detail {

/// Reads the records of a snapshot one after the other, so that no length in it decides how much
/// memory is allocated.
class record_reader
{
public:
    explicit record_reader(std::span<const std::byte> bytes) : m_bytes(bytes) { }

    /// Calls `read` with the next record. False once anything was malformed.
    template <typename Read>
    bool record(Read &&read)
    {
        if (m_failed)
            return false;
        const auto handle = detail::unpackValue(m_bytes, m_offset);
        if (!handle) {
            m_failed = true;
            return false;
        }
        msgpack_array_reader reader(handle->get());
        read(reader);
        m_failed = !reader.complete();
        return !m_failed;
    }

    /// A count, then that many records.
    template <typename Read>
    void table(std::size_t maximum, Read &&read)
    {
        std::uint64_t count = 0;
        record([&](msgpack_array_reader &reader) { count = reader.number(); });
        m_failed = m_failed || count > maximum;
        for (std::uint64_t i = 0; i < count && !m_failed; ++i)
            record(read);
    }

    /// Whether every byte was read. Further tables may follow in snapshots of later versions.
    bool atEnd() const { return m_offset == m_bytes.size(); }
    bool complete() const { return !m_failed && m_offset == m_bytes.size(); }

private:
    std::span<const std::byte> m_bytes;
    std::size_t m_offset = 0;
    bool m_failed = false;
};

/// A count, then the records.
template <typename Table, typename Write>
void writeTable(msgpack_array_writer &writer, const Table &table, Write &&write)
{
    writer.array(1);
    writer.number(table.size());
    for (const auto &each : table)
        write(each);
}

} // namespace quetzalcleat::state::detail
