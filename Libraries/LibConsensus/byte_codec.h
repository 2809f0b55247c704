#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::consensus {

/// Appends fixed-width little-endian numbers and length-prefixed bytes.
class byte_writer
{
public:
    template <std::unsigned_integral Number>
    void number(Number value)
    {
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            m_bytes.push_back(
                static_cast<std::byte>((static_cast<std::uint64_t>(value) >> (8 * i)) & 0xffU));
    }

    void raw(std::span<const std::byte> bytes)
    {
        m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
    }

    /// A 32-bit length, then the bytes.
    void bytes(std::span<const std::byte> value)
    {
        number(static_cast<std::uint32_t>(value.size()));
        raw(value);
    }

    void text(std::string_view value) { bytes(std::as_bytes(std::span(value))); }

    std::size_t size() const { return m_bytes.size(); }
    std::vector<std::byte> take() { return std::move(m_bytes); }

private:
    std::vector<std::byte> m_bytes;
};

/// Reads what byte_writer wrote. After the first read beyond the end every read yields zero or
/// empty values and `failed` is true; nothing is allocated for lengths beyond the end.
class byte_reader
{
public:
    explicit byte_reader(std::span<const std::byte> bytes) : m_bytes(bytes) { }

    template <std::unsigned_integral Number>
    Number number()
    {
        if (!has(sizeof(Number)))
            return 0;
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            value |= std::to_integer<std::uint64_t>(m_bytes[m_position + i]) << (8 * i);
        m_position += sizeof(Number);
        return static_cast<Number>(value);
    }

    std::span<const std::byte> bytes()
    {
        const auto length = number<std::uint32_t>();
        if (!has(length))
            return {};
        const auto part = m_bytes.subspan(m_position, length);
        m_position += length;
        return part;
    }

    std::vector<std::byte> copiedBytes()
    {
        const auto part = bytes();
        return {part.begin(), part.end()};
    }

    std::string text()
    {
        const auto part = bytes();
        return {reinterpret_cast<const char *>(part.data()), part.size()};
    }

    std::size_t remaining() const { return m_failed ? 0 : m_bytes.size() - m_position; }
    std::size_t position() const { return m_position; }
    bool failed() const { return m_failed; }
    /// Marks the input as malformed.
    void fail() { m_failed = true; }
    /// True if everything was read and nothing was missing.
    bool complete() const { return !m_failed && m_position == m_bytes.size(); }

private:
    bool has(std::size_t count)
    {
        if (m_failed || m_bytes.size() - m_position < count)
            m_failed = true;
        return !m_failed;
    }

    std::span<const std::byte> m_bytes;
    std::size_t m_position = 0;
    bool m_failed = false;
};

/// The bytes as characters, for hashing.
inline std::string_view asText(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace quetzalcleat::consensus
