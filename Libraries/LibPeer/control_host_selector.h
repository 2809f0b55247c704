#pragma once

#include "LibCore/time.h"
#include "LibPeer/peer_network.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// Chooses the control host through which this host subscribes and proposes: itself if it is one,
/// else one in its own data centre, else another one. The order among equals differs between
/// hosts, which spreads the load. One that does not confirm in time is replaced by the next one.
class control_host_selector
{
public:
    control_host_selector(std::shared_ptr<peer_network> network, core::instant now);

    /// Keeps a connection to the current control host, and selects the next one if it does not
    /// confirm.
    void tick(core::instant now);

    /// Records an answer of a control host that leads or follows a leader.
    void recordConfirmation(const std::string &host, core::instant now);

    /// The current control host; empty if there is none in the settings.
    std::string current() const;

    /// A second control host, also asked for newer revisions, so that an undetected failure of the
    /// current one does not delay a configuration. Empty on control hosts, which have the log, and
    /// if there is only one control host.
    std::string alternate() const;

    /// The control host for the given transmission of a proposal: first the current one, then the
    /// others in turn, the connected ones first.
    std::string hostForTransmission(std::uint32_t transmission) const;

    core::instant lastConfirmed() const { return m_lastConfirmed; }
    bool hasBeenConfirmed() const { return m_hasBeenConfirmed; }

private:
    std::shared_ptr<peer_network> m_network;
    std::vector<std::string> m_hosts; ///< In order of preference.
    std::size_t m_current = 0;
    core::instant m_selectedAt;
    core::instant m_lastConfirmed;
    bool m_hasBeenConfirmed = false;
};

} // namespace quetzalcleat::peer
