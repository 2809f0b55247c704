#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// What one process knows about another one.
struct host_status
{
    std::string host;
    std::string dataCentre; ///< Empty if the settings do not list the host.
    std::uint64_t incarnation = 0; ///< 0 if unknown.
    std::uint64_t revision = 0; ///< Configuration revision in force at the last report.
    bool alive = false; ///< Reported within the last few seconds.
    std::chrono::milliseconds age{0}; ///< Age of the last report.
};

/// View of the fleet from one process. The hosts' revisions come from gossip and from the control
/// hosts and may be a second or two old.
struct fleet_status
{
    std::uint64_t revision = 0; ///< In force in this process.
    std::string leader; ///< Host name of the leader of the replicated log; empty if unknown.
    /// No control host that follows a leader has confirmed within the last few seconds that the
    /// revision in force is the newest one.
    bool stale = true;
    std::vector<host_status> hosts; ///< Sorted by name; includes this process.
};

} // namespace quetzalcleat::peer
