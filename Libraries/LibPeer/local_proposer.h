#pragma once

#include "LibCore/result.h"
#include "LibPeer/peer_network.h"
#include "LibState/command.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

/// Proposes commands to the log on a control host. Only while this host leads: a command is not
/// forwarded to another leader, as it may be wrong by the time it arrives there.
class local_proposer : public std::enable_shared_from_this<local_proposer>
{
public:
    /// No error if the command is committed and the state accepted it, otherwise that of the state,
    /// or peer_error::Undecided. The state of this host then contains the result.
    using handler = std::function<void(core::result<void>)>;

    /// To be called before the network starts.
    static std::shared_ptr<local_proposer> create(std::shared_ptr<peer_network> network);

    /// The handler is called exactly once, later, unless stop() comes before.
    void propose(state::command_body body, handler done);
    void stop();

private:
    struct proposal
    {
        handler done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    explicit local_proposer(std::shared_ptr<peer_network> network);

    void finish(std::uint64_t id, core::result<void> outcome);

    std::shared_ptr<peer_network> m_network;
    std::map<std::uint64_t, proposal> m_proposals;
    /// Starts at random, since other parts of the process propose with ids of their own.
    std::uint64_t m_lastId;
    bool m_stopped = false;
};

} // namespace quetzalcleat::peer
