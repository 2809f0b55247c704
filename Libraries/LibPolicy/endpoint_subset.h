#pragma once

#include "LibPolicy/tables.h"

#include <cstdint>
#include <vector>

namespace quetzalcleat::policy {

/// Chooses the endpoints of a pool that this host uses, by rendezvous hashing over the host's name
/// (Thaler, Ravishankar, 1998): local ones first, then the same region, then the others. Every
/// host takes others, and a change of the document changes few of them.
void selectSubset(core_tables &tables, pool_record &pool, std::vector<std::uint32_t> serving);

} // namespace quetzalcleat::policy
