#pragma once

#include "LibCore/located_error.h"
#include "LibCore/logger.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace quetzalcleat::core {

/// An IP address and a TCP port, for example 127.0.0.1:8080.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const socket_address &) const = default;
    std::string text() const
    {
        const bool isVersion6 = ip.find(':') != std::string::npos;
        return (isVersion6 ? '[' + ip + ']' : ip) + ':' + std::to_string(port);
    }
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Host names and port 0 are refused.
std::optional<socket_address> parseSocketAddress(std::string_view text);

/// Whether the text is a valid name of a host or another entity: 1 to 64 letters, digits, '.', '_'
/// or '-'. Names are used in URLs, headers and metric labels without escaping.
bool isValidName(std::string_view text);

/// Another process of the same deployment.
struct peer_settings
{
    std::string name;
    std::string dataCentre;
    socket_address address;
    bool control = false; ///< Whether the peer holds the replicated log.
};

/// Limits on what callers and operators may make a process hold. No legal caller reaches them.
struct caller_limit_settings
{
    std::uint64_t memoryMebibytes = 256; ///< Memory of the machine for this process.
    std::chrono::milliseconds headTime{10'000}; ///< From the first byte of a head to its end.
    std::uint64_t bodyBytesPerSecond = 1024; ///< Lowest rate of a body.
    std::uint64_t documentValues = 100'000; ///< Of a JSON or TOML document.
};

/// Settings of one process, from its settings file. Everything that hosts share is in the inventory
/// instead.
struct settings
{
    std::string clusterName;
    std::string hostName;
    std::string dataCentre;
    std::string region;
    bool entry = false;
    bool control = false;
    socket_address callerAddress;
    socket_address operatorAddress;
    socket_address peerAddress;
    std::filesystem::path dataFolder; ///< Only used by the control role.
    std::vector<peer_settings> peers; ///< The process itself is not in the list.
    std::vector<std::string> peerKeys; ///< The first one signs; all of them verify. At most two.
    std::string operatorKey;
    log_level logLevel = log_level::Information;
    std::filesystem::path seedInventory; ///< First configuration of a new cluster; may be empty.
    std::string platformHostListAddress; ///< ip:port of the platform's host list; may be empty.
    /// How long a stopping process keeps accepting connections, so that the load balancer notices
    /// first that it is leaving.
    std::chrono::milliseconds balancerNoticeTime{2000};
    /// Longest time that a stopping process waits for requests in flight.
    std::chrono::milliseconds stopGraceTime{120000};
    caller_limit_settings callerLimits;
};

/// Parses a settings file of at most 1 MiB. Every error is listed with its line; unknown keys are
/// errors.
std::variant<settings, std::vector<located_error>> parseSettings(std::string_view text,
                                                                 std::string_view fileName);

/// Reads and parses a settings file of at most 1 MiB.
std::variant<settings, std::vector<located_error>> loadSettings(const std::filesystem::path &path);

} // namespace quetzalcleat::core
