#pragma once

#include "LibCore/result.h"

#include <string>
#include <string_view>

namespace quetzalcleat::inventory {

/// Adds a drain of a host or an endpoint to a document. Every byte of the text stays as it is;
/// the new table follows at the end. A target that is drained already leaves the text unchanged.
///
/// Errors: InvalidDocument, DanglingReference for an unknown target, DrainsNotExtensible if the
/// text holds `drain = [...]`, core_error::FileTooLarge.
core::result<std::string> addDrain(std::string_view text, std::string_view target);

} // namespace quetzalcleat::inventory
