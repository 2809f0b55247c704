#pragma once

#include "LibCore/time.h"
#include "LibPeer/messages.h"
#include "LibPolicy/crash_witness.h"
#include "LibPolicy/part_quarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace quetzalcleat::peer {

/// Carries what a host has seen of crashes of engines to the leader, in its requests for a lease,
/// and the quarantined parts back. A new leader gets all reports again. Does no I/O; time is passed
/// in.
class crash_reporter
{
public:
    /// Suspect parts in one request; the rest follows in the next ones.
    static constexpr std::size_t maximumSuspects = 4096;

    explicit crash_reporter(policy::crash_witness &witness) : m_witness(witness) { }

    void addTo(configuration_lease_request &request, core::instant now);
    /// Returns whether a part was quarantined.
    bool read(const std::string &leader, const configuration_lease_answer &answer,
              core::instant now);

private:
    policy::crash_witness &m_witness;
    std::string m_leader;
    std::uint64_t m_epoch = 0; ///< Of the leader's table; 0 before the first answer.
    bool m_mustTellQuarantine = false; ///< The leader may not know what is quarantined here.
    std::optional<std::uint64_t> m_toldQuarantine; ///< Sequence of the first request that does.
    std::map<std::uint64_t, std::uint64_t> m_sent; ///< Last report in each request, by sequence.
};

/// The leader's side: enters what a request reports into the table.
void recordCrashes(policy::part_quarantine &quarantine, const std::string &host,
                   const configuration_lease_request &request, core::instant now);
/// Decides again, if that is due, and fills in what is quarantined and the inquiries to the host.
void addQuarantine(configuration_lease_answer &answer, policy::part_quarantine &quarantine,
                   const std::string &host, const policy::report_conditions &conditions,
                   std::uint64_t epoch, core::instant now);

} // namespace quetzalcleat::peer
