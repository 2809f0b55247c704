#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace quetzalcleat::core {

/// Index of an entity in its table. The tag makes ids of different tables distinct types.
template <typename Tag>
struct entity_id
{
    std::uint32_t value = 0;

    auto operator<=>(const entity_id &) const = default;
};

} // namespace quetzalcleat::core

template <typename Tag>
struct std::hash<quetzalcleat::core::entity_id<Tag>>
{
    std::size_t operator()(quetzalcleat::core::entity_id<Tag> id) const noexcept
    {
        return std::hash<std::uint32_t>{}(id.value);
    }
};
