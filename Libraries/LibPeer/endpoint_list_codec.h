#pragma once

#include "LibPeer/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::peer {

/// Encodes and compresses a list of endpoints. Entries of one service differ little, and every host
/// that starts is sent the complete list.
std::string compressEndpoints(const std::vector<listed_endpoint> &entries);

/// Nothing if the input is damaged or its content too large.
std::optional<std::vector<listed_endpoint>> decompressEndpoints(std::string_view compressed);

} // namespace quetzalcleat::peer
