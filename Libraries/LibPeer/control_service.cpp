#include "LibPeer/control_service.h"

#include "LibConsensus/log_store.h"
#include "LibConsensus/membership_planner.h"
#include "LibConsensus/raft_core.h"
#include "LibCore/hash.h"
#include "LibCore/logger.h"
#include "LibPeer/configuration_distributor.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/configuration_lease.h"
#include "LibPeer/configuration_publisher.h"
#include "LibPeer/control_store.h"
#include "LibPeer/crash_reporter.h"
#include "LibPeer/endpoint_catalogue.h"
#include "LibPeer/endpoint_list_transfers.h"
#include "LibPeer/message_codec.h"
#include "LibPeer/peer_error.h"
#include "LibPeer/peer_network.h"
#include "LibPeer/proposal_table.h"
#include "LibPeer/share_allocator.h"
#include "LibState/command.h"
#include "LibState/replicated_state.h"
#include "LibState/state_clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

namespace quetzalcleat::peer {

namespace {

/// Less than a quarter of the heartbeat interval of raft.
constexpr std::chrono::milliseconds tickInterval{30};

/// Interval of the tasks of runPeriodicTasks(), such as join requests and proposals of the seed.
constexpr std::chrono::milliseconds periodicTaskInterval{500};

/// Between two attempts to open the log again after a failed write.
constexpr std::chrono::milliseconds reopenInterval{500};

constexpr auto seedEditId = "seed";

// What one side accepts, each part on the way to the others has to carry.
static_assert(state::maximumEncodedCommandBytes <= consensus::maximumPayloadBytes);
static_assert(consensus::maximumPayloadBytes < consensus::maximumBatchBytes);
static_assert(consensus::maximumMessageBytes < maximumMessageBytes);

const core::logger &log()
{
    static const core::logger logger("control");
    return logger;
}

consensus::membership_planner_options plannerOptions(const control_service_options &options)
{
    consensus::membership_planner_options planner;
    planner.minimumVoters = options.minimumVoters;
    planner.silenceTime = options.electionTimeout - options.heartbeatInterval;
    return planner;
}

std::span<const std::byte> asBytes(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

std::string asText(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace

class control_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed,
                   std::shared_ptr<configuration_publisher> publisher,
                   control_service_options options, consensus::log_store store)
        : m_network(std::move(network)), m_feed(std::move(feed)), m_publisher(std::move(publisher)),
          m_options(std::move(options)), m_identity(store.identity()), m_store(std::move(store)),
          m_tickTimer(m_network->context()), m_planner(plannerOptions(m_options))
    {
    }

    core::result<void> restore();
    void start();
    void stop();
    bool isLeader() const { return m_core && status().role == consensus::raft_role::Leader; }
    bool isConfirmed() const;
    std::optional<state::configuration> confirmedConfiguration() const;
    std::string leaderHost() const { return confirmationStatus().leader; }
    void transferLeadership();
    void onConfirming(std::function<void()> handler)
    {
        m_confirmingHandlers.push_back(std::move(handler));
    }
    void setCatalogue(std::shared_ptr<const endpoint_catalogue> catalogue)
    {
        m_catalogue = std::move(catalogue);
    }
    std::vector<std::string> voterHosts() const;
    bool isVoter() const { return m_core && status().members.isVoter(m_identity.self); }
    void leave(std::chrono::milliseconds remaining);
    bool hasLeft() const { return m_hasLeft; }
    const state::replicated_state &replicatedState() const { return m_state; }

private:
    struct unconfirmed_request
    {
        configuration_lease_request request;
        core::instant receivedAt;
    };

    using ready_pointer = std::shared_ptr<consensus::ready>;

    core::instant currentTime() const { return m_options.now(); }
    consensus::raft_status status() const { return m_core->status(); }
    void receive(const std::string &host, const message &content);
    void startTimer();
    void runPeriodicTasks(core::instant now);

    void processReadies();
    void completeReady(const ready_pointer &work, core::result<void> written);
    void sendAll(const std::vector<consensus::raft_message> &messages);
    std::string hostOf(consensus::member_id id) const;
    void applyAll(const std::vector<consensus::log_entry> &entries);
    void apply(const consensus::log_entry &entry);
    void installSnapshot(const consensus::snapshot &snapshot);
    void saveSnapshotIfDue();
    void haltOnError(std::error_code error);
    void haltUntilReopened(std::error_code error);
    void reopenIfDue(core::instant now);
    void finishReopening(std::optional<consensus::restored_state> restored,
                         const consensus::store_problem &problem);
    core::result<void> restore(consensus::restored_state restored);

    void handlePropose(const std::string &host, const propose &request);
    void proposeLocally(const std::string &host, const propose &request);
    void forward(const std::string &host, const propose &request, const std::string &leader);
    void handleForwardedResult(propose_result result);
    void answerUndecided(const proposal_origin &origin);
    bool mayPropose(core::instant now);

    void handleShareRequest(const std::string &host, const share_request &request);
    void handleConfigurationLeaseRequest(const std::string &host,
                                         const configuration_lease_request &request);
    void answerUnconfirmedRequests(core::instant now);
    bool answerConfigurationLeaseRequest(const std::string &host,
                                         const configuration_lease_request &request,
                                         core::instant now);
    configuration_lease_answer configurationLeaseAnswer() const;
    void pushConfiguration();
    void handleJoin(const std::string &sender, const join &request);
    void handleLeave(const std::string &sender, const peer::leave &request);
    bool isControlPeer(const std::string &host) const;
    void changeMembership(core::instant now);
    void requestToJoin();
    void proposeSeed();
    confirmation_status confirmationStatus() const;

    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<configuration_feed> m_feed;
    std::shared_ptr<configuration_publisher> m_publisher;
    control_service_options m_options;
    consensus::store_identity m_identity; ///< Of the store.
    /// Used by the disk thread only, once started. Empty while it cannot be opened again.
    std::optional<consensus::log_store> m_store;
    asio::thread_pool m_diskThread{1};
    asio::steady_timer m_tickTimer;
    std::optional<consensus::raft_core> m_core;
    state::replicated_state m_state;

    std::size_t m_writesInProgress = 0;
    consensus::log_position m_applied;
    consensus::log_index m_snapshotIndex = 0;
    std::size_t m_bytesSinceSnapshot = 0; ///< Payload of the entries applied since.
    std::size_t m_snapshotBytes = 0; ///< Size of the last one.
    bool m_savingSnapshot = false;
    bool m_mustReopen = false; ///< A write has failed.
    bool m_isReopening = false;
    core::instant m_lastReopenAttempt;
    std::map<consensus::member_id, std::string> m_memberHosts; ///< Known from their messages.

    proposal_table m_proposals;
    std::optional<state::state_clock> m_clock; ///< Set while leading.
    consensus::term_number m_clockTerm = 0;
    std::shared_ptr<const endpoint_catalogue> m_catalogue;
    endpoint_list_transfers m_listTransfers; ///< While leading.
    load_aggregator &m_loads = *m_options.loads; ///< Of the hosts that requested a lease recently.
    policy::part_quarantine m_quarantine; ///< By the reports of the hosts in m_loads.
    configuration_distributor m_distributor;
    consensus::membership_planner m_planner;
    bool m_isLeaving = false; ///< A planned stop is in progress.
    bool m_hasLeft = false;
    bool m_isRemoved = false; ///< From the voters, by the answer of the leader.
    std::optional<share_allocator> m_shares; ///< Of the term in which this host leads.
    consensus::term_number m_sharesTerm = 0;
    core::instant m_lastPeriodicTasks;
    /// Last requests that could not be confirmed, by host. Without their loads.
    std::map<std::string, unconfirmed_request> m_unconfirmedRequests;
    bool m_wasConfirmed = false;
    std::vector<std::function<void()>> m_confirmingHandlers;
    bool m_stopped = false;
};

core::result<void> control_service::implementation::restore()
{
    return restore(m_store->takeRestored());
}

core::result<void> control_service::implementation::restore(consensus::restored_state restored)
{
    if (restored.latestSnapshot) {
        const auto last = restored.latestSnapshot->last;
        // After the log was opened again, entries beyond the snapshot are applied already.
        if (last.index > m_applied.index) {
            auto state = state::replicated_state::restore(*restored.latestSnapshot->content);
            if (!state)
                return state.error();
            m_state = std::move(state).value();
            m_applied = last;
        }
        m_snapshotIndex = last.index;
    }
    consensus::raft_options options;
    options.self = m_identity.self;
    options.electionTimeout = m_options.electionTimeout;
    options.heartbeatInterval = m_options.heartbeatInterval;
    options.group = m_identity.group;
    const auto seed = core::hash64(core::secureRandomBytes(8));
    m_core.emplace(options, std::move(restored), seed, currentTime());
    return {};
}

void control_service::implementation::start()
{
    const std::weak_ptr<implementation> weak = weak_from_this();
    m_network->addReceiver([weak](const std::string &host, const message &content) {
        if (const auto self = weak.lock())
            self->receive(host, content);
    });
    m_publisher->setConfirmationStatus([weak] {
        const auto self = weak.lock();
        return self ? self->confirmationStatus() : confirmation_status{};
    });
    for (const auto &peer : m_network->options().peers) {
        if (peer.control)
            m_network->keepConnected(peer.name, true);
    }
    m_feed->publish(m_state.currentConfiguration());
    m_distributor.publish(m_state.currentConfiguration());
    startTimer();
}

void control_service::implementation::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_tickTimer.cancel();
    m_diskThread.join();
}

void control_service::implementation::startTimer()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        const auto now = self->currentTime();
        self->m_core->tick(now);
        self->changeMembership(now);
        self->runPeriodicTasks(now);
        self->processReadies();
        self->answerUnconfirmedRequests(now);
        self->startTimer();
    });
}

void control_service::implementation::runPeriodicTasks(core::instant now)
{
    for (const auto &origin : m_proposals.takeExpired(now))
        answerUndecided(origin);
    if (now - m_lastPeriodicTasks < periodicTaskInterval)
        return;
    m_lastPeriodicTasks = now;
    reopenIfDue(now);
    requestToJoin();
    proposeSeed();
    saveSnapshotIfDue();
}

void control_service::implementation::receive(const std::string &host, const message &content)
{
    if (m_stopped)
        return;
    if (const auto *payload = std::get_if<raft_payload>(&content)) {
        const auto decoded = consensus::decodeMessage(asBytes(payload->bytes));
        if (!decoded)
            return;
        m_memberHosts[decoded.value().from] = host;
        m_planner.heard(decoded.value().from, currentTime());
        m_core->receive(decoded.value(), currentTime());
    } else if (const auto *request = std::get_if<propose>(&content)) {
        handlePropose(host, *request);
    } else if (const auto *result = std::get_if<propose_result>(&content)) {
        handleForwardedResult(*result);
    } else if (const auto *joining = std::get_if<join>(&content)) {
        handleJoin(host, *joining);
    } else if (const auto *leaving = std::get_if<peer::leave>(&content)) {
        handleLeave(host, *leaving);
    } else if (const auto *released = std::get_if<leave_answer>(&content)) {
        m_hasLeft = m_isLeaving && released->memberId == m_identity.self;
        m_isRemoved = m_hasLeft && released->isRemoved;
    } else if (const auto *asked = std::get_if<configuration_lease_request>(&content)) {
        handleConfigurationLeaseRequest(host, *asked);
        return;
    } else if (const auto *asking = std::get_if<share_request>(&content)) {
        handleShareRequest(host, *asking);
    } else {
        return;
    }
    processReadies();
}

void control_service::implementation::processReadies()
{
    while (!m_stopped && m_core->hasReady()) {
        const auto work = std::make_shared<consensus::ready>(m_core->takeReady());
        sendAll(work->messages);
        work->messages.clear();
        // Work without a sync must not overtake work whose sync is in progress.
        if (!work->needsSync() && m_writesInProgress == 0) {
            completeReady(work, {});
            continue;
        }
        ++m_writesInProgress;
        asio::post(m_diskThread, [self = shared_from_this(), work] {
            auto written = work->needsSync() ? self->m_store->write(*work) : core::result<void>();
            asio::post(self->m_network->context(), [self, work, written] {
                --self->m_writesInProgress;
                if (self->m_stopped)
                    return;
                self->completeReady(work, written);
                self->processReadies();
            });
        });
    }
}

void control_service::implementation::completeReady(const ready_pointer &work,
                                                    core::result<void> written)
{
    if (!written) {
        haltUntilReopened(written.error());
        return;
    }
    if (status().halted)
        return;
    sendAll(work->messagesAfterSync);
    m_core->synced(work->number, currentTime());
    if (work->snapshotToInstall)
        installSnapshot(*work->snapshotToInstall);
    applyAll(work->committed);
}

void control_service::implementation::haltOnError(std::error_code error)
{
    log().error("failed to write or apply the log; this host no longer takes part in consensus: "
                + error.message());
    m_core->halt();
    for (const auto &origin : m_proposals.takeAll())
        answerUndecided(origin);
}

/// The disk may have room again or answer again later.
void control_service::implementation::haltUntilReopened(std::error_code error)
{
    if (!status().halted)
        haltOnError(error);
    m_mustReopen = true;
    m_lastReopenAttempt = currentTime();
}

/// Starts again from what is on the disk, like a new process: a failed write may have left any part
/// of it there. What was applied stays applied, since it was committed.
void control_service::implementation::reopenIfDue(core::instant now)
{
    if (!m_mustReopen || m_isReopening || m_writesInProgress > 0 || m_savingSnapshot
        || now - m_lastReopenAttempt < reopenInterval)
        return;
    m_isReopening = true;
    m_lastReopenAttempt = now;
    asio::post(m_diskThread, [self = shared_from_this()] {
        // Releases the lock of the folder.
        self->m_store.reset();
        consensus::store_problem problem;
        auto opened = consensus::log_store::open(self->m_options.dataFolder, {}, {}, &problem);
        std::optional<consensus::restored_state> restored;
        if (opened) {
            restored = opened.value().takeRestored();
            self->m_store.emplace(std::move(opened).value());
        }
        asio::post(self->m_network->context(),
                   [self, restored = std::move(restored), problem = std::move(problem)]() mutable {
                       self->finishReopening(std::move(restored), problem);
                   });
    });
}

void control_service::implementation::finishReopening(
    std::optional<consensus::restored_state> restored, const consensus::store_problem &problem)
{
    m_isReopening = false;
    if (m_stopped)
        return;
    if (!restored) {
        log().warning("cannot open the log again yet: " + problem.code.message() + " in "
                      + problem.file.string());
        return;
    }
    m_mustReopen = false;
    if (const auto done = restore(std::move(*restored)); !done) {
        haltOnError(done.error());
        return;
    }
    log().information("opened the log again; this host takes part in consensus");
}

void control_service::implementation::sendAll(const std::vector<consensus::raft_message> &messages)
{
    for (const auto &raftMessage : messages) {
        const auto host = hostOf(raftMessage.to);
        // A message to this host itself would be for an earlier member id of it.
        if (host.empty() || host == m_network->host())
            continue;
        // Raft resends lost messages.
        (void)m_network->send(host, raft_payload{asText(consensus::encodeMessage(raftMessage))});
    }
}

std::string control_service::implementation::hostOf(consensus::member_id id) const
{
    const auto members = status().members;
    if (const auto *member = members.find(id))
        return member->name;
    const auto known = m_memberHosts.find(id);
    return known == m_memberHosts.end() ? std::string() : known->second;
}

void control_service::implementation::applyAll(const std::vector<consensus::log_entry> &entries)
{
    for (const auto &entry : entries)
        apply(entry);
    if (!entries.empty() && m_feed->publish(m_state.currentConfiguration())) {
        m_distributor.publish(m_state.currentConfiguration());
        pushConfiguration();
    }
    saveSnapshotIfDue();
}

void control_service::implementation::apply(const consensus::log_entry &entry)
{
    if (entry.position.index <= m_applied.index || status().halted)
        return;
    state::command_result result;
    if (entry.kind == consensus::entry_kind::Command) {
        result = m_state.applyEncoded(entry.position.index, entry.payload);
        if (result.error == state::state_error::UnsupportedVersion) {
            haltOnError(result.error);
            return;
        }
    }
    m_applied = entry.position;
    m_bytesSinceSnapshot += entry.payload.size();
    const auto origin = m_proposals.takeCommitted(entry.position.index, entry.position.term);
    if (!origin)
        return;
    if (origin->sameTerm)
        (void)m_network->send(origin->origin.host,
                              makeProposeResult(origin->origin.proposalId, result));
    else
        answerUndecided(origin->origin);
}

void control_service::implementation::installSnapshot(const consensus::snapshot &snapshot)
{
    auto state = state::replicated_state::restore(*snapshot.content);
    if (!state) {
        haltOnError(state.error());
        return;
    }
    m_state = std::move(state).value();
    m_applied = snapshot.last;
    m_snapshotIndex = snapshot.last.index;
    for (const auto &origin : m_proposals.takeAll())
        answerUndecided(origin);
    m_feed->publish(m_state.currentConfiguration());
    m_distributor.publish(m_state.currentConfiguration());
}

void control_service::implementation::saveSnapshotIfDue()
{
    const bool isDue = m_applied.index >= m_snapshotIndex + m_options.snapshotEntries
        || m_bytesSinceSnapshot >= std::max(m_options.snapshotBytes, 2 * m_snapshotBytes);
    if (m_savingSnapshot || !isDue || status().halted)
        return;
    m_savingSnapshot = true;
    m_bytesSinceSnapshot = 0;
    // FIXME: Encoding a large state holds up the event loop; measure and move it if it matters.
    consensus::snapshot saved{m_applied, m_core->membershipAt(m_applied.index),
                              std::make_shared<const std::vector<std::byte>>(m_state.snapshot())};
    m_snapshotBytes = saved.content->size();
    const auto compactionIndex = m_core->compactionIndex(m_applied.index);
    asio::post(m_diskThread, [self = shared_from_this(), saved, compactionIndex] {
        const auto written = self->m_store->saveSnapshot(saved, compactionIndex);
        asio::post(self->m_network->context(), [self, saved, written] {
            self->m_savingSnapshot = false;
            if (self->m_stopped)
                return;
            if (!written) {
                self->haltUntilReopened(written.error());
                return;
            }
            self->m_snapshotIndex = saved.last.index;
            self->m_core->snapshotSaved(saved);
        });
    });
}

bool control_service::implementation::mayPropose(core::instant now)
{
    const auto current = status();
    if (current.role != consensus::raft_role::Leader || current.halted)
        return false;
    // Command times continue from the time of the state, which is known once an entry of the own
    // term, and thereby every earlier entry, is applied.
    if (m_applied.term != current.term)
        return false;
    if (m_clockTerm != current.term || !m_clock) {
        m_clock.emplace(m_state.time(), std::chrono::system_clock::now(), now);
        m_clockTerm = current.term;
    }
    return true;
}

void control_service::implementation::handlePropose(const std::string &host, const propose &request)
{
    const auto current = status();
    if (current.role == consensus::raft_role::Leader) {
        proposeLocally(host, request);
        return;
    }
    const auto leader = current.leader == 0 ? std::string() : hostOf(current.leader);
    if (request.forwarded || leader.empty() || leader == m_network->host())
        answerUndecided({host, request.proposalId});
    else
        forward(host, request, leader);
}

void control_service::implementation::proposeLocally(const std::string &host,
                                                     const propose &request)
{
    const auto now = currentTime();
    const proposal_origin origin{host, request.proposalId};
    auto command = state::decodeCommand(asBytes(request.command));
    if (!command) {
        // Rejected before it enters the log, since the state machine would reject it.
        state::command_result rejected;
        rejected.error = command.error();
        (void)m_network->send(host, makeProposeResult(request.proposalId, rejected));
        return;
    }
    if (!mayPropose(now) || m_proposals.isFull()) {
        answerUndecided(origin);
        return;
    }
    command.value().time = m_clock->at(now);
    const auto position = m_core->propose(state::encodeCommand(command.value()), now);
    if (!position) {
        answerUndecided(origin);
        return;
    }
    // The new entry has replaced one of an earlier term at this index.
    if (const auto replaced
        = m_proposals.add(position.value().index, position.value().term, origin, now))
        answerUndecided(*replaced);
}

void control_service::implementation::forward(const std::string &host, const propose &request,
                                              const std::string &leader)
{
    const proposal_origin origin{host, request.proposalId};
    const auto id = m_proposals.addForwarded(origin, currentTime());
    if (id == 0 || !m_network->send(leader, propose{id, true, request.command}))
        answerUndecided(origin);
}

void control_service::implementation::handleForwardedResult(propose_result result)
{
    const auto origin = m_proposals.takeForwarded(result.proposalId);
    if (!origin)
        return;
    result.proposalId = origin->proposalId;
    (void)m_network->send(origin->host, result);
}

void control_service::implementation::answerUndecided(const proposal_origin &origin)
{
    propose_result result;
    result.proposalId = origin.proposalId;
    (void)m_network->send(origin.host, result);
}

void control_service::implementation::handleShareRequest(const std::string &host,
                                                         const share_request &request)
{
    const auto now = currentTime();
    // While the leader lease is valid, neither a predecessor nor a successor can grant shares.
    if (!m_core->leaseValid(now) || request.host != host)
        return;
    const auto term = status().term;
    if (!m_shares || m_sharesTerm != term) {
        m_shares.emplace(share_options{}, term, now);
        m_sharesTerm = term;
    }
    (void)m_network->send(host, m_shares->handle(request, now));
}

void control_service::implementation::handleJoin(const std::string &sender, const join &request)
{
    if (request.memberId == 0 || !isControlPeer(sender))
        return;
    const auto current = status();
    const bool isForwarded = !request.host.empty();
    if (current.role != consensus::raft_role::Leader) {
        // A host with an empty disk knows only its seeds, and possibly none of them is the leader.
        const auto leader = leaderHost();
        if (!isForwarded && !leader.empty() && leader != sender)
            (void)m_network->send(leader, join{request.memberId, sender});
        return;
    }
    const bool isMember = std::ranges::any_of(
        current.members.members, [&](const auto &member) { return member.name == sender; });
    if (isForwarded && (!isMember || !isControlPeer(request.host)))
        return;
    m_planner.joinRequested(isForwarded ? request.host : sender, request.memberId, currentTime());
    changeMembership(currentTime());
}

void control_service::implementation::handleLeave(const std::string &sender,
                                                  const peer::leave &request)
{
    const auto current = status();
    const auto *leaving = current.members.find(request.memberId);
    if (leaving != nullptr && leaving->name != sender)
        return;
    const auto now = currentTime();
    m_planner.leaveRequested(request.memberId, request.remaining, now);
    if (current.role != consensus::raft_role::Leader)
        return;
    changeMembership(now);
    if (m_planner.releases(*m_core, request.memberId, now))
        (void)m_network->send(
            sender, leave_answer{request.memberId, !m_core->members().isVoter(request.memberId)});
}

void control_service::implementation::leave(std::chrono::milliseconds remaining)
{
    m_isLeaving = true;
    if (m_isRemoved)
        return;
    // Asked anew each time: a successor may join meanwhile.
    m_hasLeft = m_core->role() == consensus::raft_role::Leader
        && m_planner.releases(*m_core, m_identity.self, currentTime());
    transferLeadership();
    // Any of them may lead by the time the request arrives.
    for (const auto &member : status().members.members) {
        if (member.role == consensus::member_role::Voter && member.name != m_network->host())
            (void)m_network->send(member.name, peer::leave{m_identity.self, remaining});
    }
}

/// Hosts that are named by their address need not be listed in the settings.
bool control_service::implementation::isControlPeer(const std::string &host) const
{
    const auto *peer = m_network->findPeer(host);
    return peer != nullptr && (peer->control || m_network->options().commonPort != 0);
}

void control_service::implementation::changeMembership(core::instant now)
{
    if (m_core->role() != consensus::raft_role::Leader)
        return;
    for (const auto &change : m_planner.changes(*m_core, now)) {
        if (!m_core->proposeMembership(change, now))
            continue;
        log().information("membership change of kind "
                          + std::to_string(static_cast<int>(change.kind)) + " for member "
                          + std::to_string(change.id) + " proposed");
        return;
    }
}

void control_service::implementation::requestToJoin()
{
    const auto current = status();
    if (current.halted || m_isLeaving)
        return;
    // A member that was removed while it was down still considers itself a member.
    const bool knowsLeader = current.leader != 0;
    if (current.members.isVoter(m_identity.self) && (knowsLeader || !m_options.rejoinWithoutLeader))
        return;
    std::set<std::string> hosts;
    for (const auto &member : current.members.members)
        hosts.insert(member.name);
    for (const auto &peer : m_network->options().peers) {
        if (peer.control)
            hosts.insert(peer.name);
    }
    // All seeds may be gone, while the leader still sends to the earlier id of this host.
    for (const auto &[id, host] : m_memberHosts)
        hosts.insert(host);
    hosts.erase(m_network->host());
    for (const auto &host : hosts)
        (void)m_network->send(host, join{m_identity.self, {}});
}

void control_service::implementation::handleConfigurationLeaseRequest(
    const std::string &host, const configuration_lease_request &request)
{
    const auto now = currentTime();
    if (!m_loads.record(host, request.loads, now))
        return;
    recordCrashes(m_quarantine, host, request, now);
    if (!answerConfigurationLeaseRequest(host, request, now)) {
        auto known = request;
        known.loads.clear();
        known.crashSuspects.clear();
        known.partAnswers.clear();
        known.quarantinedParts.clear();
        m_unconfirmedRequests[host] = {std::move(known), now};
    }
}

/// Answers waiting hosts as soon as this host can confirm the configuration, without waiting for
/// their next requests: after a failure of all hosts, their callers wait for it.
void control_service::implementation::answerUnconfirmedRequests(core::instant now)
{
    const bool confirmed = isConfirmed();
    const bool begins = confirmed && !m_wasConfirmed;
    m_wasConfirmed = confirmed;
    if (!confirmed) {
        std::erase_if(m_unconfirmedRequests, [&](const auto &entry) {
            return now - entry.second.receivedAt > load_aggregator::reportLifetime;
        });
        return;
    }
    if (begins) {
        for (const auto &handler : m_confirmingHandlers)
            handler();
    }
    for (const auto &[host, waiting] : std::exchange(m_unconfirmedRequests, {}))
        (void)answerConfigurationLeaseRequest(host, waiting.request, now);
}

/// Returns whether the answer confirms the configuration.
bool control_service::implementation::answerConfigurationLeaseRequest(
    const std::string &host, const configuration_lease_request &request, core::instant now)
{
    auto answer = configurationLeaseAnswer();
    m_distributor.answer(answer, host, request.revision, now);
    answer.sequence = request.sequence;
    answer.loads = m_loads.sumsExcluding(host, now);
    const auto hosts = m_loads.hostCount();
    const auto interval
        = configuration_lease_options().intervalFor(static_cast<std::uint32_t>(hosts));
    addQuarantine(answer, m_quarantine, host, {hosts, interval}, m_network->incarnation(), now);
    const bool needsList
        = m_catalogue && m_catalogue->needsCompleteList(request.listEpoch, request.listVersion);
    if (m_catalogue && answer.confirmed && !(needsList && m_listTransfers.isInTransit(host, now)))
        m_catalogue->fill(answer.endpoints, request.listEpoch, request.listVersion, now);
    // If sending fails, the host asks again.
    if (m_network->send(host, answer) && answer.endpoints.isComplete)
        m_listTransfers.recordSent(host, now);
    return answer.confirmed;
}

configuration_lease_answer control_service::implementation::configurationLeaseAnswer() const
{
    configuration_lease_answer answer;
    answer.confirmed = isConfirmed();
    answer.leader = leaderHost();
    answer.hosts = static_cast<std::uint32_t>(m_loads.hostCount());
    for (const auto &member : status().members.members)
        answer.controlHosts.push_back(member.name);
    return answer;
}

void control_service::implementation::pushConfiguration()
{
    if (!isLeader())
        return;
    const auto now = currentTime();
    const auto hosts = m_loads.hosts(now);
    m_distributor.retain(hosts);
    const auto common = configurationLeaseAnswer();
    for (const auto &host : hosts) {
        auto answer = common;
        // If sending fails, the host gets it with its next request.
        if (m_distributor.push(answer, host, now))
            (void)m_network->send(host, answer);
    }
}

bool control_service::implementation::isConfirmed() const
{
    const auto index = m_core->readIndex(currentTime());
    return !m_stopped && index && m_applied.index >= index.value();
}

std::optional<state::configuration> control_service::implementation::confirmedConfiguration() const
{
    if (!isConfirmed())
        return std::nullopt;
    return m_state.currentConfiguration();
}

void control_service::implementation::transferLeadership()
{
    const auto current = status();
    if (current.role != consensus::raft_role::Leader)
        return;
    consensus::member_id best = 0;
    consensus::log_index bestMatch = 0;
    for (const auto &[id, match] : current.matches) {
        // Two hosts that stop at the same time would transfer it to each other.
        if (current.members.isVoter(id) && match >= bestMatch && !m_planner.isLeaving(id)) {
            best = id;
            bestMatch = match;
        }
    }
    if (best == 0)
        return;
    if (const auto transferred = m_core->transferLeadership(best, currentTime()); !transferred)
        log().information("cannot transfer leadership: " + transferred.error().message());
    processReadies();
}

std::vector<std::string> control_service::implementation::voterHosts() const
{
    // A change that is not committed may still be undone by the next leader.
    std::vector<std::string> hosts;
    for (const auto &member : m_core->membershipAt(status().commit).members) {
        if (member.role == consensus::member_role::Voter)
            hosts.push_back(member.name);
    }
    return hosts;
}

void control_service::implementation::proposeSeed()
{
    if (m_options.seedDocument.empty() || m_state.currentConfiguration().revision != 0
        || !mayPropose(currentTime()))
        return;
    state::command command;
    command.time = m_clock->at(currentTime());
    command.body = state::apply_edit{{seedEditId, 0, m_options.seedDocument, seedEditId}, {}};
    // Repeated until it is in force; the edit id keeps it from being accepted twice.
    (void)m_core->propose(state::encodeCommand(command), currentTime());
}

confirmation_status control_service::implementation::confirmationStatus() const
{
    const auto current = status();
    if (current.halted || m_stopped)
        return {};
    const bool leads = current.role == consensus::raft_role::Leader;
    return {leads ? m_core->leaseValid(currentTime()) : current.leader != 0,
            current.leader == 0 ? std::string() : hostOf(current.leader)};
}

control_service::control_service(std::shared_ptr<implementation> content)
    : m_implementation(std::move(content))
{
}

control_service::~control_service()
{
    stop();
}

core::result<std::shared_ptr<control_service>> control_service::create(
    std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed,
    std::shared_ptr<configuration_publisher> publisher, control_service_options options)
{
    auto store = openControlStore(*network, options);
    if (!store)
        return store.error();
    auto content = std::make_shared<implementation>(std::move(network), std::move(feed),
                                                    std::move(publisher), std::move(options),
                                                    std::move(store).value());
    if (const auto restored = content->restore(); !restored)
        return restored.error();
    return std::shared_ptr<control_service>(new control_service(std::move(content)));
}

void control_service::start()
{
    m_implementation->start();
}

void control_service::stop()
{
    m_implementation->stop();
}

std::optional<state::configuration> control_service::confirmedConfiguration() const
{
    return m_implementation->confirmedConfiguration();
}

bool control_service::isConfirmed() const
{
    return m_implementation->isConfirmed();
}

std::string control_service::leaderHost() const
{
    return m_implementation->leaderHost();
}

std::vector<std::string> control_service::voterHosts() const
{
    return m_implementation->voterHosts();
}

void control_service::onConfirming(std::function<void()> handler)
{
    m_implementation->onConfirming(std::move(handler));
}

void control_service::setCatalogue(std::shared_ptr<const endpoint_catalogue> catalogue)
{
    m_implementation->setCatalogue(std::move(catalogue));
}

void control_service::transferLeadership()
{
    m_implementation->transferLeadership();
}

void control_service::leave(std::chrono::milliseconds remaining)
{
    m_implementation->leave(remaining);
}

bool control_service::hasLeft() const
{
    return m_implementation->hasLeft();
}

const state::replicated_state &control_service::replicatedState() const
{
    return m_implementation->replicatedState();
}

bool control_service::isLeader() const
{
    return m_implementation->isLeader();
}

bool control_service::isVoter() const
{
    return m_implementation->isVoter();
}

} // namespace quetzalcleat::peer
