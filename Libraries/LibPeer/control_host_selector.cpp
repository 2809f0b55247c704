#include "LibPeer/control_host_selector.h"

#include "LibCore/hash.h"

#include <algorithm>
#include <tuple>

namespace quetzalcleat::peer {

namespace {

/// Longest time without a confirmation before another control host is selected. Subscriptions are
/// sent every second, and an election takes one to two seconds.
constexpr std::chrono::milliseconds confirmationTimeout{2500};

/// Longest time that a connection to a control host may take to open.
constexpr std::chrono::milliseconds connectTimeout{700};

} // namespace

control_host_selector::control_host_selector(std::shared_ptr<peer_network> network,
                                             core::instant now)
    : m_network(std::move(network)), m_selectedAt(now), m_lastConfirmed(now)
{
    const auto &options = m_network->options();
    const auto preference = [&](const std::string &host) {
        const auto *peer = m_network->findPeer(host);
        const bool remote = peer != nullptr && peer->dataCentre != options.dataCentre;
        return std::tuple(host != m_network->host(), remote,
                          core::hash64(m_network->host() + '\n' + host));
    };
    if (options.control)
        m_hosts.push_back(m_network->host());
    for (const auto &peer : options.peers) {
        if (peer.control)
            m_hosts.push_back(peer.name);
    }
    std::sort(m_hosts.begin(), m_hosts.end(), [&](const auto &left, const auto &right) {
        return preference(left) < preference(right);
    });
}

void control_host_selector::tick(core::instant now)
{
    if (m_hosts.empty())
        return;
    const bool connected = m_network->isConnected(current());
    const auto waiting = now - std::max(m_selectedAt, m_lastConfirmed);
    if (m_hosts.size() > 1 && waiting > (connected ? confirmationTimeout : connectTimeout)) {
        // On a control host, control_service keeps the connections to the other control hosts.
        if (!m_network->options().control)
            m_network->keepConnected(current(), false);
        m_current = (m_current + 1) % m_hosts.size();
        m_selectedAt = now;
    }
    m_network->keepConnected(current(), true);
}

void control_host_selector::recordConfirmation(const std::string &host, core::instant now)
{
    m_hasBeenConfirmed = true;
    if (host == current())
        m_lastConfirmed = now;
}

std::string control_host_selector::current() const
{
    return m_hosts.empty() ? std::string() : m_hosts[m_current];
}

std::string control_host_selector::alternate() const
{
    if (m_network->options().control || m_hosts.size() < 2)
        return {};
    return m_hosts[(m_current + 1) % m_hosts.size()];
}

std::string control_host_selector::hostForTransmission(std::uint32_t transmission) const
{
    if (m_hosts.empty())
        return {};
    if (transmission == 0 && m_network->isConnected(current()))
        return current();
    std::vector<std::string> connected;
    for (std::size_t offset = 0; offset < m_hosts.size(); ++offset) {
        const auto &host = m_hosts[(m_current + offset) % m_hosts.size()];
        if (m_network->isConnected(host))
            connected.push_back(host);
    }
    // Without a connection, and in every third transmission, tries a host that may have recovered.
    if (connected.empty() || transmission % 3 == 2)
        return m_hosts[(m_current + transmission) % m_hosts.size()];
    return connected[transmission % connected.size()];
}

} // namespace quetzalcleat::peer
