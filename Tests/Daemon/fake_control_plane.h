#pragma once

#include "LibPeer/control_plane.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quetzalcleat::tests {

/// An in-memory control plane of a single host. Satisfies peer::control_plane.
class fake_control_plane
{
public:
    explicit fake_control_plane(asio::io_context &context) : m_context(context) { }

    void claim(state::claim_request request, std::chrono::milliseconds timeout,
               peer::claim_handler handler);
    void finishClaim(state::claim_result result);
    void abandonClaim(state::claim_attempt attempt);
    void closeClaim(state::claim_key key, std::chrono::milliseconds timeout,
                    peer::claim_handler handler);
    void applyEdit(state::edit edit, std::chrono::milliseconds timeout, peer::edit_handler handler);
    void onConfiguration(peer::configuration_handler handler);
    void onIncarnationRaised(peer::incarnation_handler handler)
    {
        m_incarnationHandlers.push_back(std::move(handler));
    }
    peer::fleet_status status() const;

    void raiseIncarnation(std::uint64_t incarnation)
    {
        for (const auto &handler : m_incarnationHandlers)
            handler(incarnation);
    }
    void publish(std::string document);
    void removeListeners() { m_listeners.clear(); }

    /// The verdict for every claim, if set.
    std::optional<state::claim_verdict> forcedVerdict;
    /// Collects the verdicts of claims in delayedVerdicts until the test delivers them.
    bool delaysClaims = false;
    /// Fails claims and edits like a host without a leader.
    bool unreachable = false;
    std::vector<std::function<void()>> delayedVerdicts;

    std::vector<state::claim_request> claims;
    std::vector<state::claim_result> finished;
    std::vector<state::claim_attempt> abandoned;
    std::vector<state::claim_key> closed;

private:
    struct record
    {
        state::claim_verdict_kind kind = state::claim_verdict_kind::InProgress;
        std::string bodyHash;
        state::stored_response answer;
    };

    static std::pair<std::string, std::string> idOf(const state::claim_key &key);
    state::claim_verdict decide(const state::claim_request &request);

    asio::io_context &m_context;
    std::map<std::pair<std::string, std::string>, record> m_records; ///< By account and key.
    state::configuration m_configuration;
    std::vector<peer::configuration_handler> m_listeners;
    std::vector<peer::incarnation_handler> m_incarnationHandlers;
};

static_assert(peer::control_plane<fake_control_plane>);

} // namespace quetzalcleat::tests
