#pragma once

#include "quetzalcleatd/session_environment.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace quetzalcleat::daemon {

struct observer_options
{
    /// With the timeouts below, a "leaving" is seen at most 2 s after the endpoint reports it.
    std::chrono::milliseconds interval{500};
    http::transfer_timeouts timeouts{.connect = std::chrono::milliseconds(500),
                                     .firstByte = std::chrono::milliseconds(1000),
                                     .progress = std::chrono::milliseconds(500),
                                     .body = std::chrono::milliseconds(1000)};
    std::string platformAddress; ///< ip:port of the platform's host list, or empty.
};

/// Polls the load and the cache events of engines and the platform's host list, and reports them to
/// the decision core. Polls only engines in the subset that this host routes to.
class endpoint_observer : public std::enable_shared_from_this<endpoint_observer>
{
public:
    endpoint_observer(session_environment &environment, observer_options options);

    void start();
    void stop();

private:
    /// State of a polled URL. At most one request for it is in flight.
    struct poll
    {
        bool inFlight = false;
        bool failing = false; ///< Whether the last one failed.
        std::shared_ptr<http::endpoint_transfer> transfer; ///< While in flight.
        std::uint64_t incarnation = 0;
        std::uint64_t cacheSequence = 0;
    };

    using body_handler = std::function<void(std::string_view)>;

    void schedule();
    void pollAll();
    void pollEngine(const inventory::endpoint &engine);
    void pollPlatform();
    void fetch(const std::string &key, const core::socket_address &address,
               const std::string &target, body_handler onReport);
    void logFailure(const std::string &key, std::uint16_t status, std::error_code error);
    void abandon(const std::string &key);
    void onLoad(const std::string &name, std::string_view body);
    void onCacheEvents(const std::string &name, std::string_view body);
    void onHosts(std::string_view body);

    session_environment &m_environment;
    observer_options m_options;
    asio::steady_timer m_timer;
    std::map<std::string, poll> m_polls;
    bool m_stopped = false;
};

} // namespace quetzalcleat::daemon
