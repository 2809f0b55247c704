#pragma once

#include "LibCore/table_reader.h"
#include "LibInventory/document.h"
#include "LibInventory/source_lines.h"

namespace quetzalcleat::inventory::detail {

/// Checks the rules that span several entities of a document: unique names, addresses, token
/// hashes and ranks, the sum of minimum shares, consistent services, targets of drains.
void validate(const document &document, const source_lines &lines, core::error_list &errors);

} // namespace quetzalcleat::inventory::detail
