#pragma once

// Only for the .cpp files that encode or decode; msgpack is slow to compile.

#include "LibCore/time.h"
#include "LibState/claims.h"
#include "LibState/duties.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace quetzalcleat::state::detail {

/// Appends msgpack values to a byte vector.
class msgpack_array_writer
{
public:
    /// The msgpack packer's output interface.
    void write(const char *data, std::size_t size)
    {
        const auto *bytes = reinterpret_cast<const std::byte *>(data);
        m_bytes.insert(m_bytes.end(), bytes, bytes + size);
    }

    void array(std::size_t size) { m_packer.pack_array(static_cast<std::uint32_t>(size)); }
    void number(std::uint64_t value) { m_packer.pack_uint64(value); }
    void flag(bool value) { value ? m_packer.pack_true() : m_packer.pack_false(); }

    void text(std::string_view value)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }

    void time(core::wall_time value)
    {
        using std::chrono::milliseconds;
        number(static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(value.time_since_epoch()).count()));
    }

    std::vector<std::byte> take() { return std::move(m_bytes); }

private:
    std::vector<std::byte> m_bytes;
    msgpack::packer<msgpack_array_writer> m_packer{this};
};

/// Reads the elements of one msgpack array in order. After the first element of another type, or
/// beyond the end, every read yields an empty value and `failed` is true.
class msgpack_array_reader
{
public:
    msgpack_array_reader() = default;
    explicit msgpack_array_reader(const msgpack::object &value)
    {
        if (value.type == msgpack::type::ARRAY)
            m_array = value.via.array;
        else
            m_failed = true;
    }

    std::uint64_t number()
    {
        const auto *value = next(msgpack::type::POSITIVE_INTEGER);
        return value == nullptr ? 0 : value->via.u64;
    }

    bool flag()
    {
        const auto *value = next(msgpack::type::BOOLEAN);
        return value != nullptr && value->via.boolean;
    }

    std::string text()
    {
        const auto *value = next(msgpack::type::STR);
        if (value == nullptr)
            return {};
        return {value->via.str.ptr, value->via.str.size};
    }

    core::wall_time time() { return core::wall_time(milliseconds()); }

    std::chrono::milliseconds milliseconds()
    {
        // Far above every valid time, and small enough to be converted to nanoseconds.
        constexpr std::uint64_t maximum = std::uint64_t{1} << 43U;
        const auto value = number();
        if (value > maximum)
            m_failed = true;
        return std::chrono::milliseconds(m_failed ? 0 : static_cast<std::int64_t>(value));
    }

    template <typename Enumeration>
    Enumeration enumeration(Enumeration highest)
    {
        const auto value = number();
        if (value > static_cast<std::uint64_t>(highest))
            m_failed = true;
        return m_failed ? Enumeration{} : static_cast<Enumeration>(value);
    }

    msgpack_array_reader array()
    {
        const auto *value = next(msgpack::type::ARRAY);
        return value == nullptr ? msgpack_array_reader() : msgpack_array_reader(*value);
    }

    std::size_t size() const { return m_array.size; }
    bool failed() const { return m_failed; }
    void fail() { m_failed = true; }
    bool complete() const { return !m_failed && m_position == m_array.size; }

private:
    const msgpack::object *next(msgpack::type::object_type type)
    {
        if (m_failed || m_position == m_array.size || m_array.ptr[m_position].type != type) {
            m_failed = true;
            return nullptr;
        }
        return &m_array.ptr[m_position++];
    }

    msgpack::object_array m_array{};
    std::uint32_t m_position = 0;
    bool m_failed = false;
};

/// Unpacks the value at `offset` and moves `offset` behind it. Strings refer to `bytes`. Arrays of
/// more than 32 elements and nesting below 4 levels are refused before their memory is allocated.
inline std::optional<msgpack::object_handle> unpackValue(std::span<const std::byte> bytes,
                                                         std::size_t &offset)
{
    constexpr std::size_t maximumElements = 32;
    constexpr std::size_t maximumDepth = 4;
    try {
        const msgpack::unpack_limit limit(maximumElements, 0, bytes.size(), 0, 0, maximumDepth);
        bool referenced = false;
        const auto refer = [](msgpack::type::object_type, std::size_t, void *) { return true; };
        return msgpack::unpack(reinterpret_cast<const char *>(bytes.data()), bytes.size(), offset,
                               referenced, refer, nullptr, limit);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

inline void write(msgpack_array_writer &writer, const claim_key &value)
{
    writer.text(value.account);
    writer.text(value.key);
}

inline claim_key readKey(msgpack_array_reader &reader)
{
    claim_key value;
    value.account = reader.text();
    value.key = reader.text();
    return value;
}

inline void write(msgpack_array_writer &writer, const claim_attempt &value)
{
    write(writer, value.key);
    writer.text(value.attemptId);
    writer.text(value.host);
    writer.number(value.hostIncarnation);
}

inline claim_attempt readAttempt(msgpack_array_reader &reader)
{
    claim_attempt value;
    value.key = readKey(reader);
    value.attemptId = reader.text();
    value.host = reader.text();
    value.hostIncarnation = reader.number();
    return value;
}

inline void write(msgpack_array_writer &writer, const stored_response &value)
{
    writer.number(value.status);
    writer.text(value.contentType);
    writer.text(value.body);
    writer.flag(value.truncated);
}

inline stored_response readAnswer(msgpack_array_reader &reader)
{
    stored_response value;
    const auto status = reader.number();
    if (status > 0xffffU)
        reader.fail();
    value.status = static_cast<std::uint16_t>(status);
    value.contentType = reader.text();
    value.body = reader.text();
    value.truncated = reader.flag();
    return value;
}

/// As one text, since the number of elements of an array is limited.
inline void write(msgpack_array_writer &writer, const account_counts &counts)
{
    msgpack_array_writer entries;
    for (const auto &[account, count] : counts) {
        entries.array(2);
        entries.text(account);
        entries.number(count);
    }
    const auto bytes = entries.take();
    writer.text({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
}

inline account_counts readCounts(msgpack_array_reader &reader)
{
    account_counts counts;
    const auto text = reader.text();
    const auto bytes = std::as_bytes(std::span(text));
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const auto handle = unpackValue(bytes, offset);
        if (!handle) {
            reader.fail();
            return counts;
        }
        msgpack_array_reader entry(handle->get());
        auto account = entry.text();
        const auto count = entry.number();
        if (!entry.complete() || !counts.emplace(std::move(account), count).second) {
            reader.fail();
            return counts;
        }
    }
    return counts;
}

} // namespace quetzalcleat::state::detail
