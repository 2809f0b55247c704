#include "LibPeer/text_compression.h"

#include <array>
#include <new>

#include <zlib.h>

namespace quetzalcleat::peer {

namespace {

class inflater
{
public:
    inflater() { m_isOpen = inflateInit(&m_stream) == Z_OK; }
    ~inflater()
    {
        if (m_isOpen)
            inflateEnd(&m_stream);
    }
    inflater(const inflater &) = delete;
    inflater &operator=(const inflater &) = delete;

    std::optional<std::string> decompress(std::string_view compressed, std::size_t maximumBytes)
    {
        if (!m_isOpen)
            return std::nullopt;
        std::string text;
        std::array<char, 16384> buffer{};
        // zlib only reads from next_in, although its type is not const.
        m_stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
        m_stream.avail_in = static_cast<uInt>(compressed.size());
        for (;;) {
            m_stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
            m_stream.avail_out = static_cast<uInt>(buffer.size());
            const int outcome = inflate(&m_stream, Z_NO_FLUSH);
            text.append(buffer.data(), buffer.size() - m_stream.avail_out);
            if (text.size() > maximumBytes || (outcome != Z_OK && outcome != Z_STREAM_END))
                return std::nullopt;
            if (outcome == Z_STREAM_END)
                return m_stream.avail_in == 0 ? std::optional(std::move(text)) : std::nullopt;
        }
    }

private:
    z_stream m_stream{};
    bool m_isOpen = false;
};

} // namespace

std::string compressText(std::string_view text)
{
    auto size = compressBound(text.size());
    std::string compressed(size, '\0');
    // With a buffer of compressBound() it can only fail for lack of memory.
    if (compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc();
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompressText(std::string_view compressed, std::size_t maximumBytes)
{
    // More than the largest text can become by compression.
    if (compressed.size() > compressBound(maximumBytes))
        return std::nullopt;
    return inflater().decompress(compressed, maximumBytes);
}

} // namespace quetzalcleat::peer
