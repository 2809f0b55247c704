#pragma once

#include "LibPeer/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalcleat::peer {

/// The steps that turn `from` into `to`. Pieces that end at a closing brace, such as the entries of
/// a list, are copied from anywhere in `from`; all other text is contained in the patch.
document_patch makePatch(std::string_view from, std::string_view to);

/// Nothing if a step lies outside `from` or the result does not have the hash in the patch.
std::optional<std::string> applyPatch(std::string_view from, const document_patch &patch);

/// Approximate size of a patch on the wire.
std::size_t patchBytes(const document_patch &patch);

} // namespace quetzalcleat::peer
