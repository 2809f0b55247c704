#include "LibPeer/control_store.h"

#include "LibConsensus/membership.h"
#include "LibCore/hash.h"
#include "LibCore/logger.h"

#include <algorithm>
#include <optional>
#include <string>

namespace quetzalcleat::peer {

namespace {

const core::logger &log()
{
    static const core::logger logger("control");
    return logger;
}

/// The id of an initial member of a new cluster. It is derived from the names, as the other initial
/// members must know it before the first contact. Members that join later have random ids.
consensus::member_id initialMemberId(const std::string &cluster, const std::string &host)
{
    const auto id = core::hash64(cluster + '\n' + host);
    return id == 0 ? 1 : id;
}

consensus::membership initialMembership(const peer_network &network)
{
    const auto &options = network.options();
    const auto &cluster = options.identity.cluster;
    consensus::membership members;
    members.members.push_back(
        {initialMemberId(cluster, network.host()), consensus::member_role::Voter, network.host()});
    for (const auto &peer : options.peers) {
        if (peer.control)
            members.members.push_back(
                {initialMemberId(cluster, peer.name), consensus::member_role::Voter, peer.name});
    }
    // The same on all initial members, whatever the order of their settings.
    std::sort(members.members.begin(), members.members.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    return members;
}

} // namespace

core::result<consensus::log_store> openControlStore(const peer_network &network,
                                                    const control_service_options &options)
{
    consensus::store_problem problem;
    auto store = consensus::log_store::open(options.dataFolder, {}, {}, &problem);
    if (store)
        return store;
    if (store.error() != consensus::consensus_error::EmptyFolder) {
        log().error("cannot open the data folder: " + store.error().message() + " in "
                    + problem.file.string() + " at byte " + std::to_string(problem.offset)
                    + "; repair: " + problem.advice);
        return store;
    }
    if (!options.initialiseCluster)
        return consensus::log_store::create(options.dataFolder, {0, consensus::newMemberId()},
                                            std::nullopt, {});
    const auto self = initialMemberId(network.options().identity.cluster, network.host());
    return consensus::log_store::create(options.dataFolder, {0, self}, initialMembership(network),
                                        {});
}

} // namespace quetzalcleat::peer
