#pragma once

#include "LibCore/result.h"
#include "LibFleet/node_settings.h"
#include "LibForward/list_reader.h"
#include "LibForward/route_table.h"
#include "LibForward/wire_names.h"

#include <concepts>
#include <string>

namespace quetzalcleat::fleet {

/// Calls from other systems to this one, apart from forwarded requests.
enum class external_call { ReadConfiguration, WriteConfiguration, Readiness, Unknown };

/// Translates the wire names and formats of a deployment. Contains no decisions.
template <typename Dialect>
concept deployment_dialect
    = forward::list_dialect<Dialect> && requires(const std::string &text,
                                                 const forward::http_head &head)
{
    {
        Dialect::readSettings(text)
        } -> std::same_as<core::result<node_settings>>;
    {
        Dialect::readConfiguration(text)
        } -> std::same_as<core::result<forward::configuration>>;
    {
        Dialect::wireNames()
        } -> std::same_as<forward::wire_names>;
    {
        Dialect::externalCall(head)
        } -> std::same_as<external_call>;
};

} // namespace quetzalcleat::fleet
