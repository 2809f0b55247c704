#pragma once

#include "LibHttp/caller_server.h"
#include "LibInventory/document.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace quetzalcleat::fakes {

/// Fake of the platform's list of live and leaving hosts, and of its calls for duties.
///
/// `POST /hosts` with `name`, `state` and `incarnation` changes an entry; `GET /hosts` shows the
/// change after the lag. `POST /scale` and `POST /usage` are accepted as on the platform; `GET` of
/// these paths shows what was accepted. `POST /refusals` with `path`, `status` and `calls` refuses
/// the next calls of a path with this status.
class platform_server
{
public:
    platform_server(asio::io_context &context, core::socket_address address,
                    const inventory::document &document, std::chrono::milliseconds lag);

    core::result<void> open() { return m_server.open(); }
    std::uint16_t port() const { return m_server.port(); }

private:
    struct listed_host
    {
        std::string name;
        std::string address;
        std::string state = "live";
        std::uint64_t incarnation = 1;
    };

    struct pending_change
    {
        std::chrono::steady_clock::time_point visibleAt;
        listed_host host;
    };

    void handle(http::caller_exchange &exchange);
    void handleHosts(http::caller_exchange &exchange);
    void handleDuty(http::caller_exchange &exchange);
    void handleOrder(http::caller_exchange &exchange, const nlohmann::json &body);
    void handleUsage(http::caller_exchange &exchange, const nlohmann::json &body);
    void handleRefusals(http::caller_exchange &exchange);
    void applyVisibleChanges();

    struct refusal
    {
        std::uint16_t status = 0;
        std::uint64_t calls = 0; ///< Left.
    };

    http::caller_server m_server;
    std::chrono::milliseconds m_lag;
    std::vector<listed_host> m_hosts;
    std::deque<pending_change> m_pending;
    std::map<std::string, nlohmann::json> m_orders; ///< By service, zone and kind.
    std::map<std::uint64_t, nlohmann::json> m_usage; ///< Reports by window.
    std::map<std::string, refusal> m_refusals; ///< By path.
};

} // namespace quetzalcleat::fakes
