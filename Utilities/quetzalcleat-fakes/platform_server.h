#pragma once

#include "LibHttp/caller_server.h"
#include "LibInventory/document.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace quetzalcleat::fakes {

/// Fake of the platform's list of live and leaving hosts. `POST /hosts` with `name`, `state` and
/// `incarnation` changes an entry; `GET /hosts` shows the change after the lag.
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
    void applyVisibleChanges();

    http::caller_server m_server;
    std::chrono::milliseconds m_lag;
    std::vector<listed_host> m_hosts;
    std::deque<pending_change> m_pending;
};

} // namespace quetzalcleat::fakes
