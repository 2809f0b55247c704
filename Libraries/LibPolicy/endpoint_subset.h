#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <vector>

namespace quetzalcleat::policy {

/// Chooses the endpoints of a pool that this host uses, by rendezvous hashing over the host's name
/// (Thaler, Ravishankar, 1998): local ones first, then the same region, then the others. Each
/// host gets a different subset, and a change of the document changes little of it.
void selectSubset(core_tables &tables, pool_record &pool, std::vector<std::uint32_t> serving);

} // namespace quetzalcleat::policy
