#include "LibPeer/packed_list.h"

#include "LibPeer/message_codec.h"

#include <array>
#include <new>
#include <utility>

#include <zlib.h>

namespace quetzalcleat::peer {

namespace {

/// Bound of the text before it is compressed, far above a list for two years (1,900 endpoints).
constexpr std::size_t maximumTextBytes = std::size_t{4} * 1024 * 1024;

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

    std::optional<std::string> inflateAll(std::string_view packed)
    {
        if (!m_isOpen || packed.size() > maximumTextBytes)
            return std::nullopt;
        std::string text;
        std::array<char, 16384> buffer{};
        // The library only reads from here, though its type does not say so.
        m_stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(packed.data()));
        m_stream.avail_in = static_cast<uInt>(packed.size());
        for (;;) {
            m_stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
            m_stream.avail_out = static_cast<uInt>(buffer.size());
            const int outcome = inflate(&m_stream, Z_NO_FLUSH);
            text.append(buffer.data(), buffer.size() - m_stream.avail_out);
            if (outcome == Z_STREAM_END)
                return text;
            if (outcome != Z_OK || text.size() > maximumTextBytes)
                return std::nullopt;
        }
    }

private:
    z_stream m_stream{};
    bool m_isOpen = false;
};

} // namespace

std::string packEndpoints(const std::vector<endpoint_entry> &entries)
{
    lease_answer carrier;
    carrier.endpoints.entries = entries;
    const auto text = encodeMessage(carrier);
    auto size = compressBound(text.size());
    std::string packed(size, '\0');
    // With a buffer of the bound it cannot fail but for lack of memory.
    if (compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
                  reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc();
    packed.resize(size);
    return packed;
}

std::optional<std::vector<endpoint_entry>> unpackEndpoints(std::string_view packed)
{
    const auto text = inflater().inflateAll(packed);
    if (!text)
        return std::nullopt;
    auto decoded = decodeMessage(*text);
    if (!decoded)
        return std::nullopt;
    auto *carrier = std::get_if<lease_answer>(&decoded.value());
    if (carrier == nullptr)
        return std::nullopt;
    return std::move(carrier->endpoints.entries);
}

} // namespace quetzalcleat::peer
