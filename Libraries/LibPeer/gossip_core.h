#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

struct gossip_options
{
    /// One host is probed in each period.
    std::chrono::milliseconds period{1000};
    /// Without an acknowledgement for this long, other hosts are asked to probe the target.
    std::chrono::milliseconds probeTimeout{300};
    std::size_t indirectProbes = 3;
    /// A suspicion lasts this many periods times the logarithm of the number of hosts.
    double suspicionPeriods = 1.0;
    /// Updates in one message besides the one about its sender.
    std::size_t updatesPerMessage = 6;
    /// An update is sent this many times the logarithm of the number of hosts.
    double disseminationFactor = 3.0;
    /// Number of periods between probes of a host that counts as dead, so that the two sides of a
    /// healed partition find each other.
    std::uint32_t deadProbeInterval = 5;
    /// Number of periods between full exchanges with one host; at the start they are more frequent.
    /// They give a host that has just started the incarnations of the others, without which the
    /// others would ignore its reports of failures.
    std::uint32_t exchangeInterval = 30;
};

struct gossip_send
{
    std::string host;
    gossip content;
};

/// The known state of one member.
struct member_view
{
    member_update update;
    core::instant lastHeard; ///< When a message of the member last arrived.
    bool hasBeenHeard = false; ///< Whether a message of the member has arrived.
};

/// Liveness of the hosts of one data centre, with the configuration revision in force as payload.
/// Does no I/O: time and random seed are passed in, messages come out of takeSends().
///
/// After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
/// (Das, Gupta, Motivala, 2002): round-robin probing, indirect probes, suspicion that the suspect
/// can refute, updates carried by probes. The load per host does not depend on the number of hosts.
class gossip_core
{
public:
    gossip_core(gossip_options options, std::string self, std::uint64_t incarnation,
                std::uint64_t seed, core::instant now);

    /// The hosts to probe, without this one. Hosts that are no longer listed are forgotten.
    void setHosts(const std::vector<std::string> &hosts, core::instant now);

    void setRevision(std::uint64_t revision);

    /// Announces a higher incarnation of this host.
    void raiseIncarnation(std::uint64_t incarnation);

    /// Drives probes and timeouts; must be called several times per probe timeout.
    void tick(core::instant now);

    void receive(const std::string &from, const gossip &message, core::instant now);

    std::vector<gossip_send> takeSends();

    /// The member, or a null pointer. Listed hosts count as alive until probes fail.
    const member_view *find(const std::string &host) const;
    const std::map<std::string, member_view> &members() const { return m_members; }
    bool isAlive(const std::string &host) const;

    /// The live host with the highest revision, if that exceeds the own one; empty if there is
    /// none.
    std::string hostWithNewerRevision() const;

    const member_update &self() const { return m_self; }

private:
    struct queued_update
    {
        member_update update;
        std::size_t transmissions = 0;
    };

    /// A probe that this host sends for another one.
    struct relayed_probe
    {
        std::string requester;
        std::uint64_t requesterSequence = 0;
        std::string target;
        core::instant sentAt;
    };

    void startPeriod(core::instant now);
    std::string nextTarget();
    std::string randomHost(member_state state);
    void requestIndirectProbes();
    void exchange(const std::string &host, gossip_kind kind);
    void handleAcknowledgement(const std::string &from, const gossip &message);
    void relayProbe(const std::string &from, const gossip &message, core::instant now);
    void mergeUpdate(const std::string &from, const member_update &update, bool forward,
                     core::instant now);
    void refute(const member_update &claim);
    void suspect(const std::string &host, core::instant now);
    void expireSuspicions(core::instant now);
    void enqueue(const member_update &update);
    void send(const std::string &host, gossip content);
    double logHostCount() const;

    gossip_options m_options;
    member_update m_self;
    std::minstd_rand m_random;
    std::map<std::string, member_view> m_members;
    std::map<std::string, core::instant> m_suspectedAt;
    std::vector<std::string> m_probeQueue; ///< Hosts still to be probed in this round.
    std::vector<queued_update> m_updates;
    std::vector<gossip_send> m_sends;

    std::uint64_t m_sequence = 0;
    std::uint32_t m_periods = 0;
    core::instant m_periodStart;
    std::string m_probeTarget; ///< Empty if the probe was acknowledged or none was sent.
    std::uint64_t m_probeSequence = 0;
    bool m_indirectSent = false;
    std::map<std::uint64_t, relayed_probe> m_relayed; ///< By the own sequence number.
};

} // namespace quetzalcleat::peer
