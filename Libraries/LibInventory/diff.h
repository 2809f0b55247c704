#pragma once

#include "LibInventory/document.h"

#include <string>
#include <vector>

namespace quetzalcleat::inventory {

enum class change_kind { Added, Removed, Changed };

/// One difference between two documents. Keys and values are as in the TOML text.
struct change
{
    change_kind kind = change_kind::Changed;
    std::string table; ///< For example "endpoint"; empty for keys outside of tables.
    std::string name; ///< Name of the entity; for a placement "MODEL@ENDPOINT".
    std::string key; ///< Changed key; empty for an added or removed entity.
    std::string before;
    std::string after;

    bool operator==(const change &) const = default;
};

/// Lists the changes from one document to another, in the order of tables and names. Entities are
/// matched by name.
std::vector<change> diff(const document &before, const document &after);

} // namespace quetzalcleat::inventory
