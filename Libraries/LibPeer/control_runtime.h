#pragma once

#include "LibCore/counter_registry.h"
#include "LibCore/result.h"
#include "LibCore/settings.h"
#include "LibPeer/control_client.h"

#include <cstdint>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

namespace quetzalcleat::peer {

class control_service;

struct control_runtime_options
{
    bool initialiseCluster = false; ///< See control_service_options.
    std::string seedDocument; ///< First configuration of a new cluster; may be empty.
    /// Start number of this process; must exceed those of its predecessors on this host. 0 stands
    /// for the current calendar time in microseconds.
    std::uint64_t incarnation = 0;
    control_client_options client;
    /// A control host takes a snapshot after this many applied entries.
    std::uint64_t snapshotEntries = 10'000;
};

/// The parts of a process that make it a member of the fleet: the connections to the other
/// processes, the replicated log if it is a control host, and the client of the replicated state.
///
/// Belongs to the thread that runs the context; the context must outlive it.
class control_runtime
{
public:
    /// Listens on the peer address and opens the data folder of a control host. Nothing is sent
    /// before start().
    static core::result<std::unique_ptr<control_runtime>>
    create(asio::io_context &context, const core::settings &settings,
           core::counter_registry &counters, control_runtime_options options = {});
    ~control_runtime();

    control_runtime(const control_runtime &) = delete;
    control_runtime &operator=(const control_runtime &) = delete;

    void start();

    /// Closes all connections and files. Waiting calls get peer_error::Undecided.
    void stop();

    control_client &client();
    std::uint64_t incarnation() const;
    std::uint16_t peerPort() const; ///< Port that peers connect to.
    bool isLeader() const; ///< False on hosts without the control role.
    bool isVoter() const; ///< Whether this host's member of the log is a voter.

private:
    struct implementation;

    explicit control_runtime(std::unique_ptr<implementation> content);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::peer
