#pragma once

#include "LibCore/settings.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::fleet {

/// Settings of a process in a fleet without a fixed list of peers. Hosts are identified by their IP
/// address; control hosts are discovered through a few seeds.
struct node_settings
{
    std::string hostName; ///< For logs and metrics.
    std::string ip;
    std::string dataCentre;
    std::string region;
    std::map<std::string, std::string> regions; ///< Region of each data centre.

    std::optional<core::socket_address> callerAddress; ///< Set on hosts with the entry role.
    std::optional<core::socket_address> readinessAddress;
    std::optional<core::socket_address> controlAddress; ///< Set on hosts with the control role.
    std::uint16_t peerPort = 0; ///< The same on all hosts.
    std::vector<std::string> seeds; ///< Addresses of some control hosts; may be out of date.
    bool bootstrapsCluster = false; ///< This is the first start of the whole fleet.
    std::filesystem::path dataFolder; ///< Control role only.
    std::size_t tolerableDiskLosses = 1; ///< Simultaneous losses to survive.

    core::socket_address endpointListAddress; ///< The platform's list of endpoints.
    double endpointListRequestRate = 0; ///< Allowed calls per second, over all hosts.

    std::chrono::milliseconds endpointListLag{1000}; ///< Of the list behind the endpoints.

    std::chrono::milliseconds graceTime{8000}; ///< Between SIGTERM and SIGKILL.
    std::chrono::milliseconds revocationTime{5000}; ///< Until a removed key is refused everywhere.
    /// After an endpoint says that it leaves, it may be sent requests for this long.
    std::chrono::milliseconds drainTime{4000};
    double retryRatio = 0.2;
    std::chrono::milliseconds retryWindow{10'000};
    double additionalRetries = 0; ///< Per window on top of the ratio, over all hosts.
    std::uint64_t descriptorLimit = 4096;
    /// Bytes at which the platform ends this process; 0 if it states no limit.
    std::uint64_t memoryLimit = 0;

    /// Connections of each of the readiness, metrics and control addresses.
    std::size_t serverSessions() const
    {
        constexpr std::uint64_t most = 200;
        constexpr std::uint64_t descriptorsPerSession = 16;
        return std::clamp<std::uint64_t>(descriptorLimit / descriptorsPerSession, 4, most);
    }

    /// Calls to the platform that one host at a time makes for the whole fleet.
    struct duty_settings
    {
        bool reportsUsage = false;
        bool ordersEndpoints = false;
        double requestRate = 0; ///< Allowed calls per second, over all hosts and duties.
        std::chrono::milliseconds leaseTime{3000};
        std::chrono::milliseconds usageWindow{5000};
        std::chrono::milliseconds usageDelay{10'000}; ///< A report is due so long after its window.

        bool any() const { return reportsUsage || ordersEndpoints; }
    };
    duty_settings duties;
};

} // namespace quetzalcleat::fleet
