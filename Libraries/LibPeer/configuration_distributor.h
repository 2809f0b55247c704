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

/// Decides how a control host sends the newest configuration to each host: as a patch to the one
/// that the host has, as the complete document in compressed form, or not at all while it is in
/// transit. Without this, a large configuration, or one that changes often, fills the links to all
/// hosts and the send queues of the leader. Does no I/O; time is passed in.
class configuration_distributor
{
public:
    /// Bounds of the documents that are retained as bases of patches.
    static constexpr std::size_t maximumRetainedDocuments = 16;
    static constexpr std::size_t maximumRetainedBytes = std::size_t{8} * 1024 * 1024;
    /// A patch with more steps is not sent. Not above the maximumListLength of earlier versions.
    static constexpr std::size_t maximumPatchSteps = 4096;
    /// A configuration counts as lost if the host has not reported it this long after it was sent.
    /// Longer than the 0.4 s that 400 KB take over a link of 7.5 Mbit/s, the slowest known one, and
    /// short enough to send a lost configuration again before it has to be in force, after 2.5 s.
    /// For a larger one it is twice the time that such a link needs.
    static constexpr std::chrono::milliseconds lossTimeout{800};
    static constexpr std::size_t linkBytesPerMillisecond = 937;
    /// Bound of the compressed documents in transit, which wait in the memory of the leader.
    /// Further hosts get theirs with a later request.
    static constexpr std::size_t maximumTransitBytes = std::size_t{64} * 1024 * 1024;

    void publish(const state::configuration &newest);

    /// Fills in the revision and, if needed, the document for a host that has reported `revision`.
    void answer(configuration_lease_answer &answer, const std::string &host, std::uint64_t revision,
                core::instant now);

    /// Fills in the newest configuration for a host that has not asked for it. False if there is
    /// nothing to send.
    bool push(configuration_lease_answer &answer, const std::string &host, core::instant now);

    /// Forgets all other hosts.
    void retain(const std::vector<std::string> &hosts);

private:
    struct position
    {
        std::uint64_t reported = 0; ///< In force at the host, by its last report.
        std::uint64_t sent = 0;
        core::instant sentAt;
        std::size_t sentBytes = 0; ///< Of its compressed document; 0 if it was a patch.
        /// Of the first one that was sent after the one in `reported`, or of its report.
        core::instant unreportedSince;
    };

    static std::chrono::milliseconds lossTimeoutOf(const position &known);
    static bool isInTransit(const position &known, core::instant now);
    bool hasRoom(core::instant now);
    bool send(configuration_lease_answer &answer, position &known, std::uint64_t base,
              core::instant now);
    const document_patch *patchFrom(std::uint64_t base);
    const std::string &compressedDocument();

    std::deque<state::configuration> m_documents; ///< The newest one last.
    std::map<std::string, position> m_positions;
    std::map<std::uint64_t, document_patch> m_patches; ///< To the newest, by revision.
    std::string m_compressed; ///< The newest document; empty until a host needs it.
};

} // namespace quetzalcleat::peer
