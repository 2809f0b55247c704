#pragma once

#include "LibPeer/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::peer {

/// Tells how to make `to` from `from`. Pieces that end at a closing brace, such as the entries of a
/// list, are copied wherever they stand in `from`; everything else is sent.
document_patch makePatch(std::string_view from, std::string_view to);

/// Nothing if the patch does not belong to `from` or the result has another hash than it tells.
std::optional<std::string> applyPatch(std::string_view from, const document_patch &patch);

/// Bytes that a patch takes on the wire, about.
std::size_t patchBytes(const document_patch &patch);

} // namespace quetzalcleat::peer
