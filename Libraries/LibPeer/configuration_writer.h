#pragma once

#include "LibPeer/control_service.h"
#include "LibPeer/peer_network.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

enum class write_outcome {
    Accepted, ///< Committed by a majority.
    NotNewer, ///< The version is not above the one in force; nothing was changed.
    NotLeader, ///< Another host leads; see control_service::leaderHost().
    Undecided, ///< It may or may not have been accepted.
};

/// Writes documents with a version to the replicated log so that the highest version wins.
///
/// Each write is an edit of the newest revision. Of two concurrent writes, one gets a conflict of
/// base revisions, and its version is compared again. Belongs to the event loop of a control host.
class configuration_writer : public std::enable_shared_from_this<configuration_writer>
{
public:
    using handler = std::function<void(write_outcome)>;
    /// Version of an accepted document.
    using version_reader = std::function<std::uint64_t(const std::string &)>;

    static std::shared_ptr<configuration_writer> create(std::shared_ptr<peer_network> network,
                                                        std::shared_ptr<control_service> service,
                                                        std::size_t minimumVoters,
                                                        version_reader versionOf);

    void write(std::string document, std::uint64_t version, handler done);
    bool hasPendingWrites() const { return !m_writes.empty(); }
    void stop();

private:
    struct pending_write
    {
        std::string document;
        std::uint64_t version = 0;
        handler done;
        int attempts = 0;
    };

    configuration_writer(std::shared_ptr<peer_network> network,
                         std::shared_ptr<control_service> service, std::size_t minimumVoters,
                         version_reader versionOf);

    void startNextWrite();
    void handleResult(const propose_result &result);
    void finish(write_outcome outcome);

    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<control_service> m_service;
    std::size_t m_minimumVoters;
    version_reader m_versionOf;
    asio::steady_timer m_timer;
    std::deque<pending_write> m_writes; ///< The first one is in progress.
    std::uint64_t m_proposalId = 0;
    bool m_isWaiting = false;
    std::uint64_t m_knownRevision = 0; ///< Revision whose version is m_knownVersion.
    std::uint64_t m_knownVersion = 0;
    bool m_stopped = false;
};

} // namespace quetzalcleat::peer
