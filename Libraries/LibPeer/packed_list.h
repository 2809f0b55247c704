#pragma once

#include "LibPeer/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalcleat::peer {

/// Endpoints as compressed text. Entries of one service differ in little, and a whole list goes to
/// every host that starts.
std::string packEndpoints(const std::vector<endpoint_entry> &entries);

/// Nothing for text that is damaged or too large.
std::optional<std::vector<endpoint_entry>> unpackEndpoints(std::string_view packed);

} // namespace quetzalcleat::peer
