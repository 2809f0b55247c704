#include "LibPeer/configuration_distributor.h"

#include "LibPeer/document_patch.h"
#include "LibPeer/text_compression.h"

#include <algorithm>
#include <numeric>

namespace quetzalcleat::peer {

namespace {

/// A patch below this part of the document is smaller than the document in compressed form.
constexpr std::size_t smallPatchPart = 16;

} // namespace

void configuration_distributor::publish(const state::configuration &newest)
{
    if (!m_documents.empty() && m_documents.back().revision >= newest.revision)
        return;
    m_documents.push_back(newest);
    m_patches.clear();
    m_compressed.clear();
    const auto bytes = [this] {
        return std::accumulate(
            m_documents.begin(), m_documents.end(), std::size_t{0},
            [](std::size_t sum, const auto &entry) { return sum + entry.document.size(); });
    };
    while (m_documents.size() > 1
           && (m_documents.size() > maximumRetainedDocuments || bytes() > maximumRetainedBytes))
        m_documents.pop_front();
}

void configuration_distributor::answer(configuration_lease_answer &answer, const std::string &host,
                                       std::uint64_t revision, core::instant now)
{
    if (m_documents.empty())
        return;
    const auto newest = m_documents.back().revision;
    answer.revision = newest;
    auto &known = m_positions[host];
    if (revision != known.reported)
        known.unreportedSince = now;
    known.reported = revision;
    if (revision >= newest)
        return;
    // What was lost may be a patch that the host cannot read, so the complete document follows.
    const bool isLost
        = known.sent > revision && now - known.unreportedSince >= lossTimeoutOf(known);
    if (!isLost && known.sent == newest && isInTransit(known, now))
        return;
    send(answer, known, isLost ? 0 : revision, now);
}

bool configuration_distributor::push(configuration_lease_answer &answer, const std::string &host,
                                     core::instant now)
{
    if (m_documents.empty())
        return false;
    const auto newest = m_documents.back().revision;
    answer.revision = newest;
    auto &known = m_positions[host];
    if (std::max(known.reported, known.sent) >= newest)
        return false;
    // A configuration in transit arrives before this one, as both use the same connection, so the
    // patch can be based on it.
    return send(answer, known, isInTransit(known, now) ? known.sent : known.reported, now);
}

std::chrono::milliseconds configuration_distributor::lossTimeoutOf(const position &known)
{
    return std::max(lossTimeout,
                    std::chrono::milliseconds(2 * known.sentBytes / linkBytesPerMillisecond));
}

bool configuration_distributor::isInTransit(const position &known, core::instant now)
{
    return known.sent > known.reported && now - known.sentAt < lossTimeoutOf(known);
}

/// Whether the leader can keep one more complete document until it is sent.
bool configuration_distributor::hasRoom(core::instant now)
{
    std::size_t bytes = compressedDocument().size();
    for (const auto &[host, known] : m_positions)
        bytes += isInTransit(known, now) ? known.sentBytes : 0;
    return bytes <= maximumTransitBytes;
}

/// Base 0 stands for a host whose document is unknown or was lost. False if nothing can be sent
/// now.
bool configuration_distributor::send(configuration_lease_answer &answer, position &known,
                                     std::uint64_t base, core::instant now)
{
    const auto &newest = m_documents.back();
    const auto *patch = patchFrom(base);
    if (patch == nullptr && !hasRoom(now))
        return false;
    answer.hasDocument = true;
    answer.configuration.revision = newest.revision;
    answer.configuration.editId = newest.editId;
    answer.configuration.author = newest.author;
    if (patch != nullptr)
        answer.patch = *patch;
    else
        answer.compressedDocument = compressedDocument();
    // Later configurations do not extend the time in which the host has to report the first one.
    if (base == 0 || known.sent <= known.reported)
        known.unreportedSince = now;
    known.sent = newest.revision;
    known.sentAt = now;
    known.sentBytes = answer.compressedDocument.size();
    return true;
}

void configuration_distributor::retain(const std::vector<std::string> &hosts)
{
    std::erase_if(m_positions, [&](const auto &entry) {
        return std::find(hosts.begin(), hosts.end(), entry.first) == hosts.end();
    });
}

const document_patch *configuration_distributor::patchFrom(std::uint64_t base)
{
    const auto &newest = m_documents.back();
    auto found = m_patches.find(base);
    if (found == m_patches.end()) {
        const auto from = std::find_if(m_documents.begin(), m_documents.end(),
                                       [&](const auto &entry) { return entry.revision == base; });
        if (from == m_documents.end() || base == 0)
            return nullptr;
        auto patch = makePatch(from->document, newest.document);
        patch.baseRevision = base;
        found = m_patches.emplace(base, std::move(patch)).first;
    }
    const auto &patch = found->second;
    if (patch.steps.size() > maximumPatchSteps)
        return nullptr;
    // Compression takes time in proportion to the document, so it is not done for small patches.
    const auto bytes = patchBytes(patch);
    const bool isSmall
        = bytes < newest.document.size() / smallPatchPart || bytes < compressedDocument().size();
    return isSmall ? &patch : nullptr;
}

const std::string &configuration_distributor::compressedDocument()
{
    if (m_compressed.empty())
        m_compressed = compressText(m_documents.back().document);
    return m_compressed;
}

} // namespace quetzalcleat::peer
