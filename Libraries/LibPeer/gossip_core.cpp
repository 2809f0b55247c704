#include "LibPeer/gossip_core.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>
#include <utility>

namespace quetzalcleat::peer {

namespace {

/// Open probes on behalf of other hosts; further requests are ignored.
constexpr std::size_t maximumRelayedProbes = 256;

/// Updates that wait to be sent. Those sent most often are dropped first.
constexpr std::size_t maximumQueuedUpdates = 1024;

/// Updates in an exchange; below maximumListLength of the decoder.
constexpr std::size_t maximumExchangedUpdates = 4000;

/// Whether the left update replaces the right one. The higher incarnation wins, so that a restarted
/// process replaces its predecessor; within one incarnation the later refutation wins, then the
/// worse state.
bool supersedes(const member_update &left, const member_update &right)
{
    return std::tuple(left.incarnation, left.refutation, left.state)
        > std::tuple(right.incarnation, right.refutation, right.state);
}

bool isPlainAlive(const member_update &update)
{
    return update.state == member_state::Alive && update.refutation == 0;
}

} // namespace

gossip_core::gossip_core(gossip_options options, std::string self, std::uint64_t incarnation,
                         std::uint64_t seed, core::instant now)
    : m_options(options), m_random(static_cast<std::minstd_rand::result_type>(seed))
{
    m_self.host = std::move(self);
    m_self.incarnation = incarnation;
    // A random phase, so that hosts that start together do not probe at the same times.
    std::uniform_int_distribution<std::int64_t> phase(0, m_options.period.count());
    m_periodStart = now - std::chrono::milliseconds(phase(m_random));
}

void gossip_core::setHosts(const std::vector<std::string> &hosts, core::instant now)
{
    std::map<std::string, member_view> members;
    for (const auto &host : hosts) {
        if (host == m_self.host)
            continue;
        const auto known = m_members.find(host);
        if (known != m_members.end()) {
            members.insert(*known);
            continue;
        }
        member_view view;
        view.update.host = host;
        view.lastHeard = now;
        members.emplace(host, view);
    }
    m_members = std::move(members);
    std::erase_if(m_probeQueue, [&](const auto &host) { return !m_members.contains(host); });
    std::erase_if(m_suspectedAt,
                  [&](const auto &entry) { return !m_members.contains(entry.first); });
}

void gossip_core::setRevision(std::uint64_t revision)
{
    if (revision <= m_self.revision)
        return;
    m_self.revision = revision;
    enqueue(m_self);
}

void gossip_core::tick(core::instant now)
{
    expireSuspicions(now);
    std::erase_if(m_relayed,
                  [&](const auto &entry) { return now - entry.second.sentAt > m_options.period; });
    if (!m_probeTarget.empty() && !m_indirectSent && now - m_periodStart >= m_options.probeTimeout)
        requestIndirectProbes();
    if (now - m_periodStart < m_options.period)
        return;
    if (!m_probeTarget.empty())
        suspect(std::exchange(m_probeTarget, {}), now);
    startPeriod(now);
}

void gossip_core::startPeriod(core::instant now)
{
    m_periodStart = now;
    m_indirectSent = false;
    ++m_periods;
    if (m_periods % m_options.deadProbeInterval == 0) {
        // Not recorded as the probe of this period, as the host counts as dead already.
        if (const auto dead = randomHost(member_state::Dead); !dead.empty())
            send(dead, {gossip_kind::Probe, ++m_sequence, {}, {}});
    }
    const bool isEarlyPeriod
        = m_periods < m_options.exchangeInterval && std::has_single_bit(m_periods);
    if (isEarlyPeriod || m_periods % m_options.exchangeInterval == 0) {
        if (const auto host = randomHost(member_state::Alive); !host.empty())
            exchange(host, gossip_kind::Exchange);
    }
    const auto target = nextTarget();
    if (target.empty())
        return;
    m_probeTarget = target;
    m_probeSequence = ++m_sequence;
    send(target, {gossip_kind::Probe, m_probeSequence, {}, {}});
}

std::string gossip_core::nextTarget()
{
    // Every host is probed once per round, which bounds the time to detection.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeQueue.empty()) {
            auto host = std::move(m_probeQueue.back());
            m_probeQueue.pop_back();
            const auto found = m_members.find(host);
            if (found != m_members.end() && found->second.update.state != member_state::Dead)
                return host;
        }
        for (const auto &[host, view] : m_members)
            m_probeQueue.push_back(host);
        std::shuffle(m_probeQueue.begin(), m_probeQueue.end(), m_random);
    }
    return {};
}

std::string gossip_core::randomHost(member_state state)
{
    std::vector<std::string> hosts;
    for (const auto &[host, view] : m_members) {
        if (view.update.state == state)
            hosts.push_back(host);
    }
    if (hosts.empty())
        return {};
    return hosts[std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(m_random)];
}

void gossip_core::exchange(const std::string &host, gossip_kind kind)
{
    gossip content{kind, 0, {}, {m_self}};
    for (const auto &[name, view] : m_members) {
        if (view.update.incarnation != 0 && content.updates.size() < maximumExchangedUpdates)
            content.updates.push_back(view.update);
    }
    m_sends.push_back({host, std::move(content)});
}

void gossip_core::requestIndirectProbes()
{
    m_indirectSent = true;
    std::vector<std::string> helpers;
    for (const auto &[host, view] : m_members) {
        if (host != m_probeTarget && view.update.state == member_state::Alive)
            helpers.push_back(host);
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_options.indirectProbes));
    for (const auto &helper : helpers)
        send(helper, {gossip_kind::ProbeRequest, m_probeSequence, m_probeTarget, {}});
}

void gossip_core::receive(const std::string &from, const gossip &message, core::instant now)
{
    const bool isExchange
        = message.kind == gossip_kind::Exchange || message.kind == gossip_kind::ExchangeAnswer;
    // Updates from an exchange are not forwarded: further exchanges spread them, and here they
    // would displace more recent updates from the small messages.
    for (const auto &update : message.updates)
        mergeUpdate(from, update, !isExchange, now);
    switch (message.kind) {
    case gossip_kind::Probe:
        send(from, {gossip_kind::Acknowledge, message.sequence, {}, {}});
        break;
    case gossip_kind::Acknowledge:
        handleAcknowledgement(from, message);
        break;
    case gossip_kind::ProbeRequest:
        relayProbe(from, message, now);
        break;
    case gossip_kind::Exchange:
        exchange(from, gossip_kind::ExchangeAnswer);
        break;
    case gossip_kind::ExchangeAnswer:
        break;
    }
}

void gossip_core::handleAcknowledgement(const std::string &from, const gossip &message)
{
    const bool direct = message.target.empty() && from == m_probeTarget;
    const bool indirect = !message.target.empty() && message.target == m_probeTarget;
    if (message.sequence == m_probeSequence && (direct || indirect)) {
        m_probeTarget.clear();
        return;
    }
    const auto relayed = m_relayed.find(message.sequence);
    if (relayed == m_relayed.end() || relayed->second.target != from)
        return;
    send(relayed->second.requester,
         {gossip_kind::Acknowledge, relayed->second.requesterSequence, from, {}});
    m_relayed.erase(relayed);
}

void gossip_core::relayProbe(const std::string &from, const gossip &message, core::instant now)
{
    if (!m_members.contains(message.target) || m_relayed.size() >= maximumRelayedProbes)
        return;
    ++m_sequence;
    m_relayed[m_sequence] = {from, message.sequence, message.target, now};
    send(message.target, {gossip_kind::Probe, m_sequence, {}, {}});
}

void gossip_core::mergeUpdate(const std::string &from, const member_update &update, bool forward,
                              core::instant now)
{
    // Without an incarnation, the host could not refute the update.
    if (update.incarnation == 0)
        return;
    if (update.host == m_self.host) {
        refute(update);
        return;
    }
    const auto found = m_members.find(update.host);
    if (found == m_members.end())
        return;
    auto &view = found->second;
    if (from == update.host) {
        view.lastHeard = now;
        view.hasBeenHeard = true;
        // Informs the host that it is suspected or dead, so that it can refute that.
        if (view.update.state != member_state::Alive && !supersedes(update, view.update))
            send(from, {gossip_kind::Probe, ++m_sequence, {}, {view.update}});
    }
    const bool sameIncarnation = update.incarnation == view.update.incarnation;
    const auto revision
        = sameIncarnation ? std::max(update.revision, view.update.revision) : update.revision;
    const bool newer = supersedes(update, view.update);
    if (!newer && !(sameIncarnation && revision > view.update.revision))
        return;
    if (newer) {
        const bool wasSuspected = m_suspectedAt.contains(update.host);
        view.update = update;
        if (update.state != member_state::Suspect)
            m_suspectedAt.erase(update.host);
        else if (!wasSuspected)
            m_suspectedAt[update.host] = now;
    }
    view.update.revision = revision;
    if (forward)
        enqueue(view.update);
}

void gossip_core::refute(const member_update &claim)
{
    const bool ofThisProcess = claim.incarnation == m_self.incarnation;
    if (claim.incarnation > m_self.incarnation) {
        // The clock from which incarnations are taken was set back between two starts.
        m_self.incarnation = claim.incarnation + 1;
    } else if (claim.state == member_state::Alive
               || (ofThisProcess && claim.refutation < m_self.refutation)) {
        return;
    } else if (ofThisProcess) {
        m_self.refutation = claim.refutation + 1;
    }
    enqueue(m_self);
}

void gossip_core::raiseIncarnation(std::uint64_t incarnation)
{
    if (incarnation <= m_self.incarnation)
        return;
    m_self.incarnation = incarnation;
    enqueue(m_self);
}

void gossip_core::suspect(const std::string &host, core::instant now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end() || found->second.update.state != member_state::Alive)
        return;
    found->second.update.state = member_state::Suspect;
    m_suspectedAt[host] = now;
    enqueue(found->second.update);
}

void gossip_core::expireSuspicions(core::instant now)
{
    const auto duration = std::chrono::duration<double, std::milli>(m_options.period)
        * (m_options.suspicionPeriods * logHostCount());
    for (auto entry = m_suspectedAt.begin(); entry != m_suspectedAt.end();) {
        if (now - entry->second < duration) {
            ++entry;
            continue;
        }
        auto &view = m_members[entry->first];
        view.update.state = member_state::Dead;
        enqueue(view.update);
        entry = m_suspectedAt.erase(entry);
    }
}

void gossip_core::enqueue(const member_update &update)
{
    std::erase_if(m_updates, [&](const auto &queued) { return queued.update.host == update.host; });
    if (update.incarnation == 0)
        return;
    m_updates.insert(m_updates.begin(), queued_update{update, 0});
    if (m_updates.size() > maximumQueuedUpdates)
        m_updates.pop_back();
}

void gossip_core::send(const std::string &host, gossip content)
{
    content.updates.insert(content.updates.begin(), m_self);
    const auto limit
        = static_cast<std::size_t>(std::ceil(m_options.disseminationFactor * logHostCount()));
    const auto count = std::min(m_updates.size(), m_options.updatesPerMessage);
    for (std::size_t index = 0; index < count; ++index) {
        content.updates.push_back(m_updates[index].update);
        ++m_updates[index].transmissions;
    }
    std::erase_if(m_updates, [&](const auto &queued) { return queued.transmissions >= limit; });
    // Failures and refutations are sent before starts of processes, which may be numerous; within
    // each group, the least often sent ones come first.
    std::stable_sort(m_updates.begin(), m_updates.end(), [](const auto &left, const auto &right) {
        return std::pair(isPlainAlive(left.update), left.transmissions)
            < std::pair(isPlainAlive(right.update), right.transmissions);
    });
    m_sends.push_back({host, std::move(content)});
}

std::vector<gossip_send> gossip_core::takeSends()
{
    return std::exchange(m_sends, {});
}

const member_view *gossip_core::find(const std::string &host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second;
}

bool gossip_core::isAlive(const std::string &host) const
{
    const auto *view = find(host);
    return view != nullptr && view->update.state != member_state::Dead;
}

std::string gossip_core::hostWithNewerRevision() const
{
    std::string best;
    auto revision = m_self.revision;
    for (const auto &[host, view] : m_members) {
        if (view.update.state != member_state::Dead && view.update.revision > revision) {
            best = host;
            revision = view.update.revision;
        }
    }
    return best;
}

double gossip_core::logHostCount() const
{
    return std::log2(static_cast<double>(m_members.size()) + 2);
}

} // namespace quetzalcleat::peer
