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
/// hosts, which spreads them. One that does not confirm for a while is left for the next one.
class control_link
{
public:
    control_link(std::shared_ptr<peer_network> network, core::instant now);

    /// Keeps a connection to the current control host, and changes it if it does not confirm.
    void tick(core::instant now);

    /// A control host that follows a leader has answered.
    void confirmed(const std::string &host, core::instant now);

    /// The current control host; empty if there is none in the settings.
    std::string current() const;

    /// Another control host, asked in addition for newer revisions, so that a failure of the
    /// current one does not delay a configuration until it is noticed. Empty on control hosts,
    /// which have the log, and if there is only one.
    std::string second() const;

    /// The control host for the given transmission of a proposal: first the current one, then the
    /// others in turn, the connected ones first.
    std::string forTransmission(std::uint32_t transmission) const;

    core::instant lastConfirmed() const { return m_lastConfirmed; }
    bool everConfirmed() const { return m_everConfirmed; }

private:
    std::shared_ptr<peer_network> m_network;
    std::vector<std::string> m_hosts; ///< In order of preference.
    std::size_t m_current = 0;
    core::instant m_chosenAt;
    core::instant m_lastConfirmed;
    bool m_everConfirmed = false;
};

} // namespace quetzalcleat::peer
