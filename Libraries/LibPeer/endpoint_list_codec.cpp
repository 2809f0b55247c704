#include "LibPeer/endpoint_list_codec.h"

#include "LibPeer/message_codec.h"

#include <array>
#include <new>
#include <utility>

#include <zlib.h>

namespace quetzalcleat::peer {

namespace {

/// Bound of the uncompressed size, far above a list of the 1,900 endpoints expected in two
/// years.
constexpr std::size_t maximumContentBytes = std::size_t{4} * 1024 * 1024;

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

    std::optional<std::string> decompress(std::string_view compressed)
    {
        if (!m_isOpen || compressed.size() > maximumContentBytes)
            return std::nullopt;
        std::string content;
        std::array<char, 16384> buffer{};
        // zlib only reads from next_in, although its type is not const.
        m_stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
        m_stream.avail_in = static_cast<uInt>(compressed.size());
        for (;;) {
            m_stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
            m_stream.avail_out = static_cast<uInt>(buffer.size());
            const int outcome = inflate(&m_stream, Z_NO_FLUSH);
            content.append(buffer.data(), buffer.size() - m_stream.avail_out);
            if (outcome == Z_STREAM_END)
                return content;
            if (outcome != Z_OK || content.size() > maximumContentBytes)
                return std::nullopt;
        }
    }

private:
    z_stream m_stream{};
    bool m_isOpen = false;
};

} // namespace

std::string compressEndpoints(const std::vector<listed_endpoint> &entries)
{
    configuration_lease_answer carrier;
    carrier.endpoints.entries = entries;
    const auto content = encodeMessage(carrier);
    auto size = compressBound(content.size());
    std::string compressed(size, '\0');
    // With a buffer of compressBound() it can only fail for lack of memory.
    if (compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(content.data()), content.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc();
    compressed.resize(size);
    return compressed;
}

std::optional<std::vector<listed_endpoint>> decompressEndpoints(std::string_view compressed)
{
    const auto content = inflater().decompress(compressed);
    if (!content)
        return std::nullopt;
    auto decoded = decodeMessage(*content);
    if (!decoded)
        return std::nullopt;
    auto *carrier = std::get_if<configuration_lease_answer>(&decoded.value());
    if (carrier == nullptr)
        return std::nullopt;
    return std::move(carrier->endpoints.entries);
}

} // namespace quetzalcleat::peer
