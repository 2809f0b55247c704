#include "LibPeer/configuration_writer.h"

#include "LibCore/hash.h"
#include "LibState/command.h"

#include <chrono>
#include <utility>

namespace quetzalcleat::peer {

namespace {

/// A proposal without a result for this long is undecided. Longer than the 1 s after which
/// operators try another host, as they wait longer for large bodies; the next write waits for the
/// result too.
constexpr std::chrono::milliseconds proposalTimeout{3000};
constexpr int maximumAttempts = 8;
constexpr std::size_t maximumPendingWrites = 64;

std::string asText(const std::vector<std::byte> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string newEditId()
{
    return "write-" + std::to_string(core::hash64(core::secureRandomBytes(16)));
}

} // namespace

configuration_writer::configuration_writer(std::shared_ptr<peer_network> network,
                                           std::shared_ptr<control_service> service,
                                           std::size_t minimumVoters, version_reader versionOf)
    : m_network(std::move(network)), m_service(std::move(service)), m_minimumVoters(minimumVoters),
      m_versionOf(std::move(versionOf)), m_timer(m_network->context())
{
}

std::shared_ptr<configuration_writer>
configuration_writer::create(std::shared_ptr<peer_network> network,
                             std::shared_ptr<control_service> service, std::size_t minimumVoters,
                             version_reader versionOf)
{
    std::shared_ptr<configuration_writer> self(new configuration_writer(
        std::move(network), std::move(service), minimumVoters, std::move(versionOf)));
    const std::weak_ptr<configuration_writer> weak = self;
    self->m_network->addReceiver([weak](const std::string &host, const message &content) {
        const auto *result = std::get_if<propose_result>(&content);
        const auto writer = weak.lock();
        if (result != nullptr && writer && host == writer->m_network->host())
            writer->handleResult(*result);
    });
    return self;
}

void configuration_writer::write(std::string document, std::uint64_t version, handler done)
{
    if (m_stopped || m_writes.size() >= maximumPendingWrites) {
        done(write_outcome::Undecided);
        return;
    }
    m_writes.push_back({std::move(document), version, std::move(done), 0});
    if (m_writes.size() == 1)
        startNextWrite();
}

void configuration_writer::stop()
{
    m_stopped = true;
    m_timer.cancel();
    const auto writes = std::exchange(m_writes, {});
    for (const auto &entry : writes)
        entry.done(write_outcome::Undecided);
}

void configuration_writer::startNextWrite()
{
    if (m_stopped || m_writes.empty())
        return;
    auto &current = m_writes.front();
    const auto newest = m_service->confirmedConfiguration();
    if (!newest) {
        const auto leader = m_service->leaderHost();
        const bool elsewhere = !leader.empty() && leader != m_network->host();
        finish(elsewhere ? write_outcome::NotLeader : write_outcome::Undecided);
        return;
    }
    if (newest->revision != m_knownRevision) {
        m_knownVersion = m_versionOf(newest->document);
        m_knownRevision = newest->revision;
    }
    if (newest->revision != 0 && current.version <= m_knownVersion) {
        finish(write_outcome::NotNewer);
        return;
    }
    // With fewer copies, an accepted change could be lost with the disks that may fail together.
    if (m_service->voterHosts().size() < m_minimumVoters || ++current.attempts > maximumAttempts) {
        finish(write_outcome::Undecided);
        return;
    }
    state::command command;
    command.body = state::apply_edit{
        {newEditId(), newest->revision, current.document, m_network->host()}, {}};
    m_isWaiting = true;
    ++m_proposalId;
    const auto sent = m_network->send(
        m_network->host(), propose{m_proposalId, false, asText(state::encodeCommand(command))});
    if (!sent) {
        finish(write_outcome::Undecided);
        return;
    }
    m_timer.expires_after(proposalTimeout);
    m_timer.async_wait([self = shared_from_this(), id = m_proposalId](std::error_code error) {
        if (!error && self->m_isWaiting && self->m_proposalId == id)
            self->finish(write_outcome::Undecided);
    });
}

void configuration_writer::handleResult(const propose_result &result)
{
    if (!m_isWaiting || result.proposalId != m_proposalId)
        return;
    m_isWaiting = false;
    m_timer.cancel();
    if (result.outcome != propose_outcome::Committed || result.kind != verdict_kind::Edit
        || result.edit.kind == state::edit_verdict_kind::EditIdReused) {
        finish(write_outcome::Undecided);
        return;
    }
    if (result.edit.kind == state::edit_verdict_kind::Conflict)
        startNextWrite();
    else
        finish(write_outcome::Accepted);
}

void configuration_writer::finish(write_outcome outcome)
{
    m_isWaiting = false;
    m_timer.cancel();
    if (m_writes.empty())
        return;
    const auto done = std::move(m_writes.front().done);
    m_writes.pop_front();
    done(outcome);
    // Posted instead of called, since many writes may end at once and would recurse.
    asio::post(m_network->context(), [self = shared_from_this()] {
        if (!self->m_isWaiting)
            self->startNextWrite();
    });
}

} // namespace quetzalcleat::peer
