#include "LibPeer/control_runtime.h"

#include "LibPeer/configuration_feed.h"
#include "LibPeer/configuration_publisher.h"
#include "LibPeer/control_service.h"
#include "LibPeer/peer_network.h"

#include <utility>

namespace quetzalcleat::peer {

namespace {

std::uint64_t calendarMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

peer_network_options networkOptions(const core::settings &settings, std::uint64_t incarnation)
{
    peer_network_options options;
    options.identity = {settings.clusterName, settings.hostName, incarnation, settings.peerKeys};
    options.dataCentre = settings.dataCentre;
    options.control = settings.control;
    options.address = settings.peerAddress;
    options.peers = settings.peers;
    return options;
}

} // namespace

struct control_runtime::implementation
{
    std::shared_ptr<peer_network> network;
    std::shared_ptr<configuration_feed> feed;
    std::shared_ptr<configuration_publisher> publisher;
    std::shared_ptr<control_service> service; ///< Null on hosts without the control role.
    std::shared_ptr<control_client> client;
};

control_runtime::control_runtime(std::unique_ptr<implementation> content)
    : m_implementation(std::move(content))
{
}

control_runtime::~control_runtime()
{
    stop();
}

core::result<std::unique_ptr<control_runtime>>
control_runtime::create(asio::io_context &context, const core::settings &settings,
                        core::counter_registry &counters, control_runtime_options options)
{
    const auto incarnation
        = options.incarnation != 0 ? options.incarnation : calendarMicroseconds();
    auto network = peer_network::create(context, counters, networkOptions(settings, incarnation));
    if (!network)
        return network.error();
    auto content = std::make_unique<implementation>();
    content->network = std::move(network).value();
    content->feed = std::make_shared<configuration_feed>();
    content->publisher = configuration_publisher::create(content->network, content->feed);
    if (settings.control) {
        auto service
            = control_service::create(content->network, content->feed, content->publisher,
                                      {settings.dataFolder, options.initialiseCluster,
                                       std::move(options.seedDocument), options.snapshotEntries});
        if (!service) {
            content->network->stop();
            return service.error();
        }
        content->service = std::move(service).value();
    }
    content->client
        = control_client::create(content->network, content->feed, std::move(options.client));
    return std::unique_ptr<control_runtime>(new control_runtime(std::move(content)));
}

void control_runtime::start()
{
    if (m_implementation->service)
        m_implementation->service->start();
    m_implementation->publisher->start();
    m_implementation->client->start();
    m_implementation->network->start();
}

void control_runtime::stop()
{
    m_implementation->client->stop();
    if (m_implementation->service)
        m_implementation->service->stop();
    m_implementation->publisher->stop();
    m_implementation->network->stop();
}

control_client &control_runtime::client()
{
    return *m_implementation->client;
}

std::uint64_t control_runtime::incarnation() const
{
    return m_implementation->network->incarnation();
}

std::uint16_t control_runtime::peerPort() const
{
    return m_implementation->network->port();
}

bool control_runtime::isLeader() const
{
    return m_implementation->service && m_implementation->service->isLeader();
}

bool control_runtime::isVoter() const
{
    return m_implementation->service && m_implementation->service->isVoter();
}

} // namespace quetzalcleat::peer
