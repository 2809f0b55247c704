#pragma once

#include "LibState/command_result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace quetzalcleat::peer {

/// First message of a connection, from the side that connects.
struct hello
{
    std::string cluster;
    std::string host;
    std::string expectedHost; ///< The host that the sender intends to reach.
    std::uint64_t incarnation = 0;
    std::string nonce; ///< 32 random bytes.

    bool operator==(const hello &) const = default;
};

/// Answer to hello, with the proof that the sender knows a key.
struct challenge
{
    std::string cluster;
    std::string host;
    std::uint64_t incarnation = 0;
    std::string nonce; ///< 32 random bytes.
    std::string proof; ///< HMAC-SHA-256 over the hello and the fields above.

    bool operator==(const challenge &) const = default;
};

/// Answer to challenge; from here on every frame carries an authentication tag.
struct challenge_response
{
    std::string proof;

    bool operator==(const challenge_response &) const = default;
};

struct heartbeat
{
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0; ///< Highest sequence received from the other side.

    bool operator==(const heartbeat &) const = default;
};

/// Part of an encoded message that does not fit into one frame. The parts of a message follow each
/// other; other messages may come between them.
struct fragment
{
    std::uint64_t totalBytes = 0;
    std::string bytes;

    bool operator==(const fragment &) const = default;
};

/// A message of the replicated log, encoded by LibConsensus.
struct raft_payload
{
    std::string bytes;

    bool operator==(const raft_payload &) const = default;
};

/// Asks a control host to have a command committed. A control host that is not the leader forwards
/// it to the leader once.
struct propose
{
    std::uint64_t proposalId = 0; ///< Unique within the sender's incarnation.
    bool forwarded = false;
    std::string command; ///< Encoded by LibState.

    bool operator==(const propose &) const = default;
};

enum class propose_outcome : std::uint8_t {
    Committed,
    Undecided, ///< Repeat the command.
};

enum class verdict_kind : std::uint8_t { None, Edit, Claim, Lease, Order };

struct propose_result
{
    std::uint64_t proposalId = 0;
    propose_outcome outcome = propose_outcome::Undecided;
    std::uint32_t error = 0; ///< state::state_error, or 0 for none.
    verdict_kind kind = verdict_kind::None; ///< Which of the following is set.
    state::edit_verdict edit;
    state::claim_verdict claim;
    state::control_lease_verdict lease;
    state::order_verdict order;

    bool operator==(const propose_result &other) const;
};

/// Converts the result of a committed command to a message, and back.
propose_result makeProposeResult(std::uint64_t proposalId, const state::command_result &result);
state::command_result commandResult(const propose_result &result);

/// Asks for configurations newer than the one in force at the sender.
struct subscribe
{
    std::uint64_t revision = 0;
    /// Whether later configurations are to be pushed for the next few seconds. Only one sender
    /// pushes to a host, since documents are large.
    bool push = true;

    bool operator==(const subscribe &) const = default;
};

/// A newer configuration. Without a document it only confirms that the subscriber is up to date.
struct configuration_update
{
    state::configuration configuration;
    bool hasDocument = false;
    bool confirmed = false; ///< The sender is a control host that follows a leader.
    std::string leader; ///< Host name; empty if unknown.

    bool operator==(const configuration_update &other) const
    {
        return configuration.revision == other.configuration.revision
            && configuration.document == other.configuration.document
            && configuration.editId == other.configuration.editId
            && configuration.author == other.configuration.author
            && hasDocument == other.hasDocument && confirmed == other.confirmed
            && leader == other.leader;
    }
};

enum class gossip_kind : std::uint8_t {
    Probe,
    Acknowledge,
    ProbeRequest, ///< Asks the receiver to probe the target for the sender.
    Exchange, ///< Carries all that the sender knows and asks the receiver for the same.
    ExchangeAnswer,
};

enum class member_state : std::uint8_t { Alive, Suspect, Dead };

/// The state of one host, as known to the sender.
struct member_update
{
    std::string host;
    member_state state = member_state::Alive;
    std::uint64_t incarnation = 0; ///< Start number of the host's process.
    std::uint32_t refutation = 0; ///< Raised by a host that refutes a suspicion.
    std::uint64_t revision = 0; ///< Configuration revision in force.

    bool operator==(const member_update &) const = default;
};

struct gossip
{
    gossip_kind kind = gossip_kind::Probe;
    std::uint64_t sequence = 0;
    std::string target; ///< Host that a probe request or its acknowledgement is about.
    std::vector<member_update> updates; ///< The first one is about the sender.

    bool operator==(const gossip &) const = default;
};

/// Asks a control host for the revisions in force on all hosts that it knows.
struct status_request
{
    bool operator==(const status_request &) const = default;
};

struct host_report
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t ageMilliseconds = 0;

    bool operator==(const host_report &) const = default;
};

/// Answer to a status request, and exchange between control hosts.
struct status_report
{
    std::vector<host_report> hosts;

    bool operator==(const status_report &) const = default;
};

/// Asks the leader to add a member id as a learner, in place of earlier ids of the same host.
struct join
{
    std::uint64_t memberId = 0;
    std::string host; ///< Set by a follower that forwards the request; empty: the sender.

    bool operator==(const join &) const = default;
};

/// Asks to take a voter out of the membership before it stops. Sent to all voters, so that none of
/// them transfers its leadership to the sender; the leader answers. Repeated until it is answered.
struct leave
{
    std::uint64_t memberId = 0;
    std::chrono::milliseconds remaining{0}; ///< Until it stops in any case.

    bool operator==(const leave &) const = default;
};

/// Answer to leave: the member may stop.
struct leave_answer
{
    std::uint64_t memberId = 0;
    bool isRemoved = false; ///< It is no voter any more; otherwise nobody can take its place.

    bool operator==(const leave_answer &) const = default;
};

/// Sent to the leader; see share_allocator.
struct share_request
{
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases; the holder ignores grants for earlier requests.
    std::uint64_t allocatorId = 0; ///< Id of the allocator that answered last; 0 for none.
    std::uint32_t current = 0; ///< Millionths of the limit that the host uses now.
    std::uint64_t demand = 0; ///< Recent demand, in any unit that is the same on all hosts.

    bool operator==(const share_request &) const = default;
};

struct share_grant
{
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint64_t allocatorId = 0; ///< Id of the allocator that answers.
    bool granted = false; ///< False: the share is unchanged; ask again.
    std::uint32_t share = 0; ///< Millionths of the limit.

    bool operator==(const share_grant &) const = default;
};

/// One step of a patch: copies a range of the earlier document, then appends a text.
struct patch_step
{
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string text;

    bool operator==(const patch_step &) const = default;
};

/// A document as its differences from an earlier one; see document_patch.h.
struct document_patch
{
    std::uint64_t baseRevision = 0; ///< Of the earlier document; 0 if there is no patch.
    std::uint64_t resultHash = 0;
    std::vector<patch_step> steps;

    bool operator==(const document_patch &) const = default;
};

/// Load that one host puts on one endpoint.
struct endpoint_load
{
    std::string incarnation; ///< Of the endpoint.
    std::uint32_t running = 0; ///< Requests in progress.
    /// Hosts that recently could not connect to this incarnation or found another one at its
    /// address.
    std::uint32_t lossReports = 0;
    std::uint64_t waitingTokens = 0; ///< Prompt tokens of requests without a first byte.

    bool operator==(const endpoint_load &) const = default;
};

/// An entry of the platform's list of endpoints.
struct listed_endpoint
{
    std::string incarnation; ///< Identifies one start of the endpoint.
    std::string service;
    std::string ip;
    std::uint16_t port = 0;
    std::string dataCentre;
    std::uint32_t slots = 0; ///< Requests that it runs concurrently.
    bool isLeaving = false;

    bool operator==(const listed_endpoint &) const = default;
};

/// The changes of the list of endpoints since a position.
struct endpoint_changes
{
    std::uint64_t epoch = 0; ///< 0: the sender has not read the list.
    std::uint64_t version = 0; ///< Position after these changes.
    std::uint64_t ageMilliseconds = 0; ///< Since the list was last read.
    bool isComplete = false; ///< A complete list, in compressedEntries, instead of changes.
    std::vector<listed_endpoint> entries;
    std::string compressedEntries; ///< Entries of a complete list; see endpoint_list_codec.h.
    std::vector<std::string> removed; ///< Incarnations.

    bool operator==(const endpoint_changes &) const = default;
};

/// The prompt of a request that an engine was not yet answering when it crashed; see
/// part_quarantine.h.
struct crash_suspect
{
    std::string incarnation; ///< Of the engine.
    std::vector<std::uint64_t> parts;
    std::uint64_t ageMilliseconds = 0; ///< Since the crash.

    bool operator==(const crash_suspect &) const = default;
};

/// A part of a prompt that an engine has answered.
struct part_answer
{
    std::uint64_t part = 0;
    std::uint64_t ageMilliseconds = 0;

    bool operator==(const part_answer &) const = default;
};

/// A part of a prompt that is taken to crash engines.
struct part_quarantine_notice
{
    std::uint64_t part = 0;
    std::uint64_t remainingMilliseconds = 0;
    std::uint32_t releases = 0;

    bool operator==(const part_quarantine_notice &) const = default;
};

/// Asks a control host to confirm that the configuration in force at the sender is the newest.
struct configuration_lease_request
{
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0; ///< In force at the sender.
    std::vector<endpoint_load> loads; ///< Of the sender.
    std::uint64_t listEpoch = 0; ///< Position in the list of endpoints; see endpoint_changes.
    std::uint64_t listVersion = 0;
    std::vector<crash_suspect> crashSuspects; ///< Not acknowledged by an answer yet.
    std::vector<part_answer> partAnswers; ///< To the inquiries of the last answer.
    /// In force at the sender; only for a receiver that may not know them.
    std::vector<part_quarantine_notice> quarantinedParts;

    bool operator==(const configuration_lease_request &) const = default;
};

/// Answer to configuration_lease_request; also sent unasked, with sequence 0, when a configuration
/// is accepted.
struct configuration_lease_answer
{
    std::uint64_t sequence = 0;
    /// The sender leads with a valid lease and `revision` is the newest accepted one.
    bool confirmed = false;
    std::uint64_t revision = 0;
    bool hasDocument = false;
    state::configuration configuration; ///< Set if hasDocument, but for the text of the document.
    document_patch patch; ///< The text, as its differences; if not set, it is in the next field.
    std::string compressedDocument; ///< See text_compression.h.
    std::string leader; ///< Host name; empty if unknown.
    std::vector<std::string> controlHosts;
    std::uint32_t hosts = 0; ///< Hosts that sent requests recently, including the receiver.
    std::vector<endpoint_load> loads; ///< Sums over all other hosts.
    endpoint_changes endpoints;
    /// Distinguishes the tables of crashes of this and earlier leaders; 0 if this is no answer of a
    /// leader.
    std::uint64_t quarantineEpoch = 0;
    std::vector<std::uint64_t> partInquiries; ///< Has an engine answered requests with these?
    std::vector<part_quarantine_notice> quarantinedParts; ///< All that are in force.
    /// Incarnations of engines that another host has lost. The receiver reports the loss of those
    /// that it cannot reach either.
    std::vector<std::string> enginesToCheck;

    bool operator==(const configuration_lease_answer &other) const
    {
        return sequence == other.sequence && confirmed == other.confirmed
            && revision == other.revision && hasDocument == other.hasDocument
            && configuration.revision == other.configuration.revision
            && configuration.document == other.configuration.document && patch == other.patch
            && compressedDocument == other.compressedDocument && leader == other.leader
            && controlHosts == other.controlHosts && hosts == other.hosts && loads == other.loads
            && endpoints == other.endpoints && quarantineEpoch == other.quarantineEpoch
            && partInquiries == other.partInquiries && quarantinedParts == other.quarantinedParts
            && enginesToCheck == other.enginesToCheck;
    }
};

/// Requests of one client account that endpoints began to run in one usage window, as one process
/// of an entry host has counted them so far.
struct usage_count
{
    std::uint64_t window = 0;
    std::string account;
    std::uint64_t count = 0;

    bool operator==(const usage_count &) const = default;
};

/// Work that one process of an entry host has sent to the engines of a service since its start.
struct service_demand
{
    std::string service;
    std::uint64_t requests = 0;
    std::uint64_t prefillTokens = 0; ///< Prompt tokens not expected in the cache of the engine.
    std::uint64_t outputTokens = 0;

    bool operator==(const service_demand &) const = default;
};

/// Sent by an entry host to the leader, only in deployments with duties.
struct duty_report
{
    std::uint64_t incarnation = 0; ///< Of the sender's process; its counts begin at 0.
    std::uint64_t sequence = 0; ///< Grows within the sender's incarnation.
    std::string dataCentre; ///< Of the sender.
    std::uint64_t wallMilliseconds = 0; ///< Time of day of the sender, since 1970.
    std::vector<usage_count> usage; ///< Changed since the last report that was answered.
    std::vector<service_demand> demand;

    bool operator==(const duty_report &) const = default;
};

/// An endpoint that leaves at a known time.
struct endpoint_leave
{
    std::string incarnation;
    std::uint64_t remainingMilliseconds = 0;

    bool operator==(const endpoint_leave &) const = default;
};

/// Answer of a confirmed leader to duty_report.
struct duty_report_answer
{
    std::uint64_t incarnation = 0; ///< Of the leader's process, which loses the counts if it ends.
    std::uint64_t sequence = 0; ///< Of the report.
    std::uint64_t fleetMilliseconds = 0; ///< True time since 1970; 0 if it is not known.
    std::vector<endpoint_leave> leaving;

    bool operator==(const duty_report_answer &) const = default;
};

using message = std::variant<hello, challenge, challenge_response, heartbeat, fragment,
                             raft_payload, propose, propose_result, subscribe, configuration_update,
                             gossip, status_request, status_report, join, share_request,
                             share_grant, configuration_lease_request, configuration_lease_answer,
                             leave, leave_answer, duty_report, duty_report_answer>;

} // namespace quetzalcleat::peer
