#include "fake_control_plane.h"

#include "LibPeer/peer_error.h"

#include <asio/post.hpp>

namespace quetzalcleat::tests {

using state::claim_verdict_kind;

std::pair<std::string, std::string> fake_control_plane::idOf(const state::claim_key &key)
{
    return {key.account, key.key};
}

state::claim_verdict fake_control_plane::decide(const state::claim_request &request)
{
    if (forcedVerdict)
        return *forcedVerdict;
    const auto found = m_records.find(idOf(request.attempt.key));
    if (found == m_records.end()) {
        m_records[idOf(request.attempt.key)]
            = {claim_verdict_kind::InProgress, request.bodyHash, {}};
        return {claim_verdict_kind::Granted, {}};
    }
    if (found->second.bodyHash != request.bodyHash)
        return {claim_verdict_kind::BodyMismatch, {}};
    return {found->second.kind, found->second.answer};
}

void fake_control_plane::claim(state::claim_request request, std::chrono::milliseconds,
                               peer::claim_handler handler)
{
    claims.push_back(request);
    auto deliverVerdict = [this, request = std::move(request), handler = std::move(handler)] {
        if (unreachable)
            handler(peer::peer_error::Undecided);
        else
            handler(decide(request));
    };
    if (delaysClaims)
        delayedVerdicts.push_back(std::move(deliverVerdict));
    else
        asio::post(m_context, std::move(deliverVerdict));
}

void fake_control_plane::finishClaim(state::claim_result result)
{
    auto &entry = m_records[idOf(result.attempt.key)];
    entry.kind
        = result.outcomeKnown ? claim_verdict_kind::Finished : claim_verdict_kind::OutcomeUnknown;
    entry.answer = result.answer;
    finished.push_back(std::move(result));
}

void fake_control_plane::abandonClaim(state::claim_attempt attempt)
{
    m_records.erase(idOf(attempt.key));
    abandoned.push_back(std::move(attempt));
}

void fake_control_plane::closeClaim(state::claim_key key, std::chrono::milliseconds,
                                    peer::claim_handler handler)
{
    closed.push_back(key);
    asio::post(m_context, [this, key = std::move(key), handler = std::move(handler)] {
        if (unreachable) {
            handler(peer::peer_error::Undecided);
            return;
        }
        const auto [found, isNew] = m_records.try_emplace(idOf(key));
        if (isNew)
            found->second.kind = claim_verdict_kind::Closed;
        handler(state::claim_verdict{found->second.kind, found->second.answer});
    });
}

void fake_control_plane::applyEdit(state::edit edit, std::chrono::milliseconds,
                                   peer::edit_handler handler)
{
    asio::post(m_context, [this, edit = std::move(edit), handler = std::move(handler)] {
        if (unreachable) {
            handler(peer::peer_error::Undecided);
            return;
        }
        if (edit.baseRevision != m_configuration.revision) {
            handler(
                state::edit_verdict{state::edit_verdict_kind::Conflict, m_configuration.revision});
            return;
        }
        publish(edit.document);
        handler(state::edit_verdict{state::edit_verdict_kind::Accepted, m_configuration.revision});
    });
}

void fake_control_plane::onConfiguration(peer::configuration_handler handler)
{
    m_listeners.push_back(std::move(handler));
    if (m_configuration.revision > 0)
        m_listeners.back()(m_configuration);
}

void fake_control_plane::publish(std::string document)
{
    ++m_configuration.revision;
    m_configuration.document = std::move(document);
    for (const auto &listener : m_listeners)
        listener(m_configuration);
}

peer::fleet_status fake_control_plane::status() const
{
    peer::fleet_status status;
    status.revision = m_configuration.revision;
    status.leader = "h1";
    status.stale = false;
    return status;
}

} // namespace quetzalcleat::tests
