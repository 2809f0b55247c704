#pragma once

#include "LibPeer/messages.h"

#include <tuple>
#include <type_traits>

/// The fields of each message in wire order. Any change requires a new frame version.
namespace quetzalcleat::peer::detail {

// clang-format off
constexpr auto fieldsOf(std::type_identity<hello>)
{ return std::tuple(&hello::cluster, &hello::host, &hello::expectedHost, &hello::incarnation, &hello::nonce); }
constexpr auto fieldsOf(std::type_identity<challenge>)
{ return std::tuple(&challenge::cluster, &challenge::host, &challenge::incarnation, &challenge::nonce, &challenge::proof); }
constexpr auto fieldsOf(std::type_identity<challenge_response>)
{ return std::tuple(&challenge_response::proof); }
constexpr auto fieldsOf(std::type_identity<heartbeat>)
{ return std::tuple(&heartbeat::sequence, &heartbeat::echo); }
constexpr auto fieldsOf(std::type_identity<fragment>)
{ return std::tuple(&fragment::totalBytes, &fragment::bytes); }
constexpr auto fieldsOf(std::type_identity<raft_payload>)
{ return std::tuple(&raft_payload::bytes); }
constexpr auto fieldsOf(std::type_identity<propose>)
{ return std::tuple(&propose::proposalId, &propose::forwarded, &propose::command); }
constexpr auto fieldsOf(std::type_identity<propose_result>)
{ return std::tuple(&propose_result::proposalId, &propose_result::outcome, &propose_result::error, &propose_result::kind, &propose_result::edit, &propose_result::claim, &propose_result::lease, &propose_result::order); }
constexpr auto fieldsOf(std::type_identity<state::edit_verdict>)
{ return std::tuple(&state::edit_verdict::kind, &state::edit_verdict::revision); }
constexpr auto fieldsOf(std::type_identity<state::stored_response>)
{ return std::tuple(&state::stored_response::status, &state::stored_response::contentType, &state::stored_response::body, &state::stored_response::truncated); }
constexpr auto fieldsOf(std::type_identity<state::claim_verdict>)
{ return std::tuple(&state::claim_verdict::kind, &state::claim_verdict::answer); }
constexpr auto fieldsOf(std::type_identity<state::control_lease_verdict>)
{ return std::tuple(&state::control_lease_verdict::granted, &state::control_lease_verdict::holder, &state::control_lease_verdict::holderIncarnation, &state::control_lease_verdict::fencing, &state::control_lease_verdict::remaining, &state::control_lease_verdict::waitBeforeUnfencedOrders); }
constexpr auto fieldsOf(std::type_identity<state::order_verdict>)
{ return std::tuple(&state::order_verdict::state, &state::order_verdict::alreadyKnown); }
constexpr auto fieldsOf(std::type_identity<subscribe>)
{ return std::tuple(&subscribe::revision, &subscribe::push); }
constexpr auto fieldsOf(std::type_identity<state::configuration>)
{ return std::tuple(&state::configuration::revision, &state::configuration::document, &state::configuration::editId, &state::configuration::author); }
constexpr auto fieldsOf(std::type_identity<configuration_update>)
{ return std::tuple(&configuration_update::configuration, &configuration_update::hasDocument, &configuration_update::confirmed, &configuration_update::leader); }
constexpr auto fieldsOf(std::type_identity<member_update>)
{ return std::tuple(&member_update::host, &member_update::state, &member_update::incarnation, &member_update::refutation, &member_update::revision); }
constexpr auto fieldsOf(std::type_identity<gossip>)
{ return std::tuple(&gossip::kind, &gossip::sequence, &gossip::target, &gossip::updates); }
constexpr auto fieldsOf(std::type_identity<status_request>)
{ return std::tuple(); }
constexpr auto fieldsOf(std::type_identity<host_report>)
{ return std::tuple(&host_report::host, &host_report::incarnation, &host_report::revision, &host_report::ageMilliseconds); }
constexpr auto fieldsOf(std::type_identity<status_report>)
{ return std::tuple(&status_report::hosts); }
constexpr auto fieldsOf(std::type_identity<share_request>)
{ return std::tuple(&share_request::host, &share_request::incarnation, &share_request::sequence, &share_request::allocatorId, &share_request::current, &share_request::demand); }
constexpr auto fieldsOf(std::type_identity<share_grant>)
{ return std::tuple(&share_grant::sequence, &share_grant::allocatorId, &share_grant::granted, &share_grant::share); }
constexpr auto fieldsOf(std::type_identity<patch_step>)
{ return std::tuple(&patch_step::offset, &patch_step::length, &patch_step::text); }
constexpr auto fieldsOf(std::type_identity<document_patch>)
{ return std::tuple(&document_patch::baseRevision, &document_patch::resultHash, &document_patch::steps); }
constexpr auto fieldsOf(std::type_identity<endpoint_load>)
{ return std::tuple(&endpoint_load::incarnation, &endpoint_load::running, &endpoint_load::lossReports, &endpoint_load::waitingTokens); }
constexpr auto fieldsOf(std::type_identity<listed_endpoint>)
{ return std::tuple(&listed_endpoint::incarnation, &listed_endpoint::service, &listed_endpoint::ip, &listed_endpoint::port, &listed_endpoint::dataCentre, &listed_endpoint::slots, &listed_endpoint::isLeaving); }
constexpr auto fieldsOf(std::type_identity<endpoint_changes>)
{ return std::tuple(&endpoint_changes::epoch, &endpoint_changes::version, &endpoint_changes::ageMilliseconds, &endpoint_changes::isComplete, &endpoint_changes::entries, &endpoint_changes::compressedEntries, &endpoint_changes::removed); }
constexpr auto fieldsOf(std::type_identity<crash_suspect>)
{ return std::tuple(&crash_suspect::incarnation, &crash_suspect::parts, &crash_suspect::ageMilliseconds); }
constexpr auto fieldsOf(std::type_identity<part_answer>)
{ return std::tuple(&part_answer::part, &part_answer::ageMilliseconds); }
constexpr auto fieldsOf(std::type_identity<part_quarantine_notice>)
{ return std::tuple(&part_quarantine_notice::part, &part_quarantine_notice::remainingMilliseconds, &part_quarantine_notice::releases); }
constexpr auto fieldsOf(std::type_identity<configuration_lease_request>)
{ return std::tuple(&configuration_lease_request::sequence, &configuration_lease_request::revision, &configuration_lease_request::loads, &configuration_lease_request::listEpoch, &configuration_lease_request::listVersion, &configuration_lease_request::crashSuspects, &configuration_lease_request::partAnswers, &configuration_lease_request::quarantinedParts); }
constexpr auto fieldsOf(std::type_identity<configuration_lease_answer>)
{ return std::tuple(&configuration_lease_answer::sequence, &configuration_lease_answer::confirmed, &configuration_lease_answer::revision, &configuration_lease_answer::hasDocument, &configuration_lease_answer::configuration, &configuration_lease_answer::patch, &configuration_lease_answer::compressedDocument, &configuration_lease_answer::leader, &configuration_lease_answer::controlHosts, &configuration_lease_answer::hosts, &configuration_lease_answer::loads, &configuration_lease_answer::endpoints, &configuration_lease_answer::quarantineEpoch, &configuration_lease_answer::partInquiries, &configuration_lease_answer::quarantinedParts, &configuration_lease_answer::enginesToCheck); }
constexpr auto fieldsOf(std::type_identity<join>)
{ return std::tuple(&join::memberId, &join::host); }
constexpr auto fieldsOf(std::type_identity<leave>)
{ return std::tuple(&leave::memberId, &leave::remaining); }
constexpr auto fieldsOf(std::type_identity<leave_answer>)
{ return std::tuple(&leave_answer::memberId, &leave_answer::isRemoved); }
constexpr auto fieldsOf(std::type_identity<usage_count>)
{ return std::tuple(&usage_count::window, &usage_count::account, &usage_count::count); }
constexpr auto fieldsOf(std::type_identity<service_demand>)
{ return std::tuple(&service_demand::service, &service_demand::requests, &service_demand::prefillTokens, &service_demand::outputTokens); }
constexpr auto fieldsOf(std::type_identity<duty_report>)
{ return std::tuple(&duty_report::incarnation, &duty_report::sequence, &duty_report::dataCentre, &duty_report::wallMilliseconds, &duty_report::usage, &duty_report::demand); }
constexpr auto fieldsOf(std::type_identity<endpoint_leave>)
{ return std::tuple(&endpoint_leave::incarnation, &endpoint_leave::remainingMilliseconds); }
constexpr auto fieldsOf(std::type_identity<duty_report_answer>)
{ return std::tuple(&duty_report_answer::incarnation, &duty_report_answer::sequence, &duty_report_answer::fleetMilliseconds, &duty_report_answer::leaving); }
// clang-format on

template <typename Message>
constexpr auto fields = fieldsOf(std::type_identity<Message>{});

template <typename Message>
constexpr std::size_t fieldCount
    = std::tuple_size_v<std::remove_const_t<decltype(fields<Message>)>>;

} // namespace quetzalcleat::peer::detail
