#pragma once

#include <cstdint>
#include <vector>

namespace quetzalcleat::inventory::detail {

/// Line of each entity of a document's tables, in the order of the tables.
struct source_lines
{
    std::vector<std::uint32_t> regions;
    std::vector<std::uint32_t> dataCentres;
    std::vector<std::uint32_t> hosts;
    std::vector<std::uint32_t> endpoints;
    std::vector<std::uint32_t> accounts;
    std::vector<std::uint32_t> tiers;
    std::vector<std::uint32_t> classes;
    std::vector<std::uint32_t> placements;
    std::vector<std::uint32_t> drains;
};

} // namespace quetzalcleat::inventory::detail
