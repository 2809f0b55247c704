#include "measurements.h"

#include "LibPeer/gossip_core.h"
#include "LibPeer/message_codec.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>

namespace quetzalcleat::measurement {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::seconds warmUpTime{60};
constexpr std::chrono::seconds measurementTime{120};
/// Length, version and authentication tag of a frame, and the headers of TCP and IP.
constexpr std::size_t overheadBytesPerMessage = 4 + 1 + 16 + 52;

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

traffic runDataCentre(std::size_t hosts, std::uint64_t revisionChanges)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < hosts; ++index)
        names.push_back("host-" + std::to_string(index));
    core::instant now{std::chrono::hours(1)};
    std::map<std::string, std::unique_ptr<peer::gossip_core>> cores;
    for (std::size_t index = 0; index < hosts; ++index) {
        cores[names[index]] = std::make_unique<peer::gossip_core>(peer::gossip_options{},
                                                                  names[index], 1, index, now);
        cores[names[index]]->setHosts(names, now);
    }
    traffic total;
    std::vector<std::pair<std::string, peer::gossip_send>> inFlight;
    const auto steps = (warmUpTime + measurementTime) / tickInterval;
    const auto changeEvery
        = revisionChanges == 0 ? 0 : measurementTime / tickInterval / revisionChanges;
    for (std::int64_t index = 0; index < steps; ++index) {
        now += tickInterval;
        const bool counted = index * tickInterval >= warmUpTime;
        std::vector<std::pair<std::string, peer::gossip_send>> sent;
        const auto collect = [&](const std::string &name, peer::gossip_core &core) {
            for (auto &send : core.takeSends())
                sent.emplace_back(name, std::move(send));
        };
        for (auto &[name, core] : cores) {
            if (changeEvery > 0 && counted && index % changeEvery == 0)
                core->setRevision(static_cast<std::uint64_t>(index));
            core->tick(now);
            collect(name, *core);
        }
        for (const auto &[from, send] : inFlight) {
            cores[send.host]->receive(from, send.content, now);
            collect(send.host, *cores[send.host]);
        }
        if (counted) {
            total.messages += sent.size();
            for (const auto &[from, send] : sent)
                total.bytes += peer::encodeMessage(send.content).size() + overheadBytesPerMessage;
        }
        inFlight = std::move(sent);
    }
    return total;
}

} // namespace

void measureGossip()
{
    for (const std::size_t hosts : {3U, 25U, 103U, 205U, 410U}) {
        for (const std::uint64_t changes : {0U, 2U}) {
            const auto total = runDataCentre(hosts, changes);
            const auto hostSeconds = static_cast<double>(hosts)
                * std::chrono::duration<double>(measurementTime).count();
            std::cout << "gossip hosts " << hosts << " revisions_per_minute " << changes / 2
                      << " messages_per_host_s "
                      << static_cast<double>(total.messages) / hostSeconds << " bytes_per_host_s "
                      << static_cast<double>(total.bytes) / hostSeconds << '\n';
        }
    }
    const auto before = allocatedBytes();
    peer::gossip_core core({}, "self", 1, 1, core::instant{});
    std::vector<std::string> names;
    constexpr std::size_t hosts = 103;
    for (std::size_t index = 0; index < hosts; ++index)
        names.push_back("host-" + std::to_string(index));
    core.setHosts(names, core::instant{});
    std::cout << "gossip memory_bytes_per_member " << (allocatedBytes() - before) / hosts << '\n';
}

} // namespace quetzalcleat::measurement
