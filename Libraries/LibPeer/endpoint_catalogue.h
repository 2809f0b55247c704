#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace quetzalcleat::peer {

/// The platform's list of endpoints as read by one host. Keeps versions, so that other hosts get
/// only the changes since they last asked. Does no I/O; time is passed in.
class endpoint_catalogue
{
public:
    /// `epoch` distinguishes the catalogues of different processes.
    explicit endpoint_catalogue(std::uint64_t epoch) : m_epoch(epoch) { }

    /// Replaces the contents by a list that was read completely. The read began at `readAt`.
    void update(const std::vector<listed_endpoint> &list, core::instant readAt);

    /// Whether a host at this position needs the complete list.
    bool needsCompleteList(std::uint64_t epoch, std::uint64_t version) const;

    /// Fills in the changes since this position, or the complete list, and the age of the list.
    void fill(endpoint_changes &changes, std::uint64_t epoch, std::uint64_t version,
              core::instant now) const;

private:
    const std::string &compressedList() const;

    struct record
    {
        listed_endpoint entry;
        std::uint64_t changed = 0; ///< Version that last changed it.
        bool isRemoved = false;
    };

    std::uint64_t m_epoch;
    std::uint64_t m_version = 0;
    /// Hosts with an older version get the complete list, as earlier removals are not kept.
    std::uint64_t m_oldestTrackedVersion = 0;
    std::optional<core::instant> m_readAt;
    std::map<std::string, record> m_records; ///< By incarnation.
    mutable std::string m_compressed; ///< The complete list, made when a host first needs it.
    mutable std::uint64_t m_compressedVersion = 0;
};

/// A host's copy of the list, updated from the changes that endpoint_catalogue fills in.
class endpoint_replica
{
public:
    /// The changes came in the answer to a request that was sent at `requestedAt`. Returns whether
    /// anything changed.
    bool apply(const endpoint_changes &changes, core::instant requestedAt);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    /// The control host began to read the list then, or later. The age in an answer counts from the
    /// arrival of the request at the earliest; how long the answer waited on its way is unknown.
    std::optional<core::instant> readAt() const { return m_readAt; }
    const std::map<std::string, listed_endpoint> &entries() const { return m_entries; }

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::optional<core::instant> m_readAt;
    std::map<std::string, listed_endpoint> m_entries;
};

} // namespace quetzalcleat::peer
