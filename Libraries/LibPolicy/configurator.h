#pragma once

#include "LibPolicy/tables.h"

#include <optional>

namespace quetzalcleat::policy {

/// Applies a document to the tables. Entities are matched by name; queued and running work is kept,
/// also that of entities which were removed from the document.
class configurator
{
public:
    static void apply(core_tables &tables, const inventory::document &document,
                      const host_location &location, core::instant now);

    /// Scales the limits of accounts and classes by the share of this host.
    static void setShare(core_tables &tables, double share, core::instant now);

    /// The pool for a request; created for an adapter that is used for the first time. Empty if no
    /// endpoint of the document serves it.
    static std::optional<std::uint32_t> poolFor(core_tables &tables, const request_spec &spec);

private:
    static void applyEndpoints(core_tables &tables, const inventory::document &document,
                               const host_location &location, core::instant now);
    static void applyClasses(core_tables &tables, const inventory::document &document,
                             core::instant now);
    static void applyAccounts(core_tables &tables, const inventory::document &document,
                              core::instant now);
    static void applyPools(core_tables &tables);
    static std::uint32_t findOrCreatePool(core_tables &tables, const pool_key &key);
    static void updatePool(core_tables &tables, pool_record &pool);
};

} // namespace quetzalcleat::policy
