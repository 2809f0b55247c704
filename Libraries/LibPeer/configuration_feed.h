#pragma once

#include "LibPeer/control_plane.h"

#include <cstdint>
#include <vector>

namespace quetzalcleat::peer {

/// The newest accepted configuration known to a process. Its revision only increases.
class configuration_feed
{
public:
    /// Puts a configuration in force and tells the listeners. Returns false and changes nothing if
    /// its revision is not greater than the one in force.
    bool publish(state::configuration configuration);

    const state::configuration &current() const { return m_current; }
    std::uint64_t revision() const { return m_current.revision; }

    /// Calls the listener with every later configuration. Listeners live as long as the feed.
    void onPublished(configuration_handler listener);

private:
    state::configuration m_current;
    std::vector<configuration_handler> m_listeners;
};

} // namespace quetzalcleat::peer
