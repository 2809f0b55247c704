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

/// The platform's list of endpoints as one host has read it, kept so that others can be told only
/// what has changed since they last asked. Pure: time is passed in.
class endpoint_catalogue
{
public:
    /// `epoch` tells catalogues of different processes apart.
    explicit endpoint_catalogue(std::uint64_t epoch) : m_epoch(epoch) { }

    /// Takes over a list that was read completely.
    void update(const std::vector<endpoint_entry> &list, core::instant now);

    /// Whether a host with this position needs the whole list.
    bool needsWhole(std::uint64_t epoch, std::uint64_t version) const;

    /// Fills in what a host with this position lacks, and the age of the list.
    void fill(endpoint_changes &changes, std::uint64_t epoch, std::uint64_t version,
              core::instant now) const;

private:
    const std::string &packedList() const;

    struct record
    {
        endpoint_entry entry;
        std::uint64_t changed = 0; ///< Version that last changed it.
        bool isRemoved = false;
    };

    std::uint64_t m_epoch;
    std::uint64_t m_version = 0;
    /// Hosts with an older version get the whole list, since removed entries are forgotten.
    std::uint64_t m_oldestKnown = 0;
    std::optional<core::instant> m_readAt;
    std::map<std::string, record> m_records; ///< By incarnation.
    mutable std::string m_packed; ///< The whole list, once a host has needed it.
    mutable std::uint64_t m_packedVersion = 0;
};

/// The other side of endpoint_catalogue.
class endpoint_replica
{
public:
    /// Returns whether anything changed.
    bool apply(const endpoint_changes &changes);

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t version() const { return m_version; }
    const std::map<std::string, endpoint_entry> &entries() const { return m_entries; }

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0;
    std::map<std::string, endpoint_entry> m_entries;
};

} // namespace quetzalcleat::peer
