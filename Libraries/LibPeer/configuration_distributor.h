#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"
#include "LibState/edits.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// Decides what a control host sends to each host of the newest configuration: what differs from
/// the one that the host has, the whole document, or nothing while it is on its way. Without this,
/// a large configuration that changes often fills the links to all hosts and the send queues of the
/// leader. Pure: time is passed in.
class configuration_distributor
{
public:
    /// Earlier documents that patches can start from.
    static constexpr std::size_t keptDocuments = 16;
    static constexpr std::size_t keptBytes = std::size_t{8} * 1024 * 1024;
    /// What was sent counts as lost after this time. A document of 500 KB takes 0.4 s on a link of
    /// 10 Mbit/s (the users' sheets); changes have to be in force after 2.5 s.
    static constexpr std::chrono::milliseconds lossTime{800};

    void publish(const state::configuration &newest);

    /// Fills in the revision and, if needed, the document for a host that has told `revision`.
    void answer(lease_answer &answer, const std::string &host, std::uint64_t revision,
                core::instant now);

    /// Fills in what brings a host up to date that has not asked. False if there is nothing to
    /// send.
    bool push(lease_answer &answer, const std::string &host, core::instant now);

    /// Forgets all other hosts.
    void retain(const std::vector<std::string> &hosts);

private:
    struct position
    {
        std::uint64_t told = 0; ///< In force at the host, as it told.
        std::uint64_t sent = 0;
        core::instant sentAt;
    };

    void fill(lease_answer &answer, std::uint64_t base);
    const document_patch *patchFrom(std::uint64_t base);

    std::deque<state::configuration> m_documents; ///< The newest one is the last one.
    std::map<std::string, position> m_positions;
    std::map<std::uint64_t, document_patch> m_patches; ///< To the newest, by revision.
};

} // namespace quetzalcleat::peer
