#pragma once

#include "LibCore/result.h"

#include <string>
#include <string_view>

namespace quetzalcleat::inventory {

/// Adds a drain of a host or an endpoint to a document by appending a table; the existing text is
/// kept byte for byte. If the target is drained already, the text is returned unchanged.
///
/// Errors: InvalidDocument, DanglingReference for an unknown target, DrainsNotExtensible if the
/// text has `drain = [...]`, core_error::FileTooLarge.
core::result<std::string> addDrain(std::string_view text, std::string_view target);

} // namespace quetzalcleat::inventory
