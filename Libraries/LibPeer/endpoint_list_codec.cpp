#include "LibPeer/endpoint_list_codec.h"

#include "LibPeer/message_codec.h"
#include "LibPeer/text_compression.h"

#include <utility>

namespace quetzalcleat::peer {

namespace {

/// Bound of the uncompressed size, far above a list of the 1,900 endpoints expected in two
/// years.
constexpr std::size_t maximumContentBytes = std::size_t{4} * 1024 * 1024;

} // namespace

std::string compressEndpoints(const std::vector<listed_endpoint> &entries)
{
    configuration_lease_answer carrier;
    carrier.endpoints.entries = entries;
    return compressText(encodeMessage(carrier));
}

std::optional<std::vector<listed_endpoint>> decompressEndpoints(std::string_view compressed)
{
    const auto content = decompressText(compressed, maximumContentBytes);
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
