#include "LibInventory/drain_edit.h"

#include "LibCore/core_error.h"
#include "LibInventory/inventory_error.h"
#include "LibInventory/parser.h"

#include <algorithm>

namespace quetzalcleat::inventory {

namespace {

template <typename Entity>
bool contains(const std::vector<Entity> &table, std::string_view name)
{
    return std::any_of(table.begin(), table.end(),
                       [&](const Entity &entity) { return entity.name == name; });
}

} // namespace

core::result<std::string> addDrain(std::string_view text, std::string_view target)
{
    const auto parsed = parse(text, {});
    const auto *document = std::get_if<inventory::document>(&parsed);
    if (!document)
        return inventory_error::InvalidDocument;
    for (const auto &drain : document->drains) {
        if (drain.target == target)
            return std::string(text);
    }
    const bool isHost = contains(document->hosts, target);
    if (!isHost && !contains(document->endpoints, target))
        return inventory_error::DanglingReference;

    std::string edited(text);
    if (!edited.empty() && edited.back() != '\n')
        edited.push_back('\n');
    edited.append("\n[[drain]]\n").append(isHost ? "host" : "endpoint").append(" = \"");
    edited.append(target).append("\"\n");
    if (edited.size() > maximumInventoryBytes)
        return core::core_error::FileTooLarge;
    if (!std::holds_alternative<inventory::document>(parse(edited, {})))
        return inventory_error::DrainsNotExtensible;
    return edited;
}

} // namespace quetzalcleat::inventory
