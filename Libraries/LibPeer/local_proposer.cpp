#include "LibPeer/local_proposer.h"

#include "LibCore/hash.h"
#include "LibPeer/peer_error.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::peer {

namespace {

/// Longer than a commit takes with 20 ms between regions and a slow disk.
constexpr std::chrono::milliseconds proposalTimeout{2000};

} // namespace

local_proposer::local_proposer(std::shared_ptr<peer_network> network)
    : m_network(std::move(network)), m_lastId(core::hash64(core::secureRandomBytes(8)) >> 1U)
{
}

std::shared_ptr<local_proposer> local_proposer::create(std::shared_ptr<peer_network> network)
{
    std::shared_ptr<local_proposer> self(new local_proposer(std::move(network)));
    const std::weak_ptr<local_proposer> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const message &content) {
        const auto *result = std::get_if<propose_result>(&content);
        const auto proposer = weak.lock();
        if (result == nullptr || !proposer || host != proposer->m_network->host())
            return;
        const auto outcome = commandResult(*result);
        if (result->outcome != propose_outcome::Committed)
            proposer->finish(result->proposalId, peer_error::Undecided);
        else if (outcome.error)
            proposer->finish(result->proposalId, outcome.error);
        else
            proposer->finish(result->proposalId, {});
    });
    return self;
}

void local_proposer::propose(state::command_body body, handler done)
{
    state::command command;
    command.body = std::move(body);
    const auto bytes = state::encodeCommand(command);
    const auto id = ++m_lastId;
    auto timer = std::make_unique<asio::steady_timer>(m_network->context(), proposalTimeout);
    const std::weak_ptr<local_proposer> weak = weak_from_this();
    const auto end = [weak, id](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self)
            self->finish(id, peer_error::Undecided);
    };
    // With `forwarded` set, a host that does not lead answers instead of forwarding.
    const auto sent = m_network->send(
        m_network->host(),
        peer::propose{id, true, {reinterpret_cast<const char *>(bytes.data()), bytes.size()}});
    if (!sent)
        timer->expires_after(std::chrono::milliseconds(0));
    timer->async_wait(end);
    m_proposals[id] = {std::move(done), std::move(timer)};
}

void local_proposer::finish(std::uint64_t id, core::result<void> outcome)
{
    const auto found = m_proposals.find(id);
    if (m_stopped || found == m_proposals.end())
        return;
    const auto done = std::move(found->second.done);
    m_proposals.erase(found);
    done(outcome);
}

void local_proposer::stop()
{
    m_stopped = true;
    m_proposals.clear();
}

} // namespace quetzalcleat::peer
