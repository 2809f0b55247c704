#include "matrix_cluster.h"

#include "LibConsensus/byte_codec.h"
#include "LibConsensus/log_store_implementation.h"
#include "LibCore/hash.h"

#include <algorithm>

namespace quetzalcleat::fault_matrix {

using consensus::member_id;
using consensus::membership_change;
using consensus::membership_change_kind;
using consensus::raft_role;
using explore::require;
using std::chrono::milliseconds;

namespace {

constexpr const char *folder = "/data";
constexpr milliseconds tickInterval{5};
constexpr milliseconds sameDataCentreDelay{1};
constexpr milliseconds otherDataCentreDelay{20};
constexpr milliseconds faultPhaseTime{8000};
/// Without faults, an election, the replacement of a voter and all resends take far less.
constexpr milliseconds settleTimeout{15'000};
constexpr milliseconds inForceTimeout{3000};
constexpr milliseconds claimTimeout{1000};
constexpr milliseconds editTimeout{900};
constexpr milliseconds backgroundTimeout{60'000};
constexpr milliseconds resendInterval{400};
constexpr milliseconds subscribeInterval{1000};
constexpr milliseconds serviceTimeout{3000};
constexpr milliseconds callerTimeout{2500};
constexpr milliseconds operatorTimeout{1000};
constexpr milliseconds maximumSecondFaultDelay{300};
constexpr std::size_t controlHosts = 3;
constexpr std::size_t hosts = 6;
constexpr consensus::log_index snapshotEvery = 20;
const state::claim_key bookingKey{"dispatch", "crew-1"};
const std::string bookingAnswer = "crew booked";

consensus::log_store_options storeOptions()
{
    consensus::log_store_options options;
    options.segmentBytes = 2048; // Small, so that a run fills several segments.
    return options;
}

bool isControl(std::size_t host)
{
    return host < controlHosts;
}

std::size_t dataCentreOf(std::size_t host)
{
    return host % controlHosts;
}

} // namespace

matrix_cluster::matrix_cluster(const fault_cell &cell)
    : m_cell(cell), m_random(cell.seed), m_now(std::chrono::hours(1))
{
    consensus::membership initial;
    for (auto &each : m_controls) {
        each.id = ++m_lastId;
        initial.members.push_back(
            {each.id, consensus::member_role::Voter, std::to_string(each.id)});
    }
    for (auto &each : m_controls) {
        each.disk = std::make_shared<explore::simulated_disk>();
        auto created = store::create(folder, {0, each.id}, initial, storeOptions(),
                                     explore::simulated_files(each.disk));
        require(created.hasValue(), "an empty folder can be prepared");
        created
            = consensus::consensus_error::EmptyFolder; // Closes the store; startControl reopens it.
        startControl(each);
    }
    for (std::size_t host = controlHosts; host < hosts; ++host)
        start(host);
}

void matrix_cluster::run()
{
    startEdit("first", 0);
    while (m_edits.at("first").verdict == std::nullopt || !settled()) {
        require(m_now < core::instant(std::chrono::hours(1)) + settleTimeout, "the fleet starts");
        advance();
    }
    m_faultsEnabled = true;
    m_watchedEdit = "second";
    startEdit("second", 1);
    sendBooking();
    // In half of the runs the caller sends an early duplicate, possibly during the first call.
    if (m_random.chance(500))
        after(milliseconds(m_random.below(400)), [this] { sendBooking(); });
    const auto faultsUntil = m_now + faultPhaseTime;
    while (m_now < faultsUntil)
        advance();
    m_faultsEnabled = false;
    // A fault that still waits for its disk to be emptied was not injected.
    m_injected = m_injected && m_disksToEmpty == 0;
    m_scheduled.clear();
    healAfter(milliseconds(0));
    m_pausedUntil = {};
    m_serviceDown = false;
    m_serviceDelay = milliseconds(20);
    m_loseNextAnswer = false;
    for (std::size_t host = 0; host < hosts; ++host) {
        if (isControl(host) ? !m_controls.at(host).core : m_entries.at(host - 3).down)
            start(host);
        if (isControl(host))
            m_controls.at(host).disk->clearFaults();
        else
            m_entries.at(host - 3).leaving = false;
    }
    const auto healed = m_now;
    while (!settled()) {
        require(m_now < healed + settleTimeout, "without faults every call and edit is decided");
        require(m_now <= std::max(healed, m_lastAcceptance) + inForceTimeout || newestInForce(),
                "an accepted edit is in force on every host within 3 s");
        advance();
    }
    // After the answer not_run the key must be closed, and a delayed duplicate must not run.
    closeKey();
    const auto closed = m_now;
    m_bookingSettled = false;
    while (!settled()) {
        require(m_now < closed + settleTimeout, "a duplicate of a decided call is answered");
        advance();
    }
    checkAll();
}

// Time, network and processes

void matrix_cluster::after(milliseconds delay, std::function<void()> action)
{
    m_scheduled.push_back({m_now + delay, std::move(action)});
}

bool matrix_cluster::runs(std::size_t host) const
{
    const bool up = isControl(host) ? m_controls.at(host).core.has_value()
                                    : !m_entries.at(host - controlHosts).down;
    return up && m_pausedUntil.at(host) <= m_now;
}

void matrix_cluster::post(std::size_t from, std::size_t to, std::function<void()> deliver,
                          milliseconds extraDelay)
{
    if (m_blockedLinks.contains({from, to}))
        return;
    const auto delay
        = dataCentreOf(from) == dataCentreOf(to) ? sameDataCentreDelay : otherDataCentreDelay;
    // A restart of the receiver closes the connection and drops the message.
    m_messagesInFlight.push_back(
        {m_now + delay + extraDelay, to,
         [this, to, started = m_startCounts.at(to), deliver = std::move(deliver)] {
             if (m_startCounts.at(to) == started && runs(to))
                 deliver();
         }});
}

void matrix_cluster::blockLink(std::size_t from, std::size_t to)
{
    if (from != to)
        m_blockedLinks.insert({from, to});
}

void matrix_cluster::partition(const std::set<std::size_t> &side)
{
    for (std::size_t from = 0; from < hosts; ++from) {
        for (std::size_t to = 0; to < hosts; ++to) {
            if (side.contains(from) != side.contains(to))
                blockLink(from, to);
        }
    }
}

void matrix_cluster::healAfter(milliseconds delay)
{
    if (delay == milliseconds(0))
        m_blockedLinks.clear();
    else
        after(delay, [this] { m_blockedLinks.clear(); });
}

void matrix_cluster::advance()
{
    m_now += tickInterval;
    std::vector<message_in_flight> due;
    std::erase_if(m_messagesInFlight, [&](message_in_flight &each) {
        // Messages for a paused process wait in its socket.
        if (each.arrival > m_now || m_pausedUntil.at(each.to) > m_now)
            return false;
        due.push_back(std::move(each));
        return true;
    });
    std::ranges::stable_sort(due, {}, &message_in_flight::arrival);
    for (const auto &each : due)
        each.deliver();
    for (std::size_t host = 0; host < controlHosts; ++host) {
        if (runs(host))
            processReady(host);
    }
    for (std::size_t host = controlHosts; host < hosts; ++host) {
        if (runs(host))
            tickEntry(host);
    }
    continueReplacement();
    tickCallerAndOperators();
    std::vector<scheduled_event> events;
    std::erase_if(m_scheduled, [&](scheduled_event &each) {
        if (each.at > m_now)
            return false;
        events.push_back(std::move(each));
        return true;
    });
    for (const auto &each : events)
        each.action();
}

void matrix_cluster::crash(std::size_t host, bool powerLoss, milliseconds downTime)
{
    ++m_startCounts.at(host);
    m_pausedUntil.at(host) = {};
    if (isControl(host)) {
        auto &each = m_controls.at(host);
        each.core.reset();
        each.logStore.reset();
        if (powerLoss)
            each.disk->losePower(m_random);
    } else {
        auto &each = m_entries.at(host - controlHosts);
        each.down = true;
        each.pending.clear();
        each.sessions.clear();
        each.inForce = {};
    }
    after(downTime, [this, host] {
        if (isControl(host) ? !m_controls.at(host).core : m_entries.at(host - controlHosts).down)
            start(host);
    });
}

void matrix_cluster::start(std::size_t host)
{
    if (isControl(host)) {
        startControl(m_controls.at(host));
        return;
    }
    auto &each = m_entries.at(host - controlHosts);
    each.down = false;
    each.leaving = false;
    each.nextSubscription = m_now;
    ++each.incarnation;
    proposeInBackground(host,
                        state::host_register{"entry-" + std::to_string(host), each.incarnation});
}

void matrix_cluster::startControl(control_host &each)
{
    each.disk->clearFaults();
    auto opened = store::open(folder, storeOptions(), explore::simulated_files(each.disk));
    require(opened.hasValue(), "a store reopens after a crash");
    each.logStore.emplace(std::move(opened).value());
    auto restored = each.logStore->takeRestored();
    each.state = {};
    each.applied = 0;
    if (restored.latestSnapshot) {
        auto state = state::replicated_state::restore(*restored.latestSnapshot->content);
        require(state.hasValue(), "a saved snapshot can be restored");
        each.state = std::move(state).value();
        each.applied = restored.latestSnapshot->last.index;
    }
    consensus::raft_options options;
    options.self = each.id;
    options.electionTimeout = milliseconds(200);
    options.heartbeatInterval = milliseconds(40);
    options.trailingEntries = 8;
    options.catchUpEntries = 8;
    each.core.emplace(options, std::move(restored), m_random.number(), m_now);
    each.clock.reset();
    each.waiting.clear();
}

void matrix_cluster::emptyDisk(std::size_t host)
{
    const auto current = leader();
    const auto again = [this, host] { emptyDisk(host); };
    // A second voter may be replaced only when the first new member counts as a voter.
    if (m_replacement || current == hosts || !m_controls.at(current).core->membershipCommitted()
        || m_controls.at(current).core->commitIndex() < m_checker.highestCommit()
        || m_controls.at(current).core->members().replacement != 0)
        return after(milliseconds(100), again);
    auto &each = m_controls.at(host);
    --m_disksToEmpty;
    m_replacement = {each.id, ++m_lastId};
    ++m_startCounts.at(host);
    each.core.reset();
    each.logStore.reset();
    each.id = m_lastId;
    each.disk = std::make_shared<explore::simulated_disk>();
    auto created = store::create(folder, {0, each.id}, std::nullopt, storeOptions(),
                                 explore::simulated_files(each.disk));
    require(created.hasValue(), "an empty folder can be prepared");
    created = consensus::consensus_error::EmptyFolder;
    startControl(each);
}

void matrix_cluster::continueReplacement()
{
    const auto current = leader();
    if (!m_replacement || current == hosts)
        return;
    auto &core = *m_controls.at(current).core;
    const auto [oldId, newId] = *m_replacement;
    if (core.members().isVoter(newId) && core.members().find(oldId) == nullptr) {
        if (!core.membershipCommitted() || core.commitIndex() != m_checker.highestCommit())
            return;
        m_replacement.reset();
        if (std::exchange(m_crashAfterReplacement, false)) {
            const auto other = hostOf(newId) == current ? (current + 1) % controlHosts : current;
            crash(other, true, milliseconds(1000));
        }
        return;
    }
    membership_change change{membership_change_kind::AddLearner, newId, "new", 0};
    if (core.members().find(newId) != nullptr)
        change = {membership_change_kind::ReplaceVoter, newId, {}, oldId};
    static_cast<void>(core.proposeMembership(change, m_now));
}

// Control hosts

std::size_t matrix_cluster::leader() const
{
    std::size_t found = hosts;
    for (std::size_t host = 0; host < controlHosts; ++host) {
        const auto &core = m_controls.at(host).core;
        if (runs(host) && core->role() == raft_role::Leader
            && (found == hosts || core->term() > m_controls.at(found).core->term()))
            found = host;
    }
    return found;
}

std::size_t matrix_cluster::hostOf(member_id id) const
{
    const auto found = std::ranges::find(m_controls, id, &control_host::id);
    return found == m_controls.end() ? hosts : static_cast<std::size_t>(found - m_controls.begin());
}

void matrix_cluster::send(std::size_t host, const std::vector<consensus::raft_message> &messages)
{
    for (const auto &message : messages) {
        m_checker.messageSent(message);
        const auto to = hostOf(message.to);
        if (to == hosts)
            continue;
        post(host, to, [this, to, message] {
            m_controls.at(to).core->receive(message, m_now);
            m_checker.observe(m_controls.at(to).id, *m_controls.at(to).core);
        });
    }
}

void matrix_cluster::processReady(std::size_t host)
{
    auto &each = m_controls.at(host);
    each.core->tick(m_now);
    m_checker.observe(each.id, *each.core);
    while (each.core->hasReady()) {
        auto next = each.core->takeReady();
        m_checker.entriesWritten(*each.core, next.entries);
        send(host, next.messages);
        if (!each.logStore->write(next)) {
            each.core->halt();
            require(!each.core->hasReady(), "a member with a failed store is silent");
            crash(host, m_random.chance(500), milliseconds(100 + m_random.below(500)));
            return;
        }
        const bool watched = m_watchedIndex != 0
            && std::ranges::any_of(next.entries, [this](const consensus::log_entry &entry) {
                                 return entry.position.index == m_watchedIndex;
                             });
        if (watched)
            reach(host == leader() ? step::EditSynced : step::EditReplicated);
        send(host, next.messagesAfterSync);
        each.core->synced(next.number, m_now);
        m_checker.observe(each.id, *each.core);
        if (next.snapshotToInstall) {
            auto state = state::replicated_state::restore(*next.snapshotToInstall->content);
            require(state.hasValue(), "a received snapshot can be restored");
            each.state = std::move(state).value();
            each.applied = next.snapshotToInstall->last.index;
        }
        for (const auto &entry : next.committed)
            apply(host, entry);
    }
    if (each.applied < each.core->snapshotIndex() + snapshotEvery)
        return;
    consensus::snapshot saved;
    saved.last = {each.core->termAt(each.applied), each.applied};
    saved.members = each.core->membershipAt(each.applied);
    saved.content = std::make_shared<const std::vector<std::byte>>(each.state.snapshot());
    m_checker.snapshotTaken(each.applied, core::hash64(consensus::asText(*saved.content)));
    if (!each.logStore->saveSnapshot(saved, each.core->compactionIndex(saved.last.index)))
        return crash(host, m_random.chance(500), milliseconds(300));
    each.core->snapshotSaved(std::move(saved));
}

void matrix_cluster::apply(std::size_t host, const consensus::log_entry &entry)
{
    auto &each = m_controls.at(host);
    require(entry.position.index == each.applied + 1, "a member applies entries in order");
    const bool first = m_checker.entryApplied(entry);
    each.applied = entry.position.index;
    if (entry.kind != consensus::entry_kind::Command)
        return;
    const auto before = each.state.currentConfiguration().revision;
    const auto result = each.state.applyEncoded(entry.position.index, entry.payload);
    const auto command = state::decodeCommand(entry.payload).value();
    if (first) {
        const auto *verdict = std::get_if<state::claim_verdict>(&result.verdict);
        if (std::holds_alternative<state::claim_begin>(command.body) && verdict != nullptr
            && verdict->kind == state::claim_verdict_kind::Granted)
            reach(step::ClaimCommitted);
        if (std::holds_alternative<state::claim_finish>(command.body) && !result.error)
            reach(step::ResultCommitted);
        const auto *edit = std::get_if<state::apply_edit>(&command.body);
        if (edit != nullptr && edit->change.editId == m_watchedEdit)
            reach(step::EditCommitted);
    }
    if (const auto found = each.waiting.find(entry.position.index); found != each.waiting.end()) {
        if (found->second.term == entry.position.term)
            post(host, found->second.entryHost,
                 [answer = found->second.answer, result] { answer(result); });
        each.waiting.erase(found);
    }
    if (host != leader() || each.state.currentConfiguration().revision == before)
        return;
    for (std::size_t entryHost = controlHosts; entryHost < hosts; ++entryHost)
        push(host, entryHost);
    if (m_watchedEdit && each.state.currentConfiguration().editId == m_watchedEdit)
        reach(step::EditPushed);
}

void matrix_cluster::push(std::size_t from, std::size_t to)
{
    post(from, to, [this, to, configuration = m_controls.at(from).state.currentConfiguration()] {
        receiveConfiguration(to, configuration);
    });
}

/// A control host that does not lead gives no answer; the client tries the next one.
void matrix_cluster::receiveProposal(std::size_t host, std::size_t entryHost,
                                     const state::command_body &body, const reply &answer)
{
    auto &each = m_controls.at(host);
    if (each.core->role() != raft_role::Leader)
        return;
    if (each.clockTerm != each.core->term() || !each.clock) {
        if (!each.core->leaseValid(m_now) || each.applied < each.core->commitIndex())
            return;
        each.clock.emplace(each.state.time(),
                           core::wall_time(std::chrono::hours(24 * 365) + m_wallOffset), m_now);
        each.clockTerm = each.core->term();
    }
    const state::command command{each.clock->at(m_now), body};
    const auto position = each.core->propose(state::encodeCommand(command), m_now);
    if (!position)
        return;
    m_checker.observe(each.id, *each.core);
    each.waiting[position.value().index] = {position.value().term, entryHost, answer};
    if (std::holds_alternative<state::claim_begin>(body))
        reach(step::ClaimProposed);
    const auto *edit = std::get_if<state::apply_edit>(&body);
    if (edit != nullptr && edit->change.editId == m_watchedEdit) {
        m_watchedIndex = position.value().index;
        reach(step::EditAppended);
    }
}

// Entry hosts

void matrix_cluster::propose(std::size_t host, state::command_body body, milliseconds timeout,
                             reply onResult, std::function<void()> onTimeout)
{
    auto &each = m_entries.at(host - controlHosts);
    each.pending[++m_lastProposal]
        = {std::move(body), std::move(onResult), std::move(onTimeout), m_now + timeout, m_now, 0};
}

void matrix_cluster::proposeInBackground(std::size_t host, const state::command_body &body)
{
    propose(
        host, body, backgroundTimeout, [](const state::command_result &) {}, [] {});
}

void matrix_cluster::tickEntry(std::size_t host)
{
    auto &each = m_entries.at(host - controlHosts);
    std::vector<std::function<void()>> timeouts;
    for (auto &[id, proposal] : each.pending) {
        if (m_now < proposal.nextTransmission)
            continue;
        proposal.nextTransmission = m_now + resendInterval;
        // Like control_client, tries the known leader first and then the others in turn.
        const auto current = leader();
        const auto to
            = ((current == hosts ? 0 : current) + proposal.transmissions++) % controlHosts;
        const reply answer = [this, host, id = id](const state::command_result &result) {
            auto &pending = m_entries.at(host - controlHosts).pending;
            const auto found = pending.find(id);
            if (found == pending.end())
                return;
            const auto onResult = std::move(found->second.onResult);
            pending.erase(found);
            onResult(result);
        };
        // A control host that does not lead may delay a proposal before it forwards it.
        const auto forwardingDelay = milliseconds(m_random.chance(150) ? m_random.below(2000) : 0);
        post(
            host, to,
            [this, to, host, body = proposal.body, answer] {
                receiveProposal(to, host, body, answer);
            },
            forwardingDelay);
    }
    std::erase_if(each.pending, [&](auto &entry) {
        if (m_now < entry.second.deadline)
            return false;
        timeouts.push_back(std::move(entry.second.onTimeout));
        return true;
    });
    for (const auto &timeout : timeouts)
        timeout();
    if (m_now >= each.nextSubscription) {
        each.nextSubscription = m_now + subscribeInterval;
        const auto to = m_random.below(controlHosts);
        post(host, to, [this, to, host] { push(to, host); });
    }
    if (each.leaving && each.sessions.empty())
        crash(host, false, milliseconds(500));
}

void matrix_cluster::receiveConfiguration(std::size_t host, const state::configuration &received)
{
    auto &inForce = m_entries.at(host - controlHosts).inForce;
    if (received.revision == inForce.revision && received.revision != 0)
        require(received.document == inForce.document, "a revision has one document");
    if (received.revision <= inForce.revision)
        return;
    inForce = received;
    if (received.editId == m_watchedEdit)
        reach(step::EditInForce);
}

void matrix_cluster::receiveBooking(std::size_t host, std::size_t transmission)
{
    auto &each = m_entries.at(host - controlHosts);
    reach(step::BookingReceived);
    auto session = std::make_shared<booking_session>();
    session->attempt = {bookingKey, "attempt-" + std::to_string(transmission),
                        "entry-" + std::to_string(host), each.incarnation};
    session->deadline = m_now + claimTimeout;
    session->transmission = transmission;
    each.sessions.push_back(session);
    reach(step::BookingAdmitted);
    const auto undecided = [this, host, session] {
        if (session->phase != call_phase::Claiming)
            return;
        session->phase = call_phase::Ended;
        proposeInBackground(host, state::claim_abandon{session->attempt});
        std::erase(m_entries.at(host - controlHosts).sessions, session);
        receiveAnswer(session->transmission, caller_answer::Undecided, {});
    };
    propose(
        host, state::claim_begin{{session->attempt, "body"}}, claimTimeout,
        [this, host, session, undecided](const state::command_result &result) {
            if (session->phase != call_phase::Claiming)
                return;
            // A grant after the deadline is not used.
            if (m_now >= session->deadline || result.error)
                return undecided();
            receiveVerdict(host, session, result);
        },
        undecided);
}

void matrix_cluster::receiveVerdict(std::size_t host,
                                    const std::shared_ptr<booking_session> &session,
                                    const state::command_result &result)
{
    const auto &verdict = std::get<state::claim_verdict>(result.verdict);
    if (verdict.kind == state::claim_verdict_kind::Granted)
        return sendToService(host, session);
    session->phase = call_phase::Ended;
    std::erase(m_entries.at(host - controlHosts).sessions, session);
    auto answer = caller_answer::Undecided;
    if (verdict.kind == state::claim_verdict_kind::Finished)
        answer = caller_answer::Done;
    else if (verdict.kind == state::claim_verdict_kind::OutcomeUnknown)
        answer = caller_answer::Unknown;
    else if (verdict.kind == state::claim_verdict_kind::Closed)
        answer = caller_answer::NotRun;
    receiveAnswer(session->transmission, answer, verdict.answer.body);
}

void matrix_cluster::sendToService(std::size_t host,
                                   const std::shared_ptr<booking_session> &session)
{
    session->phase = call_phase::Sent;
    reach(step::FirstByteSent);
    const auto toHost = [this, host](milliseconds delay, std::function<void()> deliver) {
        m_messagesInFlight.push_back(
            {m_now + delay, host, [this, host, started = m_startCounts.at(host), deliver] {
                 if (m_startCounts.at(host) == started && runs(host))
                     deliver();
             }});
    };
    toHost(serviceTimeout, [this, host, session] { finishSession(host, session, false, {}); });
    after(sameDataCentreDelay, [this, host, session, toHost] {
        if (m_serviceDown) {
            // The connection was refused, so no byte was sent.
            toHost(sameDataCentreDelay, [this, host, session] {
                session->phase = call_phase::Ended;
                proposeInBackground(host, state::claim_abandon{session->attempt});
                std::erase(m_entries.at(host - controlHosts).sessions, session);
                receiveAnswer(session->transmission, caller_answer::Undecided, {});
            });
            return;
        }
        ++m_runs;
        reach(step::ServiceRan);
        after(m_serviceDelay, [this, host, session, toHost] {
            const bool answered = !m_serviceDown;
            toHost(sameDataCentreDelay, [this, host, session, answered] {
                if (answered)
                    reach(step::ServiceAnswered);
                finishSession(host, session, answered, bookingAnswer);
            });
        });
    });
}

void matrix_cluster::finishSession(std::size_t host,
                                   const std::shared_ptr<booking_session> &session, bool known,
                                   const std::string &body)
{
    if (session->phase != call_phase::Sent)
        return;
    session->phase = call_phase::Ended;
    std::erase(m_entries.at(host - controlHosts).sessions, session);
    state::claim_result result{session->attempt, known, {}};
    if (known)
        result.answer = {200, "text/plain", body, false};
    proposeInBackground(host, state::claim_finish{result});
    receiveAnswer(session->transmission, known ? caller_answer::Done : caller_answer::Unknown,
                  body);
}

void matrix_cluster::receiveEdit(std::size_t host, std::size_t edit)
{
    const auto id = m_editOrder.at(edit);
    if (id == m_watchedEdit)
        reach(step::EditReceived);
    propose(
        host, state::apply_edit{m_edits.at(id).change, std::nullopt}, editTimeout,
        [this, id](const state::command_result &result) {
            auto &known = m_edits.at(id);
            if (std::exchange(known.loseNextAnswer, false) || result.error)
                return;
            const auto verdict = std::get<state::edit_verdict>(result.verdict);
            require(!known.verdict || *known.verdict == verdict,
                    "a resend returns the first verdict of its edit");
            known.verdict = verdict;
            if (verdict.kind == state::edit_verdict_kind::Accepted
                && m_accepted.emplace(id, verdict.revision).second)
                m_lastAcceptance = m_now;
            if (id == m_watchedEdit)
                reach(step::EditAnswered);
        },
        [] {});
}

// Caller and operators

/// The load balancer skips hosts that are down or leaving.
void matrix_cluster::sendBooking()
{
    m_nextBooking = m_now + callerTimeout;
    for (std::size_t tried = 0; tried < 3; ++tried) {
        const auto transmission = m_transmissions++;
        const auto host = controlHosts + transmission % 3;
        const auto &each = m_entries.at(host - controlHosts);
        if (each.down || each.leaving)
            continue;
        m_messagesInFlight.push_back(
            {m_now + sameDataCentreDelay, host, [this, host, transmission] {
                 if (runs(host))
                     receiveBooking(host, transmission);
             }});
        return;
    }
}

void matrix_cluster::receiveAnswer(std::size_t transmission, caller_answer answer,
                                   const std::string &body)
{
    static_cast<void>(transmission);
    if (answer == caller_answer::Done) {
        require(m_runs > 0, "an answer belongs to a call that ran");
        require(body == bookingAnswer, "the caller gets the whole answer of its call");
        m_sawDone = true;
    }
    if (answer == caller_answer::NotRun) {
        require(m_runs == 0, "not_run is answered only if the call has not run");
        m_sawNotRun = true;
    }
    if (answer != caller_answer::Undecided)
        reach(step::AnswerRelayed);
    if (std::exchange(m_loseNextAnswer, false))
        return;
    if (answer == caller_answer::Undecided)
        m_nextBooking = std::min(m_nextBooking, m_now + milliseconds(200));
    else
        m_bookingSettled = true;
}

void matrix_cluster::startEdit(const std::string &editId, std::uint64_t base)
{
    m_editOrder.push_back(editId);
    m_edits[editId].change = {editId, base, "document of " + editId, "operator"};
    m_edits[editId].nextSend = m_now;
}

void matrix_cluster::tickCallerAndOperators()
{
    if (m_faultsEnabled || m_transmissions != 0) {
        if (!m_bookingSettled && m_now >= m_nextBooking)
            sendBooking();
    }
    for (std::size_t i = 0; i < m_editOrder.size(); ++i) {
        auto &edit = m_edits.at(m_editOrder[i]);
        if (edit.verdict || m_now < edit.nextSend)
            continue;
        edit.nextSend = m_now + operatorTimeout;
        const auto host = controlHosts + (i + edit.sends++) % 3;
        m_messagesInFlight.push_back({m_now + sameDataCentreDelay, host, [this, host, i] {
                                          if (runs(host))
                                              receiveEdit(host, i);
                                      }});
    }
}

void matrix_cluster::closeKey()
{
    bool answered = false;
    propose(
        controlHosts, state::claim_close{bookingKey}, settleTimeout,
        [this, &answered](const state::command_result &result) {
            answered = true;
            const auto kind = std::get<state::claim_verdict>(result.verdict).kind;
            if (kind == state::claim_verdict_kind::Closed)
                require(m_runs == 0, "a key is closed as not run only if its call has not run");
        },
        [] {});
    const auto end = m_now + settleTimeout;
    while (!answered) {
        require(m_now < end, "without faults a key can be closed");
        advance();
    }
}

// Faults and checks

void matrix_cluster::reach(step reached)
{
    if (!m_faultsEnabled || m_injected || reached != m_cell.at)
        return;
    m_injected = true;
    milliseconds delay{0};
    // Injected after the current event, because a crash destroys the state that it works on.
    for (const auto each : m_cell.faults) {
        after(delay, [this, each] { inject(each); });
        delay += milliseconds(m_random.below(maximumSecondFaultDelay.count()));
    }
}

void matrix_cluster::inject(fault value)
{
    const auto current = leader();
    const auto control = current == hosts ? m_random.below(controlHosts) : current;
    // The last entry host with a session of the booking, or the first entry host if none has one.
    std::size_t entry = controlHosts;
    for (std::size_t host = controlHosts; host < hosts; ++host) {
        if (!m_entries.at(host - controlHosts).sessions.empty())
            entry = host;
    }
    const bool atEntry = isBooking(m_cell.at) && !m_random.chance(300);
    const auto target = atEntry ? entry : control;
    const auto outage = milliseconds(500 + m_random.below(3000));
    auto &disk = *m_controls.at(control).disk;
    switch (value) {
    case fault::HostCrash:
        return crash(target, m_random.chance(700), outage);
    case fault::HostPause:
        m_pausedUntil.at(target) = m_now + outage;
        return;
    case fault::EngineStraggles:
        m_serviceDelay = milliseconds(4000);
        return after(outage, [this] { m_serviceDelay = milliseconds(20); });
    case fault::EngineCrashes:
        m_serviceDown = true;
        return after(outage, [this] { m_serviceDown = false; });
    case fault::LoadReportLate:
    case fault::CacheEventsLost:
        return;
    case fault::SilentConnection:
        blockLink(entry, control);
        blockLink(control, entry);
        return healAfter(milliseconds(2000)); // A heartbeat timeout replaces the connection.
    case fault::OneWayCut:
        for (std::size_t other = 0; other < hosts; ++other)
            blockLink(target, other);
        return healAfter(outage);
    case fault::DataCentreCutOff:
        partition({dataCentreOf(target), dataCentreOf(target) + controlHosts});
        return healAfter(outage);
    case fault::RegionsCut:
        for (std::size_t region = 0; region < controlHosts; ++region)
            partition({region, region + controlHosts});
        return healAfter(outage);
    case fault::IsolatedLeader:
        for (std::size_t other = 0; other < controlHosts; ++other) {
            blockLink(control, other);
            blockLink(other, control);
        }
        return healAfter(outage);
    case fault::RacingEdits: {
        std::uint64_t base = 1;
        for (const auto &each : m_controls)
            base = std::max(base, each.state.currentConfiguration().revision);
        startEdit("racing-a", base);
        startEdit("racing-b", base);
        return;
    }
    case fault::ResendAfterLostAnswer:
        if (isBooking(m_cell.at)) {
            // If the answer has already arrived, the caller sends the request again.
            m_loseNextAnswer = !std::exchange(m_bookingSettled, false);
            m_nextBooking = m_now + milliseconds(m_random.below(1500));
        } else {
            auto &edit = m_edits.at("second");
            edit.loseNextAnswer = !edit.verdict;
            const auto host = controlHosts + m_random.below(3);
            if (runs(host))
                receiveEdit(host, 1);
        }
        return;
    case fault::SecondVoterLost:
        m_crashAfterReplacement = true;
        ++m_disksToEmpty;
        return emptyDisk((control + 1) % controlHosts);
    case fault::DiskFull:
        disk.freeBytes = m_random.below(200);
        return;
    case fault::SyncFails:
        disk.failNextSync = true;
        return;
    case fault::TornWrite:
        disk.operationsLeft = m_random.below(4);
        return;
    case fault::EmptyDisk:
        ++m_disksToEmpty;
        return emptyDisk(m_random.chance(500) ? control : (control + 1) % controlHosts);
    case fault::ClockJump:
        // Only a new leader reads the wall clock.
        m_wallOffset += std::chrono::hours(m_random.chance(500) ? 24 * 30 : -24 * 30);
        return crash(control, false, milliseconds(100));
    case fault::RollingRestart:
        for (std::size_t host = 0; host < hosts; ++host)
            after(milliseconds(700) * host, [this, host] {
                if (runs(host))
                    crash(host, false, milliseconds(200));
            });
        return;
    case fault::PlannedStop:
        if (atEntry) {
            m_entries.at(entry - controlHosts).leaving = true;
            return;
        }
        if (current != hosts)
            static_cast<void>(m_controls.at(current).core->transferLeadership(
                m_controls.at((current + 1) % controlHosts).id, m_now));
        return after(milliseconds(100), [this, control] {
            if (runs(control))
                crash(control, false, milliseconds(500));
        });
    }
}

/// True if every call and edit has its verdict and the newest accepted revision is in force on
/// every host.
bool matrix_cluster::settled() const
{
    if (m_transmissions != 0 && !m_bookingSettled)
        return false;
    if (m_replacement || leader() == hosts)
        return false;
    for (const auto &[id, edit] : m_edits) {
        if (!edit.verdict)
            return false;
    }
    return newestInForce();
}

bool matrix_cluster::newestInForce() const
{
    std::uint64_t newest = 0;
    for (const auto &[id, revision] : m_accepted)
        newest = std::max(newest, revision);
    return std::ranges::all_of(m_entries, [newest](const entry_host &each) {
        return !each.down && each.inForce.revision >= newest;
    });
}

void matrix_cluster::checkAll()
{
    require(m_runs <= 1, "a non-repeatable call runs at most once");
    require(!m_sawNotRun || m_runs == 0, "a call answered not_run never runs");
    require(!m_sawDone || m_runs == 1, "a call answered done has run");
    const auto current = leader();
    require(current != hosts, "a leader exists after the faults");
    std::set<std::uint64_t> bases;
    for (const auto &[id, edit] : m_edits) {
        const auto &history = m_controls.at(current).state.history();
        const auto found = std::ranges::find(history, id, &state::history_record::editId);
        const bool accepted = m_accepted.contains(id);
        require(accepted == (found != history.end()), "an edit has the effect that was answered");
        if (!accepted)
            continue;
        require(found->revision == m_accepted.at(id), "an edit keeps its revision");
        require(bases.insert(edit.change.baseRevision).second,
                "of two edits with one base revision one succeeds");
    }
}

} // namespace quetzalcleat::fault_matrix
