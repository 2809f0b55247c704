#pragma once

#include "LibCore/result.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace quetzalcleat::peer {

class configuration_feed;
class configuration_publisher;
class peer_network;

struct control_service_options
{
    std::filesystem::path dataFolder;
    /// First start of a control host of a new cluster: the control hosts in the settings are its
    /// initial voters. Only has an effect on an empty data folder.
    bool initialiseCluster = false;
    /// First configuration of a new cluster; empty for none.
    std::string seedDocument;
    /// A snapshot is taken after this many applied entries.
    std::uint64_t snapshotEntries = 10'000;
};

/// The replicated log and state on a control host: runs raft over the peer network, syncs on a
/// worker thread, answers proposals of all hosts and publishes accepted configurations.
class control_service
{
public:
    /// Opens the data folder. Errors are those of the log store.
    static core::result<std::shared_ptr<control_service>>
    create(std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed,
           std::shared_ptr<configuration_publisher> publisher, control_service_options options);
    ~control_service();

    control_service(const control_service &) = delete;
    control_service &operator=(const control_service &) = delete;

    void start();

    /// Stops raft and waits for the disk write in progress.
    void stop();

    bool isLeader() const;
    bool isVoter() const;

private:
    class implementation;

    explicit control_service(std::shared_ptr<implementation> content);

    std::shared_ptr<implementation> m_implementation;
};

} // namespace quetzalcleat::peer
