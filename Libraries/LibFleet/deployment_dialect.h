#pragma once

#include "LibCore/result.h"
#include "LibFleet/duty_request.h"
#include "LibFleet/node_settings.h"
#include "LibForward/endpoint_list_reader.h"
#include "LibForward/route_table.h"
#include "LibForward/wire_names.h"
#include "LibState/duties.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzalcleat::fleet {

/// HTTP operations that this system serves itself, apart from forwarded requests.
enum class http_operation { ReadConfiguration, WriteConfiguration, Readiness, Unknown };

/// The number of endpoints of one kind that a service is to have in a data centre.
struct endpoint_order
{
    std::string service;
    std::string dataCentre;
    bool isSpot = false;
    std::uint32_t count = 0;

    bool operator==(const endpoint_order &) const = default;
};

/// Translates between the platform's wire formats and the types of LibForward and LibFleet;
/// contains no routing logic.
template <typename Dialect>
concept deployment_dialect = forward::endpoint_list_dialect<Dialect> && requires(
    const std::string &text, const forward::http_head &head, const duty_caller &caller,
    std::uint64_t window, const state::account_counts &counts, const endpoint_order &order)
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
        Dialect::httpOperation(head)
        } -> std::same_as<http_operation>;
    {
        Dialect::dutyHeaders(caller)
        } -> std::same_as<std::vector<forward::header_field>>;
    {
        Dialect::usageReport(window, counts)
        } -> std::same_as<duty_request>;
    {
        Dialect::orderCall(order)
        } -> std::same_as<duty_request>;
};

} // namespace quetzalcleat::fleet
