#include "simulated_cluster.h"

#include "LibConsensus/byte_codec.h"
#include "LibConsensus/log_store_implementation.h"
#include "LibCore/hash.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace quetzalcleat::explore {

using consensus::log_entry;
using consensus::member_id;
using consensus::membership_change;
using consensus::membership_change_kind;
using consensus::raft_role;
using std::chrono::milliseconds;

namespace {

constexpr const char *folder = "/data";
constexpr milliseconds electionTimeout{200};
constexpr milliseconds heartbeatInterval{40};
constexpr milliseconds faultPhaseTime{5000};
/// Without faults, an election, the replacement of a voter and a snapshot take far less.
constexpr milliseconds recoveryTimeout{6000};
constexpr int faultSteps = 320;

consensus::log_store_options storeOptions()
{
    consensus::log_store_options options;
    options.segmentBytes = 2048; // Small, so that a schedule fills several segments.
    return options;
}

} // namespace

void schedule_statistics::add(const schedule_statistics &other)
{
    commits += other.commits;
    crashes += other.crashes;
    powerLosses += other.powerLosses;
    storeFailures += other.storeFailures;
    emptiedDisks += other.emptiedDisks;
    replacements += other.replacements;
    installedSnapshots += other.installedSnapshots;
    transfers += other.transfers;
    pauses += other.pauses;
    dispatches += other.dispatches;
    leaseChecks += other.leaseChecks;
}

simulated_cluster::simulated_cluster(std::uint64_t seed)
    : m_random(seed), m_clients(m_random), m_now(std::chrono::hours(1))
{
    const auto pick = [this](std::initializer_list<std::size_t> values) {
        return *(values.begin() + static_cast<std::ptrdiff_t>(m_random.below(values.size())));
    };
    m_faults.lossPermille = pick({0, 20, 150});
    m_faults.duplicatePermille = pick({0, 50});
    m_faults.longestDelayMs = pick({5, 30, 90});
    m_faults.crashPermille = pick({0, 10, 30});
    m_faults.pausePermille = pick({0, 10, 25});
    m_faults.partitionPermille = pick({0, 15, 40});
    m_faults.diskPermille = pick({0, 10, 20});
    m_faults.emptyDiskPermille = pick({0, 8});
    m_faults.membershipPermille = pick({0, 30});
    m_faults.slowDiskPermille = pick({0, 300, 700});
    createNodes();
}

void simulated_cluster::createNodes()
{
    const std::size_t voters = m_random.chance(600) ? 3 : 5;
    const std::size_t hosts = voters + m_random.below(3);
    consensus::membership initial;
    for (std::size_t host = 0; host < hosts; ++host) {
        node each;
        each.host = host;
        each.disk = std::make_shared<simulated_disk>();
        each.ratePermille = static_cast<std::int64_t>(m_random.between(960, 1040));
        each.snapshotEvery = m_random.between(5, 40);
        each.id = ++m_lastId;
        if (host < voters)
            initial.members.push_back(
                {each.id, consensus::member_role::Voter, std::to_string(host)});
        m_nodes.push_back(std::move(each));
    }
    for (auto &each : m_nodes) {
        const bool voter = each.host < voters;
        auto created = simulated_store::create(folder, {0, each.id},
                                               voter ? std::optional(initial) : std::nullopt,
                                               storeOptions(), simulated_files(each.disk));
        require(created.hasValue(), "an empty folder can be prepared");
        created = consensus::consensus_error::EmptyFolder; // Closes the store; start() reopens it.
        start(each);
    }
}

core::instant simulated_cluster::localTime(const node &each) const
{
    const auto elapsed = m_now.time_since_epoch() * each.ratePermille / 1000;
    return core::instant(elapsed) + std::chrono::minutes(each.host);
}

consensus::raft_options simulated_cluster::options(const node &each) const
{
    consensus::raft_options options;
    options.self = each.id;
    options.electionTimeout = electionTimeout;
    options.heartbeatInterval = heartbeatInterval;
    options.maximumAppendEntries = 8;
    options.maximumInFlight = 4;
    options.snapshotChunkBytes = 2048;
    options.catchUpEntries = 8;
    options.trailingEntries = 8;
    return options;
}

simulated_cluster::node *simulated_cluster::findNode(member_id id)
{
    const auto found = std::ranges::find(m_nodes, id, &node::id);
    return found == m_nodes.end() ? nullptr : &*found;
}

simulated_cluster::node *simulated_cluster::leader()
{
    node *found = nullptr;
    for (auto &each : m_nodes) {
        if (runs(each) && each.core->role() == raft_role::Leader
            && (found == nullptr || each.core->term() > found->core->term()))
            found = &each;
    }
    return found;
}

schedule_statistics simulated_cluster::run()
{
    for (int i = 0; i < faultSteps; ++i) {
        m_now += faultPhaseTime / faultSteps;
        injectFaults();
        step();
    }
    heal();
    const auto end = m_now + recoveryTimeout;
    while (!converged()) {
        require(m_now < end, "without faults the members agree again");
        m_now += milliseconds(10);
        step();
    }
    m_statistics.commits = m_checker.highestCommit();
    m_statistics.dispatches = m_clients.dispatchCount();
    return m_statistics;
}

void simulated_cluster::step()
{
    deliver();
    for (auto &each : m_nodes) {
        if (!each.core && each.restartAt <= m_now)
            start(each);
        if (!runs(each))
            continue;
        each.core->tick(localTime(each));
        observe(each);
    }
    propose();
    continueReplacement();
    checkLeases();
    for (auto &each : m_nodes) {
        if (runs(each))
            processReady(each);
    }
    checkLeases();
}

// Processes and disks

void simulated_cluster::start(node &each)
{
    each.disk->clearFaults();
    consensus::store_problem problem;
    auto opened
        = simulated_store::open(folder, storeOptions(), simulated_files(each.disk), &problem);
    if (!opened) {
        throw invariant_violation("a store reopens after a crash: " + problem.code.message()
                                  + " in " + problem.file.string() + " at "
                                  + std::to_string(problem.offset));
    }
    each.store.emplace(std::move(opened).value());
    require(each.store->identity().self == each.id, "a folder keeps its identity");
    auto restored = each.store->takeRestored();
    each.state = {};
    each.applied = 0;
    if (restored.latestSnapshot) {
        auto state = state::replicated_state::restore(*restored.latestSnapshot->content);
        require(state.hasValue(), "a saved snapshot can be restored");
        each.state = std::move(state).value();
        each.applied = restored.latestSnapshot->last.index;
    }
    each.core.emplace(options(each), std::move(restored), m_random.number(), localTime(each));
    each.clock.reset();
    each.pausedUntil = {};
    ++each.restarts;
    observe(each);
}

void simulated_cluster::startEmpty(node &each)
{
    each.disk = std::make_shared<simulated_disk>();
    auto created = simulated_store::create(folder, {0, each.id}, std::nullopt, storeOptions(),
                                           simulated_files(each.disk));
    require(created.hasValue(), "an empty folder can be prepared");
    created = consensus::consensus_error::EmptyFolder;
    start(each);
}

void simulated_cluster::stop(node &each, bool powerLoss)
{
    each.core.reset();
    each.store.reset();
    each.pending.clear();
    if (powerLoss) {
        each.disk->losePower(m_random);
        ++m_statistics.powerLosses;
    }
    ++m_statistics.crashes;
    each.restartAt = m_now + milliseconds(m_random.below(600));
}

void simulated_cluster::injectFaults()
{
    auto &each = m_nodes[m_random.below(m_nodes.size())];
    if (each.core && m_random.chance(m_faults.crashPermille))
        stop(each, m_random.chance(700));
    if (runs(each) && m_random.chance(m_faults.pausePermille)) {
        auto *target = leader();
        if (target == nullptr || m_random.chance(300))
            target = &each;
        target->pausedUntil = m_now + milliseconds(m_random.below(800));
        ++m_statistics.pauses;
    }
    if (each.core && m_random.chance(m_faults.diskPermille))
        injectDiskFault(each);
    if (m_random.chance(m_faults.partitionPermille))
        changePartitions();
    if (m_random.chance(m_faults.emptyDiskPermille))
        emptyDisk();
    if (m_random.chance(m_faults.membershipPermille))
        changeMembership();
    if (m_random.chance(5))
        transferLeadership();
}

void simulated_cluster::injectDiskFault(node &each)
{
    switch (m_random.below(3)) {
    case 0:
        each.disk->failNextSync = true;
        break;
    case 1:
        each.disk->freeBytes = m_random.below(200);
        break;
    default:
        each.disk->operationsLeft = m_random.below(8);
    }
}

void simulated_cluster::changePartitions()
{
    const auto anyHost = [this] { return m_random.below(m_nodes.size()); };
    switch (m_random.below(4)) {
    case 0:
        m_blockedLinks.clear();
        break;
    case 1: // Blocks one direction between two hosts
        m_blockedLinks.insert({anyHost(), anyHost()});
        break;
    case 2: { // Isolates one host in one or both directions
        const auto host = anyHost();
        const auto direction = m_random.below(3);
        for (std::size_t other = 0; other < m_nodes.size(); ++other) {
            if (direction != 0)
                m_blockedLinks.insert({host, other});
            if (direction != 1)
                m_blockedLinks.insert({other, host});
        }
        break;
    }
    default: { // Splits the hosts into two sides
        const auto sides = m_random.number();
        for (std::size_t from = 0; from < m_nodes.size(); ++from) {
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (((sides >> from) & 1U) != ((sides >> to) & 1U))
                    m_blockedLinks.insert({from, to});
            }
        }
    }
    }
}

/// Replaces the host of a voter. The design allows a second replacement only when the first new
/// member counts as a voter.
void simulated_cluster::emptyDisk()
{
    const auto *current = leader();
    if (m_replacement || current == nullptr || !current->core->membershipCommitted())
        return;
    auto &each = m_nodes[m_random.below(m_nodes.size())];
    // A stale leader's membership may have too few voters, so its commit must be the latest.
    if (current->core->commitIndex() < m_checker.highestCommit()
        || !current->core->members().isVoter(each.id) || current->core->members().replacement != 0)
        return;
    m_replacement = replacement_plan{each.id, ++m_lastId};
    each.core.reset();
    each.store.reset();
    each.pending.clear();
    each.id = m_lastId;
    startEmpty(each);
    ++m_statistics.emptiedDisks;
}

void simulated_cluster::continueReplacement()
{
    auto *current = leader();
    if (!m_replacement || current == nullptr || !m_random.chance(200))
        return;
    const auto &members = current->core->members();
    const auto [oldId, newId] = *m_replacement;
    const auto now = localTime(*current);
    if (members.isVoter(newId) && members.find(oldId) == nullptr) {
        if (current->core->membershipCommitted()
            && current->core->commitIndex() == m_checker.highestCommit()) {
            m_replacement.reset();
            ++m_statistics.replacements;
        }
        return;
    }
    membership_change change{membership_change_kind::AddLearner, newId, "new", 0};
    if (members.find(newId) != nullptr)
        change = {membership_change_kind::ReplaceVoter, newId, {}, oldId};
    // Another learner may have been promoted in place of the old voter.
    if (members.find(newId) != nullptr && members.find(oldId) == nullptr)
        change.kind = membership_change_kind::PromoteLearner;
    static_cast<void>(current->core->proposeMembership(change, now));
    observe(*current);
}

/// Adds, promotes or removes a host beyond the initial voters.
void simulated_cluster::changeMembership()
{
    auto *current = leader();
    if (current == nullptr)
        return;
    auto &each = m_nodes[m_random.below(m_nodes.size())];
    const auto &members = current->core->members();
    const bool planned
        = m_replacement && (m_replacement->newId == each.id || m_replacement->oldId == each.id);
    if (planned)
        return;
    membership_change change{membership_change_kind::AddLearner, each.id, "spare", 0};
    if (members.isVoter(each.id)) {
        if (members.voterCount() <= 3 || m_replacement)
            return;
        change.kind = membership_change_kind::RemoveMember;
    } else if (members.find(each.id) != nullptr) {
        change.kind = membership_change_kind::PromoteLearner;
    }
    static_cast<void>(current->core->proposeMembership(change, localTime(*current)));
    observe(*current);
}

void simulated_cluster::transferLeadership()
{
    auto *current = leader();
    if (current == nullptr)
        return;
    const auto target = m_nodes[m_random.below(m_nodes.size())].id;
    if (current->core->transferLeadership(target, localTime(*current)))
        ++m_statistics.transfers;
}

// Messages

void simulated_cluster::send(const std::vector<consensus::raft_message> &messages)
{
    for (const auto &message : messages) {
        m_checker.messageSent(message);
        const auto *from = findNode(message.from);
        const auto *to = findNode(message.to);
        if (from == nullptr || to == nullptr || m_blockedLinks.contains({from->host, to->host})
            || m_random.chance(m_faults.lossPermille))
            continue;
        const std::size_t copies = m_random.chance(m_faults.duplicatePermille) ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i) {
            const auto delay = milliseconds(1 + m_random.below(m_faults.longestDelayMs));
            m_messagesInFlight.push_back({m_now + delay, message});
        }
    }
}

void simulated_cluster::deliver()
{
    std::vector<message_in_flight> due;
    std::erase_if(m_messagesInFlight, [&](message_in_flight &each) {
        const auto *to = findNode(each.message.to);
        // Messages for a paused process wait in its socket.
        if (each.arrival > m_now || (to != nullptr && to->core && paused(*to)))
            return false;
        due.push_back(std::move(each));
        return true;
    });
    std::ranges::stable_sort(due, {}, &message_in_flight::arrival);
    for (const auto &each : due) {
        auto *to = findNode(each.message.to);
        if (to == nullptr || !to->core)
            continue;
        const auto decoded = consensus::decodeMessage(consensus::encodeMessage(each.message));
        require(decoded.hasValue(), "a message survives encoding");
        to->core->receive(decoded.value(), localTime(*to));
        observe(*to);
    }
}

void simulated_cluster::propose()
{
    const std::size_t count = m_random.below(3);
    for (std::size_t i = 0; i < count; ++i) {
        // Stale leaders get proposals as well.
        auto &each = m_nodes[m_random.below(m_nodes.size())];
        auto *target = m_random.chance(700) ? leader() : &each;
        if (target == nullptr || !runs(*target) || target->core->role() != raft_role::Leader)
            continue;
        const auto now = localTime(*target);
        if (target->clockTerm != target->core->term() || !target->clock) {
            if (!target->core->leaseValid(now) || target->applied < target->core->commitIndex())
                continue;
            target->clock.emplace(target->state.time(), core::wall_time(std::chrono::hours(24)),
                                  now);
            target->clockTerm = target->core->term();
        }
        const state::command command{target->clock->at(now), m_clients.nextCommand()};
        static_cast<void>(target->core->propose(state::encodeCommand(command), now));
        observe(*target);
    }
}

// Log and state of a member

void simulated_cluster::processReady(node &each)
{
    while (each.core->hasReady()) {
        auto ready = each.core->takeReady();
        m_checker.entriesWritten(*each.core, ready.entries);
        send(ready.messages);
        ready.messages.clear();
        each.pending.push_back(std::move(ready));
    }
    while (!each.pending.empty() && !m_random.chance(m_faults.slowDiskPermille)) {
        auto next = std::move(each.pending.front());
        each.pending.pop_front();
        if (!each.store->write(next)) {
            ++m_statistics.storeFailures;
            each.core->halt();
            require(!each.core->hasReady(), "a member with a failed store is silent");
            stop(each, m_random.chance(500));
            return;
        }
        completeSync(each, std::move(next));
    }
    if (each.applied >= each.core->snapshotIndex() + each.snapshotEvery)
        takeSnapshot(each);
}

void simulated_cluster::completeSync(node &each, consensus::ready done)
{
    send(done.messagesAfterSync);
    each.core->synced(done.number, localTime(each));
    observe(each);
    if (done.snapshotToInstall) {
        ++m_statistics.installedSnapshots;
        auto state = state::replicated_state::restore(*done.snapshotToInstall->content);
        require(state.hasValue(), "a received snapshot can be restored");
        each.state = std::move(state).value();
        each.applied = done.snapshotToInstall->last.index;
    }
    for (const auto &entry : done.committed)
        apply(each, entry);
}

void simulated_cluster::apply(node &each, const log_entry &entry)
{
    require(entry.position.index == each.applied + 1, "a member applies entries in order");
    const bool first = m_checker.entryApplied(entry);
    each.applied = entry.position.index;
    if (entry.kind != consensus::entry_kind::Command)
        return;
    const auto result = each.state.applyEncoded(entry.position.index, entry.payload);
    m_checker.commandApplied(entry.position.index, simulated_clients::hashOf(result));
    if (first)
        m_clients.applied(entry.position.index, state::decodeCommand(entry.payload).value(),
                          result);
}

void simulated_cluster::takeSnapshot(node &each)
{
    consensus::snapshot saved;
    saved.last = {each.core->termAt(each.applied), each.applied};
    saved.members = each.core->membershipAt(each.applied);
    saved.content = std::make_shared<const std::vector<std::byte>>(each.state.snapshot());
    m_checker.snapshotTaken(each.applied, core::hash64(consensus::asText(*saved.content)));
    if (!each.store->saveSnapshot(saved, each.core->compactionIndex(saved.last.index))) {
        ++m_statistics.storeFailures;
        stop(each, m_random.chance(500));
        return;
    }
    each.core->snapshotSaved(std::move(saved));
    observe(each);
}

// Checks

void simulated_cluster::observe(node &each)
{
    require(!each.core->halted(), "no member is asked to replace a committed entry");
    m_checker.observe(each.id, *each.core);
}

/// Includes paused members, which may resume at any moment and rely on their lease.
void simulated_cluster::checkLeases()
{
    std::vector<const consensus::raft_core *> cores;
    for (const auto &each : m_nodes) {
        if (each.core)
            cores.push_back(&*each.core);
    }
    for (const auto &each : m_nodes) {
        if (!each.core || !each.core->leaseValid(localTime(each)))
            continue;
        ++m_statistics.leaseChecks;
        m_checker.observeLease(*each.core, cores);
    }
}

// End of the schedule

void simulated_cluster::heal()
{
    m_faults = {};
    m_blockedLinks.clear();
    for (auto &each : m_nodes) {
        each.pausedUntil = {};
        each.disk->clearFaults();
        if (!each.core)
            each.restartAt = m_now;
    }
}

bool simulated_cluster::converged()
{
    const auto *current = leader();
    if (current == nullptr || m_replacement || !current->core->leaseValid(localTime(*current))
        || current->core->members().replacement != 0)
        return false;
    const auto reached = current->core->commitIndex();
    for (const auto &each : m_nodes) {
        const bool member = current->core->members().find(each.id) != nullptr;
        if (member && (!each.core || each.applied + 20 < reached))
            return false;
    }
    return current->applied == reached
        && current->state.currentConfiguration().revision == m_clients.lastAccepted().revision
        && current->state.currentConfiguration().document == m_clients.lastAccepted().document;
}

std::string simulated_cluster::describe() const
{
    std::ostringstream text;
    for (const auto &each : m_nodes) {
        text << "host " << each.host << " member " << each.id;
        if (!each.core) {
            text << " down\n";
            continue;
        }
        const auto status = each.core->status();
        text << " role " << static_cast<int>(status.role) << " term " << status.term << " leader "
             << status.leader << " last " << status.lastIndex << " commit " << status.commit
             << " applied " << each.applied << " snapshot " << status.snapshotIndex << " members";
        for (const auto &one : status.members.members)
            text << ' ' << one.id << (one.role == consensus::member_role::Voter ? "v" : "l");
        text << " replacement " << status.members.replacement << " matches";
        for (const auto &[id, match] : status.matches)
            text << ' ' << id << ':' << match;
        text << '\n';
    }
    if (m_replacement)
        text << "member " << m_replacement->newId << " is to replace " << m_replacement->oldId
             << '\n';
    return text.str();
}

} // namespace quetzalcleat::explore
