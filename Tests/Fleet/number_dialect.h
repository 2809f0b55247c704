#pragma once

#include "LibFleet/deployment_dialect.h"

#include <cstdint>
#include <string>

namespace quetzalcleat::fleet::test {

/// A dialect in which the text of a configuration is its version.
struct number_dialect
{
    static core::result<node_settings> readSettings(const std::string & /*text*/)
    {
        return forward::forward_error::Malformed;
    }

    static core::result<forward::configuration> readConfiguration(const std::string &text)
    {
        const auto version = forward::parseNumber(text);
        if (!version)
            return forward::forward_error::Malformed;
        forward::configuration content;
        content.version = *version;
        return content;
    }

    static core::result<forward::endpoint_list_page>
    readEndpointListPage(const std::string & /*text*/)
    {
        return forward::endpoint_list_page{};
    }

    static std::string endpointListTarget(const std::string &pageToken)
    {
        return "/endpoints?page=" + pageToken;
    }

    static forward::wire_names wireNames() { return {}; }

    static duty_request orderCall(const endpoint_order &order)
    {
        return {"POST", "/order",
                order.service + ' ' + order.dataCentre + (order.isSpot ? " spot " : " ordinary ")
                    + std::to_string(order.count)};
    }

    static http_operation httpOperation(const forward::http_head &head)
    {
        if (head.path() != "/configuration")
            return http_operation::Unknown;
        return head.method == "GET" ? http_operation::ReadConfiguration
                                    : http_operation::WriteConfiguration;
    }

    static std::vector<forward::header_field> dutyHeaders(const duty_caller &caller)
    {
        return {{"Holder", caller.host}, {"Generation", std::to_string(caller.generation)}};
    }

    /// The body is the window and the counts, separated by spaces.
    static duty_request usageReport(std::uint64_t window, const state::account_counts &counts)
    {
        std::string body = std::to_string(window);
        for (const auto &[account, count] : counts)
            body += ' ' + account + '=' + std::to_string(count);
        return {"POST", "/counts", body};
    }
};

} // namespace quetzalcleat::fleet::test
