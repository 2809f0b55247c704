#include "LibPeer/configuration_feed.h"

#include <utility>

namespace quetzalcleat::peer {

bool configuration_feed::publish(state::configuration configuration)
{
    if (configuration.revision <= m_current.revision)
        return false;
    m_current = std::move(configuration);
    // A listener may add listeners or publish again, so no iterator and no reference to the current
    // configuration is held across a call.
    const auto inForce = m_current;
    for (std::size_t index = 0; index < m_listeners.size(); ++index) {
        if (m_current.revision != inForce.revision)
            break;
        const auto listener = m_listeners[index];
        listener(inForce);
    }
    return true;
}

void configuration_feed::onPublished(configuration_handler listener)
{
    m_listeners.push_back(std::move(listener));
}

} // namespace quetzalcleat::peer
