#include "membership_schedule.h"

#include <algorithm>
#include <sstream>

namespace quetzalcleat::explore {

using consensus::log_entry;
using consensus::member_id;
using consensus::member_role;
using consensus::raft_role;

namespace {

constexpr std::chrono::milliseconds stepTime{10};
// As in fleet::control_node and peer::control_service.
constexpr std::chrono::milliseconds electionTimeout{600};
constexpr std::chrono::milliseconds heartbeatInterval{120};
constexpr std::chrono::milliseconds joinInterval{500};
constexpr std::chrono::milliseconds leaveInterval{200};
constexpr std::chrono::milliseconds shortestStop{600};
constexpr std::chrono::milliseconds longestStop{4000};
constexpr std::size_t snapshotEntries = 100;
constexpr std::size_t snapshotBytes
    = std::size_t{4} * 1024 * 1024 / membership_schedule::sizeDivisor;

/// Bytes that a link carries in a millisecond: 10 MB/s, far less than a link of 1,000 Mbit/s, as a
/// control host has a fraction of a core.
constexpr std::size_t linkBytesPerMillisecond
    = std::size_t{10'000} / membership_schedule::sizeDivisor;

/// The settings of a process name hosts of a list that is this old.
constexpr std::chrono::milliseconds seedLag{3000};
constexpr std::size_t seedCount = 3;

/// After a failure the group has to have a leader again within the time in which operators expect
/// to be answered.
constexpr std::chrono::milliseconds recoveryTime{12'000};
constexpr std::chrono::minutes longestSchedule{10};
constexpr std::size_t maximumNotes = 40;

std::size_t bytesOf(const consensus::raft_message &message)
{
    std::size_t bytes = 64;
    if (const auto *request = std::get_if<consensus::append_request>(&message.body)) {
        for (const auto &entry : request->entries)
            bytes += entry.payload.size();
    } else if (const auto *chunk = std::get_if<consensus::snapshot_chunk>(&message.body)) {
        bytes += chunk->data.size();
    }
    return bytes;
}

} // namespace

void membership_statistics::add(const membership_statistics &other)
{
    commits += other.commits;
    lostDisks += other.lostDisks;
    repeatedLosses += other.repeatedLosses;
    plannedReplacements += other.plannedReplacements;
    unplannedReplacements += other.unplannedReplacements;
    replacedSuccessors += other.replacedSuccessors;
    restarts += other.restarts;
    plannedStops += other.plannedStops;
    freezes += other.freezes;
    installedSnapshots += other.installedSnapshots;
    largeLogs += other.largeLogs;
    longestWithoutLeader = std::max(longestWithoutLeader, other.longestWithoutLeader);
}

membership_schedule::membership_schedule(std::uint64_t seed) : m_random(seed)
{
    const bool isLarge = m_random.chance(400);
    m_tolerableLosses = isLarge ? 2 : 1;
    m_minimumVoters = 2 * m_tolerableLosses + 1;
    m_linkDelay = milliseconds(m_random.chance(700) ? 20 : 1);
    // From a few routes to the largest desired state of a deployment.
    m_commandBytes = m_random.chance(500) ? m_random.between(2, 64)
                                          : m_random.between(4'000, 600'000 / sizeDivisor);
    m_commandPermille = m_random.chance(500) ? 30 : 5;
    m_eventsLeft = m_random.between(2, 7);
    createGroup(m_minimumVoters);
    m_leaderSeen = m_now;
    // With a long history, up to 60 MB in a deployment.
    const bool hasLongLog = m_random.chance(500);
    m_nextEvent = m_now + milliseconds(hasLongLog ? 45'000 : 4'000);
    if (hasLongLog) {
        m_commandPermille = 40;
        ++m_statistics.largeLogs;
    }
}

membership_statistics membership_schedule::run()
{
    const auto longest = m_now + longestSchedule;
    while (m_eventsLeft > 0 || !m_losses.empty() || !m_timed.empty()) {
        require(m_now < longest, "a schedule ends");
        startEventIfAllowed();
        step();
    }
    // No hosts are lost any more.
    const auto end = m_now + recoveryTime;
    while (m_now < end)
        step();
    checkEnd();
    m_statistics.commits = m_committed;
    return m_statistics;
}

void membership_schedule::step()
{
    m_now += stepTime;
    std::vector<timed_event> due;
    std::erase_if(m_timed, [&](timed_event &event) {
        if (event.at > m_now)
            return false;
        due.push_back(std::move(event));
        return true;
    });
    for (const auto &event : due)
        event.act();
    std::erase_if(m_losses, [this](const loss &each) { return each.end <= m_now; });
    deliver();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (runs(*m_hosts[index]))
            tick(*m_hosts[index]);
    }
    propose();
    for (auto &each : m_hosts) {
        if (runs(*each))
            processReady(*each);
    }
    checkMajority();
}

// Hosts

consensus::raft_options membership_schedule::options(member_id self) const
{
    consensus::raft_options options;
    options.self = self;
    options.electionTimeout = electionTimeout;
    options.heartbeatInterval = heartbeatInterval;
    options.maximumAppendBytes /= sizeDivisor;
    options.snapshotChunkBytes /= sizeDivisor;
    options.catchUpBytes /= sizeDivisor;
    options.trailingBytes /= sizeDivisor;
    options.maximumRetainedBytes /= sizeDivisor;
    options.maximumInFlightBytes /= sizeDivisor;
    return options;
}

consensus::membership_planner_options membership_schedule::plannerOptions() const
{
    consensus::membership_planner_options options;
    options.minimumVoters = m_minimumVoters;
    options.silenceTime = electionTimeout - heartbeatInterval;
    return options;
}

void membership_schedule::createGroup(std::size_t voters)
{
    consensus::membership initial;
    for (std::size_t index = 0; index < voters; ++index) {
        auto &each = addHost();
        each.listedFrom = m_now;
        initial.members.push_back({each.id, member_role::Voter, each.name});
    }
    for (auto &each : m_hosts) {
        each->folder.hardState = {1, 0, 1};
        each->folder.entries.push_back(
            {{1, 1}, consensus::entry_kind::Membership, consensus::encodeMembership(initial)});
        start(*each);
    }
}

membership_schedule::host &membership_schedule::addHost()
{
    auto &each = *m_hosts.emplace_back(std::make_unique<host>());
    each.listedFrom = m_now + seedLag;
    each.name = "host-" + std::to_string(m_hosts.size());
    each.id = ++m_lastId;
    m_hostOfId[each.id] = each.name;
    return each;
}

membership_schedule::host &membership_schedule::find(const std::string &name)
{
    return **std::ranges::find(m_hosts, name, [](const auto &each) { return each->name; });
}

membership_schedule::host *membership_schedule::leader()
{
    host *found = nullptr;
    for (auto &each : m_hosts) {
        if (runs(*each) && each->core->role() == raft_role::Leader
            && (found == nullptr || each->core->term() > found->core->term()))
            found = each.get();
    }
    return found;
}

void membership_schedule::start(host &each)
{
    const auto &folder = each.folder;
    consensus::restored_state restored{
        folder.hardState, folder.latestSnapshot, {folder.entries.begin(), folder.entries.end()}};
    each.applied = folder.latestSnapshot ? folder.latestSnapshot->last.index : 0;
    each.core.emplace(options(each.id), std::move(restored), m_random.number(), m_now);
    each.planner.emplace(plannerOptions());
    each.seeds = currentSeeds(each.name);
    each.contacts.clear();
    ++each.starts;
    each.bytesSinceSnapshot = 0;
    each.nextJoin = m_now + milliseconds(m_random.below(joinInterval.count()));
    each.nextSnapshot = m_now;
    each.frozenUntil = {};
    each.stopSince.reset();
    each.hasLeft = false;
    each.isRemoved = false;
}

/// Hosts of the list as it was, of which some may be gone. At least as many of them run as may be
/// lost: a host whose seeds are all gone, and that nobody knows, cannot find the group.
std::vector<std::string> membership_schedule::currentSeeds(const std::string &own)
{
    std::vector<std::string> listed;
    for (const auto &each : m_hosts) {
        if (each->listedFrom <= m_now && each->listedUntil > m_now)
            listed.push_back(each->name);
    }
    while (listed.size() > seedCount)
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(m_random.below(listed.size())));
    const auto running
        = [&](const std::string &name) { return name != own && isEligible(find(name)); };
    for (const auto &each : m_hosts) {
        if (static_cast<std::size_t>(std::ranges::count_if(listed, running)) >= m_tolerableLosses)
            break;
        const bool isListed = std::ranges::find(listed, each->name) != listed.end();
        if (!isListed && running(each->name) && each->listedFrom <= m_now)
            listed.push_back(each->name);
    }
    return listed;
}

void membership_schedule::removeForGood(host &each)
{
    note(each.name + " is gone for good");
    each.listedUntil = m_now + seedLag;
    if (each.core)
        stop(each);
}

void membership_schedule::stop(host &each)
{
    each.core.reset();
    each.planner.reset();
    each.stopSince.reset();
}

void membership_schedule::loseDisk(host &each)
{
    stop(each);
    each.folder = {};
    each.id = ++m_lastId;
    m_hostOfId[each.id] = each.name;
    ++m_statistics.lostDisks;
}

void membership_schedule::beginPlannedStop(host &each, std::function<void()> whenStopped)
{
    if (!each.core) {
        whenStopped();
        return;
    }
    each.stopSince = m_now;
    each.nextLeave = m_now;
    each.whenStopped = std::move(whenStopped);
}

void membership_schedule::at(milliseconds delay, std::function<void()> act)
{
    m_timed.push_back({m_now + delay, std::move(act)});
}

void membership_schedule::note(const std::string &text)
{
    const auto time = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()
                                                               - std::chrono::hours(1));
    m_notes.push_back(std::to_string(time.count()) + " ms: " + text);
    if (m_notes.size() > maximumNotes)
        m_notes.pop_front();
}

// Work of a process

void membership_schedule::tick(host &each)
{
    each.core->tick(m_now);
    changeMembership(each);
    requestToJoin(each);
    leave(each);
    if (each.nextSnapshot <= m_now) {
        each.nextSnapshot = m_now + joinInterval;
        saveSnapshotIfDue(each);
    }
    finishPlannedStop(each);
}

void membership_schedule::changeMembership(host &each)
{
    if (each.core->role() != raft_role::Leader)
        return;
    for (const auto &change : each.planner->changes(*each.core, m_now)) {
        if (!each.core->proposeMembership(change, m_now))
            continue;
        note(each.name + " proposes change " + std::to_string(static_cast<int>(change.kind))
             + " of " + std::to_string(change.id) + ", replaces "
             + std::to_string(change.replaced));
        return;
    }
}

void membership_schedule::requestToJoin(host &each)
{
    if (each.nextJoin > m_now || each.stopSince)
        return;
    each.nextJoin = m_now + joinInterval;
    if (each.core->members().isVoter(each.id) && each.core->leader() != 0)
        return;
    std::set<std::string> targets(each.contacts);
    targets.insert(each.seeds.begin(), each.seeds.end());
    for (const auto &member : each.core->members().members)
        targets.insert(member.name);
    targets.erase(each.name);
    for (const auto &target : targets)
        send(each.name, target, join_request{each.name, each.id, false});
}

void membership_schedule::leave(host &each)
{
    if (!each.stopSince || each.nextLeave > m_now)
        return;
    each.nextLeave = m_now + leaveInterval;
    auto &core = *each.core;
    if (each.isRemoved)
        return;
    each.hasLeft = false;
    if (core.role() == raft_role::Leader) {
        each.hasLeft = each.planner->releases(core, each.id, m_now);
        member_id best = 0;
        consensus::log_index bestMatch = 0;
        for (const auto &[id, match] : core.status().matches) {
            if (core.members().isVoter(id) && match >= bestMatch && !each.planner->isLeaving(id)) {
                best = id;
                bestMatch = match;
            }
        }
        if (best != 0)
            static_cast<void>(core.transferLeadership(best, m_now));
    }
    const leave_request request{
        each.id, std::chrono::duration_cast<milliseconds>(*each.stopSince + longestStop - m_now)};
    for (const auto &member : core.members().members) {
        if (member.role == member_role::Voter && member.name != each.name)
            send(each.name, member.name, request);
    }
}

void membership_schedule::finishPlannedStop(host &each)
{
    if (!each.stopSince)
        return;
    const auto since = m_now - *each.stopSince;
    if (since < shortestStop || (!each.hasLeft && since < longestStop))
        return;
    note(each.name + (each.hasLeft ? " stops" : " stops without an answer"));
    const auto whenStopped = std::move(each.whenStopped);
    stop(each);
    if (whenStopped)
        whenStopped();
}

void membership_schedule::propose()
{
    auto *target = leader();
    if (target == nullptr || !m_random.chance(m_commandPermille))
        return;
    std::vector<std::byte> command(m_commandBytes, static_cast<std::byte>(m_random.below(256)));
    static_cast<void>(target->core->propose(std::move(command), m_now));
}

void membership_schedule::processReady(host &each)
{
    while (each.core->hasReady()) {
        auto work = each.core->takeReady();
        m_checker.entriesWritten(*each.core, work.entries);
        sendAll(each, work.messages);
        auto &folder = each.folder;
        if (work.snapshotToInstall) {
            folder.latestSnapshot = work.snapshotToInstall;
            folder.entries.clear();
        }
        if (work.hardState)
            folder.hardState = *work.hardState;
        for (auto &entry : work.entries) {
            while (!folder.entries.empty()
                   && folder.entries.back().position.index >= entry.position.index)
                folder.entries.pop_back();
            folder.entries.push_back(std::move(entry));
        }
        sendAll(each, work.messagesAfterSync);
        each.core->synced(work.number, m_now);
        require(!each.core->halted(), "no member is asked to replace a committed entry");
        m_checker.observe(each.id, *each.core);
        if (work.snapshotToInstall) {
            ++m_statistics.installedSnapshots;
            each.document = *work.snapshotToInstall->content;
            each.applied = work.snapshotToInstall->last.index;
            each.bytesSinceSnapshot = 0;
        }
        for (const auto &entry : work.committed)
            apply(each, entry);
    }
}

void membership_schedule::apply(host &each, const log_entry &entry)
{
    require(entry.position.index == each.applied + 1, "a member applies entries in order");
    m_checker.entryApplied(entry);
    each.applied = entry.position.index;
    each.bytesSinceSnapshot += entry.payload.size();
    if (entry.kind == consensus::entry_kind::Command)
        each.document = entry.payload;
    m_committed = std::max(m_committed, each.applied);
}

void membership_schedule::saveSnapshotIfDue(host &each)
{
    const auto &latest = each.folder.latestSnapshot;
    const auto lastBytes = latest ? latest->content->size() : 0;
    if (each.applied < each.core->snapshotIndex() + snapshotEntries
        && each.bytesSinceSnapshot < std::max(snapshotBytes, 2 * lastBytes))
        return;
    each.bytesSinceSnapshot = 0;
    consensus::snapshot saved;
    saved.last = {each.core->termAt(each.applied), each.applied};
    saved.members = each.core->membershipAt(each.applied);
    saved.content = std::make_shared<const std::vector<std::byte>>(each.document);
    const auto compaction = each.core->compactionIndex(each.applied);
    while (!each.folder.entries.empty() && each.folder.entries.front().position.index <= compaction)
        each.folder.entries.pop_front();
    each.folder.latestSnapshot = saved;
    each.core->snapshotSaved(std::move(saved));
}

// Messages

void membership_schedule::send(const std::string &from, const std::string &to, content body)
{
    const auto found = std::ranges::find(m_hosts, to, [](const auto &each) { return each->name; });
    if (found == m_hosts.end() || !(*found)->core)
        return;
    const auto *raft = std::get_if<consensus::raft_message>(&body);
    const auto bytes = raft == nullptr ? std::size_t{64} : bytesOf(*raft);
    auto &isFree = m_linkFree[{from, to}];
    isFree = std::max(isFree, m_now) + milliseconds(bytes / linkBytesPerMillisecond);
    m_inFlight.push_back({isFree + m_linkDelay, from, to, (*found)->starts, std::move(body)});
}

void membership_schedule::sendAll(const host &from,
                                  const std::vector<consensus::raft_message> &messages)
{
    for (const auto &message : messages) {
        m_checker.messageSent(message);
        const auto &to = m_hostOfId.at(message.to);
        if (to != from.name)
            send(from.name, to, message);
    }
}

void membership_schedule::deliver()
{
    std::vector<message_in_flight> due;
    std::erase_if(m_inFlight, [&](message_in_flight &each) {
        if (each.arrival > m_now)
            return false;
        const auto &to = find(each.to);
        // Messages for a frozen process wait in its socket.
        if (to.core && to.starts == each.toStart && to.frozenUntil > m_now)
            return false;
        due.push_back(std::move(each));
        return true;
    });
    std::ranges::stable_sort(due, {}, &message_in_flight::arrival);
    for (const auto &each : due) {
        auto &to = find(each.to);
        if (to.core && to.starts == each.toStart)
            receive(to, each.from, each.body);
    }
}

void membership_schedule::receive(host &each, const std::string &from, const content &body)
{
    if (const auto *raft = std::get_if<consensus::raft_message>(&body)) {
        each.planner->heard(raft->from, m_now);
        each.contacts.insert(from);
        each.core->receive(*raft, m_now);
    } else if (const auto *joining = std::get_if<join_request>(&body)) {
        receiveJoin(each, from, *joining);
    } else if (const auto *leaving = std::get_if<leave_request>(&body)) {
        each.planner->leaveRequested(leaving->id, leaving->remaining, m_now);
        if (each.core->role() != raft_role::Leader)
            return;
        changeMembership(each);
        if (each.planner->releases(*each.core, leaving->id, m_now))
            send(each.name, from,
                 leave_answer{leaving->id, !each.core->members().isVoter(leaving->id)});
    } else if (const auto *released = std::get_if<leave_answer>(&body)) {
        each.hasLeft = each.stopSince && released->id == each.id;
        each.isRemoved = each.hasLeft && released->isRemoved;
    }
}

void membership_schedule::receiveJoin(host &each, const std::string &from,
                                      const join_request &request)
{
    if (each.core->role() != raft_role::Leader) {
        const auto known = each.core->leader();
        if (!request.isForwarded && known != 0 && m_hostOfId.at(known) != from)
            send(each.name, m_hostOfId.at(known), join_request{request.host, request.id, true});
        return;
    }
    each.planner->joinRequested(request.host, request.id, m_now);
    changeMembership(each);
}

// Events

const membership_schedule::loss *membership_schedule::lossOf(const std::string &name) const
{
    const auto found = std::ranges::find_if(m_losses, [&](const loss &each) {
        return std::ranges::find(each.hosts, name) != each.hosts.end();
    });
    return found == m_losses.end() ? nullptr : &*found;
}

void membership_schedule::beginLoss(const std::string &name)
{
    m_losses.push_back({{name}, core::instant::max()});
}

/// The host counts again once it has had syncTime after this delay.
void membership_schedule::endLoss(const std::string &name, milliseconds delay)
{
    for (auto &each : m_losses) {
        if (std::ranges::find(each.hosts, name) != each.hosts.end())
            each.end = m_now + delay + syncTime;
    }
}

void membership_schedule::startEventIfAllowed()
{
    if (m_eventsLeft == 0 || m_now < m_nextEvent || m_losses.size() >= m_tolerableLosses)
        return;
    const auto name = chooseHost();
    if (name.empty())
        return;
    --m_eventsLeft;
    // Mostly as soon as it is allowed.
    m_nextEvent = m_now + milliseconds(m_random.chance(600) ? 20 : m_random.below(3000));
    switch (m_random.below(8)) {
    case 0:
    case 1:
        loseDiskRepeatedly(name, 1);
        break;
    case 2:
        loseDiskRepeatedly(name, m_random.between(2, 40));
        break;
    case 3:
        replaceAsPlanned(name);
        break;
    case 4:
        replaceUnplanned(name);
        break;
    case 5:
        restart(name, false);
        break;
    case 6:
        restart(name, true);
        break;
    default:
        freeze(name);
    }
}

bool membership_schedule::isEligible(const host &each) const
{
    return each.core && lossOf(each.name) == nullptr && !each.stopSince && !each.hasSuccessor;
}

/// A host that runs and does not count as lost; often the leader.
std::string membership_schedule::chooseHost()
{
    const auto *current = leader();
    if (current != nullptr && m_random.chance(400) && isEligible(*current))
        return current->name;
    std::vector<std::string> candidates;
    for (const auto &each : m_hosts) {
        if (isEligible(*each))
            candidates.push_back(each->name);
    }
    return candidates.empty() ? std::string() : candidates[m_random.below(candidates.size())];
}

void membership_schedule::loseDiskRepeatedly(const std::string &name, std::size_t times)
{
    if (lossOf(name) == nullptr)
        beginLoss(name);
    note(name + " loses its disk");
    loseDisk(find(name));
    const milliseconds down(m_random.between(10, 600));
    at(down, [this, name, times] {
        start(find(name));
        if (times == 1) {
            endLoss(name, milliseconds(0));
            return;
        }
        ++m_statistics.repeatedLosses;
        at(milliseconds(m_random.between(200, 2000)),
           [this, name, times] { loseDiskRepeatedly(name, times - 1); });
    });
}

void membership_schedule::replaceAsPlanned(const std::string &name)
{
    ++m_statistics.plannedReplacements;
    beginLoss(name);
    find(name).hasSuccessor = true;
    startSuccessor(name, milliseconds(0), m_random.chance(300) ? 1 : 0);
    // Also after the successor counts and others may be lost.
    const milliseconds handover(m_random.between(100, 7000));
    at(handover, [this, name] {
        note(name + " is stopped for good");
        beginPlannedStop(find(name), [this, name] { removeForGood(find(name)); });
    });
}

void membership_schedule::replaceUnplanned(const std::string &name)
{
    ++m_statistics.unplannedReplacements;
    beginLoss(name);
    removeForGood(find(name));
    startSuccessor(name, milliseconds(m_random.between(10, 3000)), m_random.chance(300) ? 1 : 0);
}

/// Starts a new host in place of another one. It may be replaced in turn before it counts.
void membership_schedule::startSuccessor(const std::string &name, milliseconds delay,
                                         std::size_t replacements)
{
    at(delay, [this, name, replacements] {
        auto &successor = addHost();
        const auto next = successor.name;
        for (auto &each : m_losses) {
            if (std::ranges::find(each.hosts, name) != each.hosts.end())
                each.hosts.push_back(next);
        }
        note(next + " starts in place of " + name);
        start(successor);
        if (replacements == 0) {
            endLoss(next, milliseconds(0));
            return;
        }
        ++m_statistics.replacedSuccessors;
        at(milliseconds(m_random.between(100, 3500)), [this, next, replacements] {
            removeForGood(find(next));
            startSuccessor(next, milliseconds(m_random.between(10, 1500)), replacements - 1);
        });
    });
}

void membership_schedule::restart(const std::string &name, bool isPlanned)
{
    beginLoss(name);
    const auto begin = [this, name] {
        at(milliseconds(m_random.between(100, 2500)), [this, name] {
            start(find(name));
            endLoss(name, milliseconds(0));
        });
    };
    note(name + (isPlanned ? " is stopped" : " is killed"));
    if (isPlanned) {
        ++m_statistics.plannedStops;
        beginPlannedStop(find(name), begin);
        return;
    }
    ++m_statistics.restarts;
    stop(find(name));
    begin();
}

void membership_schedule::freeze(const std::string &name)
{
    ++m_statistics.freezes;
    beginLoss(name);
    const milliseconds length(m_random.between(200, 3000));
    note(name + " freezes for " + std::to_string(length.count()) + " ms");
    find(name).frozenUntil = m_now + length;
    endLoss(name, length);
}

// Checks

void membership_schedule::checkMajority()
{
    const auto *current = leader();
    if (current != nullptr && current->core->leaseValid(m_now))
        m_leaderSeen = m_now;
    const auto without = std::chrono::duration_cast<milliseconds>(m_now - m_leaderSeen);
    m_statistics.longestWithoutLeader = std::max(m_statistics.longestWithoutLeader, without);
    require(without < recoveryTime, "the group has a leader again in time");
    if (current == nullptr || !current->core->leaseValid(m_now))
        return;
    const auto &members = current->core->members();
    std::size_t answering = 0;
    std::map<const loss *, voters_of_loss> losses;
    for (const auto &member : members.members) {
        if (member.role != member_role::Voter)
            continue;
        const auto &each = find(member.name);
        const bool answers = each.id == member.id && runs(each);
        answering += answers ? 1 : 0;
        if (const auto *lost = lossOf(member.name))
            ++(answers ? losses[lost].answering : losses[lost].missing);
    }
    // A host that counts as lost may still answer, but must not be needed.
    for (const auto &[lost, voters] : losses)
        answering -= voters.missing == 0 && voters.answering > 0 ? 1 : 0;
    const auto further = m_tolerableLosses - std::min(m_losses.size(), m_tolerableLosses);
    require(answering >= members.quorum() + further,
            "a majority can answer after as many further losses as have to be borne");
}

void membership_schedule::checkEnd()
{
    const auto *current = leader();
    require(current != nullptr && current->core->leaseValid(m_now),
            "the group has a leader in the end");
    require(current->core->members().voterCount() >= m_minimumVoters,
            "the group has all its voters in the end");
    require(current->core->members().replacement == 0, "no replacement is left unfinished");
    require(current->core->commitIndex() >= m_committed, "no committed entry is lost");
}

std::string membership_schedule::describe() const
{
    std::ostringstream text;
    for (const auto &line : m_notes)
        text << line << '\n';
    text << "commands of " << m_commandBytes << " bytes, link delay " << m_linkDelay.count()
         << " ms, now "
         << std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()
                                                     - std::chrono::hours(1))
                .count()
         << " ms\n";
    for (const auto &each : m_hosts) {
        text << each->name << " member " << each->id
             << (lossOf(each->name) != nullptr ? " lost" : "");
        if (!each->core) {
            text << " down\n";
            continue;
        }
        const auto status = each->core->status();
        text << " role " << static_cast<int>(status.role) << " term " << status.term << " leader "
             << status.leader << " last " << status.lastIndex << " commit " << status.commit
             << " snapshot " << status.snapshotIndex << " members";
        for (const auto &one : status.members.members)
            text << ' ' << one.id << (one.role == member_role::Voter ? "v" : "l");
        text << " replacement " << status.members.replacement << " matches";
        for (const auto &[id, match] : status.matches)
            text << ' ' << id << ':' << match;
        text << '\n';
    }
    return text.str();
}

} // namespace quetzalcleat::explore
