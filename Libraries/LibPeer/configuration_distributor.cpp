#include "LibPeer/configuration_distributor.h"

#include "LibPeer/document_patch.h"

#include <algorithm>
#include <numeric>

namespace quetzalcleat::peer {

void configuration_distributor::publish(const state::configuration &newest)
{
    if (!m_documents.empty() && m_documents.back().revision >= newest.revision)
        return;
    m_documents.push_back(newest);
    m_patches.clear();
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
    known.reported = revision;
    const bool isInTransit = known.sent == newest && now - known.sentAt < lossTimeout;
    if (revision >= newest || isInTransit)
        return;
    fill(answer, revision);
    known.sent = newest;
    known.sentAt = now;
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
    const bool isInTransit = known.sent > known.reported && now - known.sentAt < lossTimeout;
    fill(answer, isInTransit ? known.sent : known.reported);
    known.sent = newest;
    known.sentAt = now;
    return true;
}

void configuration_distributor::retain(const std::vector<std::string> &hosts)
{
    std::erase_if(m_positions, [&](const auto &entry) {
        return std::find(hosts.begin(), hosts.end(), entry.first) == hosts.end();
    });
}

void configuration_distributor::fill(configuration_lease_answer &answer, std::uint64_t base)
{
    const auto &newest = m_documents.back();
    answer.hasDocument = true;
    answer.configuration.revision = newest.revision;
    answer.configuration.editId = newest.editId;
    answer.configuration.author = newest.author;
    if (const auto *patch = patchFrom(base))
        answer.patch = *patch;
    else
        answer.configuration.document = newest.document;
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
    return patchBytes(found->second) < newest.document.size() / 2 ? &found->second : nullptr;
}

} // namespace quetzalcleat::peer
