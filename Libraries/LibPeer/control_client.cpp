#include "LibPeer/control_client.h"

#include "LibCore/hash.h"
#include "LibCore/logger.h"
#include "LibCore/time.h"
#include "LibPeer/configuration_feed.h"
#include "LibPeer/control_host_selector.h"
#include "LibPeer/gossip_core.h"
#include "LibPeer/peer_error.h"
#include "LibPeer/peer_network.h"
#include "LibPeer/share_allocator.h"
#include "LibState/state_error.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::peer {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};

/// Calls that wait for a verdict; further calls get Undecided at once.
constexpr std::size_t maximumCalls = 20'000;

/// Finished and abandoned claims that wait to be committed.
constexpr std::size_t maximumBackgroundProposals = 40'000;

/// Delay before a proposal that was answered "undecided" is resent, multiplied by the number of its
/// transmissions so far. While no leader is known, that answer comes at once.
constexpr std::chrono::milliseconds undecidedRetryDelay{100};

/// Upper bounds of the exponential back-off of a proposal, in resend intervals. Without back-off, a
/// burst that takes longer than an interval to commit would be resent completely, and each copy
/// would delay the commit further.
constexpr std::uint32_t maximumCallIntervals = 8;
constexpr std::uint32_t maximumBackgroundIntervals = 16;

/// Peers asked for a configuration when no control host answers.
constexpr std::size_t fallbackPeerCount = 3;

/// Minimum interval of requests for a newer revision to a peer that has it.
constexpr std::chrono::milliseconds fetchInterval{200};

/// Reports are requested from the control hosts for this long after a call of status().
constexpr std::chrono::milliseconds statusRequestLifetime{10'000};
constexpr std::chrono::milliseconds statusInterval{500};

/// Interval at which a share is renewed, several times per share_options::leaseTime.
constexpr std::chrono::milliseconds shareInterval{1500};

/// A host whose last report is older does not count as alive.
constexpr std::chrono::milliseconds aliveTimeout{8000};

const core::logger &log()
{
    static const core::logger logger("control-client");
    return logger;
}

/// At least added to an incarnation that the state refuses as out of date, and multiplied for each
/// further refusal: incarnations count microseconds, so clocks set back by a year take 14 refusals.
constexpr std::uint64_t firstIncarnationRaise = 1'000'000;
constexpr std::uint64_t incarnationRaiseFactor = 4;

std::string encode(state::command_body body)
{
    state::command command;
    command.body = std::move(body);
    const auto bytes = state::encodeCommand(command);
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

/// The verdict of one kind, or the error that came instead of it.
template <typename Verdict>
core::result<Verdict> verdictOf(const state::command_result &result)
{
    // The tables of the replicated state are full; a later attempt may succeed.
    if (result.error == state::state_error::TableFull)
        return peer_error::Undecided;
    if (result.error)
        return result.error;
    if (const auto *verdict = std::get_if<Verdict>(&result.verdict))
        return *verdict;
    return peer_error::Undecided;
}

} // namespace

class control_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using result_handler = std::function<void(const state::command_result &)>;

    implementation(std::shared_ptr<peer_network> network, std::shared_ptr<configuration_feed> feed,
                   control_client_options options)
        : m_network(std::move(network)), m_feed(std::move(feed)), m_options(std::move(options)),
          m_controlHosts(m_network, currentTime()),
          m_gossip({}, m_network->host(), m_network->incarnation(),
                   core::hash64(core::secureRandomBytes(8)), currentTime()),
          m_share({}, m_network->host(), m_network->incarnation()),
          m_incarnation(m_network->incarnation()), m_tickTimer(m_network->context()),
          m_random(
              static_cast<std::minstd_rand::result_type>(core::hash64(core::secureRandomBytes(8))))
    {
    }

    void start();
    void stop();

    /// Proposes until there is a result or the timeout has passed; then calls onResult or
    /// onTimeout.
    void propose(state::command_body body, std::chrono::milliseconds timeout, bool background,
                 result_handler onResult, std::function<void()> onTimeout);
    void proposeInBackground(state::command_body body);
    template <typename Verdict>
    void call(state::command_body body, std::chrono::milliseconds timeout,
              std::function<void(core::result<Verdict>)> handler, std::function<void()> onTimeout);

    void onConfiguration(configuration_handler handler);
    void onIncarnationRaised(incarnation_handler handler)
    {
        m_incarnationHandlers.push_back(std::move(handler));
    }
    std::uint64_t incarnation() const { return m_incarnation; }
    fleet_status status() const;
    void reportDemand(std::uint64_t demand) { m_demand = demand; }
    share_parts share() const { return m_share.share(currentTime()); }

    const control_client_options &options() const { return m_options; }

private:
    struct pending_proposal
    {
        std::string command;
        result_handler onResult;
        std::function<void()> onTimeout;
        core::instant deadline;
        core::instant nextTransmission;
        std::uint32_t transmissions = 0;
        bool background = false;
    };

    struct reported_host
    {
        host_report report;
        core::instant receivedAt;
    };

    /// Also counts while the machine is suspended, so that a share or the verdict of a call is not
    /// used after its time.
    core::instant currentTime() const { return m_options.now(); }
    void registerHost();
    void handleRegistration(std::error_code error);
    void raiseIncarnation();
    void receive(const std::string &host, const message &content);
    void handleResult(const propose_result &result);
    void handleUpdate(const std::string &host, const configuration_update &update);
    void handleReport(const status_report &report);
    void startTimer();
    void tick(core::instant now);
    void transmitDue(core::instant now);
    void transmit(std::uint64_t id, pending_proposal &proposal, core::instant now);
    void subscribeIfDue(core::instant now);
    void subscribeToPeers(std::size_t count);
    void fetchNewerRevision(core::instant now);
    void sendGossip();
    std::vector<std::string> localPeers() const;

    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<configuration_feed> m_feed;
    control_client_options m_options;
    control_host_selector m_controlHosts;
    gossip_core m_gossip;
    share_holder m_share;
    std::uint64_t m_incarnation; ///< Raised if the state knows a higher one.
    std::uint64_t m_raise = firstIncarnationRaise;
    bool m_registered = false;
    std::vector<incarnation_handler> m_incarnationHandlers;
    std::uint64_t m_demand = 0;
    core::instant m_lastShareRequest;
    asio::steady_timer m_tickTimer;
    std::minstd_rand m_random;

    std::map<std::uint64_t, pending_proposal> m_pending;
    /// Starts at random: a late verdict for an earlier process of this host must not be taken for
    /// the verdict on a proposal of this one.
    std::uint64_t m_lastRequest = core::hash64(core::secureRandomBytes(8)) >> 1U;
    std::size_t m_calls = 0;

    core::instant m_lastSubscription;
    core::instant m_lastFetch;
    core::instant m_startedAt;
    std::string m_leader;
    std::map<std::string, reported_host> m_reports;
    core::instant m_lastStatusRequest;
    mutable core::instant m_statusUsedAt; ///< When status() was last called.
    bool m_stopped = false;
};

void control_client::implementation::start()
{
    const std::weak_ptr<implementation> weak = weak_from_this();
    m_network->addReceiver([weak](const std::string &host, const message &content) {
        if (const auto self = weak.lock())
            self->receive(host, content);
    });
    m_feed->onPublished([weak](const state::configuration &configuration) {
        const auto self = weak.lock();
        if (!self || self->m_stopped)
            return;
        self->m_gossip.setRevision(configuration.revision);
        // Subscribes again at once, which reports the new revision to the control host.
        self->m_lastSubscription = {};
    });
    m_gossip.setRevision(m_feed->revision());
    m_startedAt = currentTime();
    m_gossip.setHosts(localPeers(), m_startedAt);
    registerHost();
    m_controlHosts.tick(m_startedAt);
    subscribeToPeers(fallbackPeerCount);
    startTimer();
}

void control_client::implementation::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_tickTimer.cancel();
    for (auto &[id, proposal] : std::exchange(m_pending, {})) {
        if (proposal.onTimeout)
            asio::post(m_network->context(), proposal.onTimeout);
    }
}

std::vector<std::string> control_client::implementation::localPeers() const
{
    std::vector<std::string> hosts;
    for (const auto &peer : m_network->options().peers) {
        if (peer.dataCentre == m_network->options().dataCentre)
            hosts.push_back(peer.name);
    }
    return hosts;
}

void control_client::implementation::registerHost()
{
    const state::host_register registration{m_network->host(), m_incarnation};
    const std::weak_ptr<implementation> weak = weak_from_this();
    propose(
        registration, m_options.backgroundTime, true,
        [weak](const state::command_result &result) {
            const auto self = weak.lock();
            if (self && !self->m_stopped)
                self->handleRegistration(result.error);
        },
        [weak] {
            const auto self = weak.lock();
            if (self && !self->m_stopped)
                self->registerHost();
        });
}

void control_client::implementation::handleRegistration(std::error_code error)
{
    if (!error) {
        m_registered = true;
        return;
    }
    // A process that was registered has been replaced by a later one and must not take over again.
    if (error != state::state_error::StaleIncarnation || m_registered) {
        log().error("cannot register this host: " + error.message());
        return;
    }
    raiseIncarnation();
    registerHost();
}

/// The time of day may have been set back between two starts, so that the number taken from it is
/// not above that of the earlier process. The earlier process has ended, as it held the port.
void control_client::implementation::raiseIncarnation()
{
    const auto before = m_incarnation;
    // A random part, as the state takes an equal number for the same process.
    std::uniform_int_distribution<std::uint64_t> raise(m_raise, 2 * m_raise);
    m_incarnation = std::max(m_incarnation + raise(m_random), m_gossip.self().incarnation);
    m_raise *= incarnationRaiseFactor;
    m_share.raiseIncarnation(m_incarnation);
    m_gossip.raiseIncarnation(m_incarnation);
    log().warning("the state knows a later process of this host: the clock may have been set back; "
                  "raising the incarnation from "
                  + std::to_string(before) + " to " + std::to_string(m_incarnation));
    for (const auto &handler : m_incarnationHandlers)
        handler(m_incarnation);
}

void control_client::implementation::propose(state::command_body body,
                                             std::chrono::milliseconds timeout, bool background,
                                             result_handler onResult,
                                             std::function<void()> onTimeout)
{
    state::command command;
    command.body = std::move(body);
    if (const auto checked = state::checkCommand(command); !checked) {
        asio::post(m_network->context(), [onResult, error = checked.error()] {
            state::command_result rejected;
            rejected.error = error;
            onResult(rejected);
        });
        return;
    }
    const auto inBackground = m_pending.size() - m_calls;
    const bool full
        = background ? inBackground >= maximumBackgroundProposals : m_calls >= maximumCalls;
    if (m_stopped || full) {
        if (onTimeout)
            asio::post(m_network->context(), onTimeout);
        return;
    }
    const auto now = currentTime();
    auto &proposal = m_pending[++m_lastRequest];
    proposal.command = encode(std::move(command.body));
    proposal.onResult = std::move(onResult);
    proposal.onTimeout = std::move(onTimeout);
    proposal.deadline = now + timeout;
    proposal.background = background;
    m_calls += background ? 0 : 1;
    transmit(m_lastRequest, proposal, now);
}

void control_client::implementation::proposeInBackground(state::command_body body)
{
    propose(
        std::move(body), m_options.backgroundTime, true,
        [](const state::command_result &result) {
            if (result.error)
                log().warning("cannot update a claim: " + result.error.message());
        },
        [] { log().warning("cannot update a claim: no majority answered within the time limit"); });
}

template <typename Verdict>
void control_client::implementation::call(state::command_body body,
                                          std::chrono::milliseconds timeout,
                                          std::function<void(core::result<Verdict>)> handler,
                                          std::function<void()> onTimeout)
{
    propose(
        std::move(body), timeout, false,
        [handler](const state::command_result &result) { handler(verdictOf<Verdict>(result)); },
        [handler, onTimeout] {
            if (onTimeout)
                onTimeout();
            handler(peer_error::Undecided);
        });
}

void control_client::implementation::transmit(std::uint64_t id, pending_proposal &proposal,
                                              core::instant now)
{
    const auto host = m_controlHosts.hostForTransmission(proposal.transmissions);
    if (!host.empty())
        (void)m_network->send(host, peer::propose{id, false, proposal.command});
    ++proposal.transmissions;
    const auto maximumIntervals
        = proposal.background ? maximumBackgroundIntervals : maximumCallIntervals;
    // Doubles with each transmission; the shift is bounded, so that it cannot overflow.
    const auto intervals
        = std::min(1U << std::min(proposal.transmissions - 1, 8U), maximumIntervals);
    proposal.nextTransmission = now + m_options.resendInterval * intervals;
}

void control_client::implementation::transmitDue(core::instant now)
{
    std::vector<std::function<void()>> timeouts;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        auto &proposal = entry->second;
        if (now >= proposal.deadline) {
            timeouts.push_back(std::move(proposal.onTimeout));
            m_calls -= proposal.background ? 0 : 1;
            entry = m_pending.erase(entry);
            continue;
        }
        if (now >= proposal.nextTransmission)
            transmit(entry->first, proposal, now);
        ++entry;
    }
    // Called last: a handler may add proposals.
    for (const auto &timeout : timeouts) {
        if (timeout)
            timeout();
    }
}

void control_client::implementation::receive(const std::string &host, const message &content)
{
    if (m_stopped)
        return;
    if (const auto *result = std::get_if<propose_result>(&content)) {
        handleResult(*result);
    } else if (const auto *update = std::get_if<configuration_update>(&content)) {
        handleUpdate(host, *update);
    } else if (const auto *report = std::get_if<status_report>(&content)) {
        handleReport(*report);
    } else if (const auto *grant = std::get_if<share_grant>(&content)) {
        m_share.handle(*grant, currentTime());
    } else if (const auto *gossip = std::get_if<peer::gossip>(&content)) {
        m_gossip.receive(host, *gossip, currentTime());
        sendGossip();
        fetchNewerRevision(currentTime());
    }
}

void control_client::implementation::handleResult(const propose_result &result)
{
    const auto found = m_pending.find(result.proposalId);
    // Not found: the call timed out, or an earlier transmission was answered.
    if (found == m_pending.end())
        return;
    if (result.outcome != propose_outcome::Committed) {
        auto &proposal = found->second;
        proposal.nextTransmission
            = std::min(proposal.nextTransmission,
                       currentTime() + undecidedRetryDelay * proposal.transmissions);
        return;
    }
    if (currentTime() >= found->second.deadline) {
        // This process was paused: the deadline has passed although the timer has not fired.
        found->second.nextTransmission = found->second.deadline;
        return;
    }
    // The state has accepted the incarnation of this process with its claim.
    if (result.kind == verdict_kind::Claim && result.error == 0)
        m_registered = true;
    const auto handler = std::move(found->second.onResult);
    m_calls -= found->second.background ? 0 : 1;
    m_pending.erase(found);
    handler(commandResult(result));
}

void control_client::implementation::handleUpdate(const std::string &host,
                                                  const configuration_update &update)
{
    if (update.hasDocument)
        m_feed->publish(update.configuration);
    if (!update.confirmed)
        return;
    m_leader = update.leader;
    m_controlHosts.recordConfirmation(host, currentTime());
}

void control_client::implementation::handleReport(const status_report &report)
{
    const auto now = currentTime();
    for (const auto &host : report.hosts)
        m_reports[host.host] = {host, now};
    std::erase_if(m_reports, [&](const auto &entry) {
        return now - entry.second.receivedAt > std::chrono::minutes(1);
    });
}

void control_client::implementation::startTimer()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->tick(self->currentTime());
        self->startTimer();
    });
}

void control_client::implementation::tick(core::instant now)
{
    m_controlHosts.tick(now);
    m_gossip.tick(now);
    sendGossip();
    fetchNewerRevision(now);
    subscribeIfDue(now);
    transmitDue(now);
    if (!m_leader.empty() && now - m_lastShareRequest >= shareInterval) {
        m_lastShareRequest = now;
        (void)m_network->send(m_leader, m_share.makeRequest(m_demand, now));
    }
    if (now - m_statusUsedAt < statusRequestLifetime
        && now - m_lastStatusRequest >= statusInterval) {
        m_lastStatusRequest = now;
        if (m_network->isConnected(m_controlHosts.current()))
            (void)m_network->send(m_controlHosts.current(), status_request{});
    }
}

void control_client::implementation::subscribeIfDue(core::instant now)
{
    if (now - m_lastSubscription < m_options.subscribeInterval)
        return;
    m_lastSubscription = now;
    if (const auto host = m_controlHosts.current(); !host.empty())
        (void)m_network->send(host, subscribe{m_feed->revision(), true});
    if (const auto host = m_controlHosts.alternate(); !host.empty())
        (void)m_network->send(host, subscribe{m_feed->revision(), false});
    const bool isolated = now - m_controlHosts.lastConfirmed() > 2 * m_options.subscribeInterval;
    if (isolated || m_feed->revision() == 0)
        subscribeToPeers(fallbackPeerCount);
}

void control_client::implementation::subscribeToPeers(std::size_t count)
{
    auto hosts = localPeers();
    std::shuffle(hosts.begin(), hosts.end(), m_random);
    hosts.resize(std::min(hosts.size(), count));
    for (const auto &host : hosts)
        (void)m_network->send(host, subscribe{m_feed->revision(), true});
}

void control_client::implementation::fetchNewerRevision(core::instant now)
{
    if (now - m_lastFetch < fetchInterval)
        return;
    const auto host = m_gossip.hostWithNewerRevision();
    if (host.empty())
        return;
    m_lastFetch = now;
    (void)m_network->send(host, subscribe{m_feed->revision(), false});
}

void control_client::implementation::sendGossip()
{
    for (auto &send : m_gossip.takeSends())
        (void)m_network->send(send.host, std::move(send.content));
}

void control_client::implementation::onConfiguration(configuration_handler handler)
{
    const std::weak_ptr<implementation> weak = weak_from_this();
    auto last = std::make_shared<std::uint64_t>(0);
    const auto deliver = [weak, last, handler](const state::configuration &configuration) {
        const auto self = weak.lock();
        if (!self || self->m_stopped || configuration.revision <= *last)
            return;
        *last = configuration.revision;
        handler(configuration);
    };
    m_feed->onPublished(deliver);
    if (m_feed->revision() != 0)
        asio::post(m_network->context(), [deliver, feed = m_feed] { deliver(feed->current()); });
}

fleet_status control_client::implementation::status() const
{
    const auto now = currentTime();
    m_statusUsedAt = now;
    const auto age = [&](core::instant time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    };
    std::map<std::string, host_status> hosts;
    for (const auto &peer : m_network->options().peers) {
        hosts[peer.name].host = peer.name;
        hosts[peer.name].dataCentre = peer.dataCentre;
        hosts[peer.name].age = age(m_startedAt);
    }
    for (const auto &[name, reported] : m_reports) {
        auto &host = hosts[name];
        host.host = name;
        host.incarnation = reported.report.incarnation;
        host.revision = reported.report.revision;
        host.age = age(reported.receivedAt)
            + std::chrono::milliseconds(std::min<std::uint64_t>(reported.report.ageMilliseconds,
                                                                std::uint64_t{1} << 31U));
        host.alive = host.age < aliveTimeout;
    }
    for (const auto &[name, view] : m_gossip.members()) {
        if (view.update.incarnation == 0)
            continue;
        auto &host = hosts[name];
        host.incarnation = view.update.incarnation;
        host.revision = std::max(host.revision, view.update.revision);
        host.alive = view.update.state == member_state::Alive;
        if (view.hasBeenHeard)
            host.age = std::min(host.age, age(view.lastHeard));
    }
    hosts[m_network->host()] = {m_network->host(),
                                m_network->options().dataCentre,
                                m_incarnation,
                                m_feed->revision(),
                                true,
                                {}};

    fleet_status status;
    status.revision = m_feed->revision();
    status.stale = !m_controlHosts.hasBeenConfirmed()
        || now - m_controlHosts.lastConfirmed() > m_options.staleAfter;
    status.leader = status.stale ? std::string() : m_leader;
    for (auto &[name, host] : hosts)
        status.hosts.push_back(std::move(host));
    return status;
}

control_client::control_client(std::shared_ptr<implementation> content)
    : m_implementation(std::move(content))
{
}

control_client::~control_client()
{
    stop();
}

std::shared_ptr<control_client> control_client::create(std::shared_ptr<peer_network> network,
                                                       std::shared_ptr<configuration_feed> feed,
                                                       control_client_options options)
{
    return std::shared_ptr<control_client>(new control_client(
        std::make_shared<implementation>(std::move(network), std::move(feed), std::move(options))));
}

void control_client::start()
{
    m_implementation->start();
}

void control_client::stop()
{
    m_implementation->stop();
}

void control_client::claim(state::claim_request request, std::chrono::milliseconds timeout,
                           claim_handler handler)
{
    const std::weak_ptr<implementation> weak = m_implementation;
    // After a timeout the caller is told "undecided" and must not send the request. A claim that is
    // granted later would lock the key although no request uses it, so it is abandoned.
    const auto abandon = [weak, attempt = request.attempt] {
        if (const auto self = weak.lock())
            self->proposeInBackground(state::claim_abandon{attempt});
    };
    m_implementation->call<state::claim_verdict>(state::claim_begin{std::move(request)}, timeout,
                                                 std::move(handler), abandon);
}

void control_client::finishClaim(state::claim_result result)
{
    m_implementation->proposeInBackground(state::claim_finish{std::move(result)});
}

void control_client::abandonClaim(state::claim_attempt attempt)
{
    m_implementation->proposeInBackground(state::claim_abandon{std::move(attempt)});
}

void control_client::closeClaim(state::claim_key key, std::chrono::milliseconds timeout,
                                claim_handler handler)
{
    m_implementation->call<state::claim_verdict>(state::claim_close{std::move(key)}, timeout,
                                                 std::move(handler), {});
}

void control_client::applyEdit(state::edit edit, std::chrono::milliseconds timeout,
                               edit_handler handler)
{
    std::optional<state::claim_ledger_limits> limits;
    if (m_implementation->options().readClaimLedgerLimits)
        limits = m_implementation->options().readClaimLedgerLimits(edit.document);
    m_implementation->call<state::edit_verdict>(state::apply_edit{std::move(edit), limits}, timeout,
                                                std::move(handler), {});
}

void control_client::onConfiguration(configuration_handler handler)
{
    m_implementation->onConfiguration(std::move(handler));
}

void control_client::reportDemand(std::uint64_t demand)
{
    m_implementation->reportDemand(demand);
}

double control_client::leasedShare() const
{
    return static_cast<double>(m_implementation->share()) / wholeShare;
}

void control_client::onIncarnationRaised(incarnation_handler handler)
{
    m_implementation->onIncarnationRaised(std::move(handler));
}

std::uint64_t control_client::incarnation() const
{
    return m_implementation->incarnation();
}

fleet_status control_client::status() const
{
    return m_implementation->status();
}

static_assert(control_plane<control_client>);

} // namespace quetzalcleat::peer
