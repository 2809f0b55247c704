#pragma once

#include "LibCore/time.h"
#include "LibPolicy/part_id.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::policy {

/// The prompt of a request that an engine was not yet answering when it crashed.
struct suspect_prompt
{
    std::string incarnation; ///< Of the engine.
    /// In the order of the prompt. Parts that no other request can have are left out.
    std::vector<part_id> parts;
    core::instant at; ///< When the connection to the engine broke.
};

/// A part of a prompt that is taken to crash every engine; requests with it are not sent.
struct quarantined_part
{
    part_id part = 0;
    core::instant until;
    std::uint32_t releases = 0; ///< How often it was released before and crashed an engine again.
};

struct quarantine_limits
{
    /// Crashes of different engines, or of one at different times, with the same part.
    std::size_t minimumCrashes = 3;
    /// Hosts that have lost an engine before it counts as crashed. A single host may have lost only
    /// its own network path.
    std::size_t minimumReporters = 2;
    /// Reports that each host has the time for between the first inquiry for answers with a part
    /// and its quarantine. One of them may be lost.
    std::uint32_t inquiryReports = 2;
    /// Of an inquiry and a report, there and back between the most distant regions, on busy hosts.
    std::chrono::milliseconds inquiryTransit{200};
    /// A part that lacks one crash is asked for this long after its last one, so that parts which
    /// no caller sends any more do not fill all answers.
    std::chrono::milliseconds earlyInquiryTime{10'000};
    /// Hosts that are asked whether an engine still runs that one host has lost. Enough that one of
    /// them answers if others end at the same time.
    std::size_t maximumWitnesses = 3;
    /// Hosts are asked about a crash, and their losses of the engine confirm it, for this long. It
    /// may end for another reason later.
    std::chrono::milliseconds confirmationTime{10'000};
    /// Reports of one incarnation within this time are of the same crash; it starts again later.
    std::chrono::milliseconds crashSpan{2000};
    /// Losses of engines are remembered for this long, to confirm crashes that are reported later.
    std::chrono::milliseconds lossRetention{10'000};
    /// Crashes are remembered for this long, as requests with a part may be rare.
    std::chrono::milliseconds retention = std::chrono::hours(24);
    /// Of the first quarantine, from the last crash; doubled each time that the part crashes an
    /// engine again after its release.
    std::chrono::milliseconds quarantineTime{600'000};
    std::uint32_t maximumDoublings = 5;
    /// Between two decisions, which take time in proportion to the crashes and their parts. Without
    /// new reports and open inquiries there is nothing to decide.
    std::chrono::milliseconds updateInterval{200};
    std::size_t maximumLosses = 1024;
    std::size_t maximumCrashes = 128;
    /// Of all crashes together; the oldest ones are forgotten.
    std::size_t maximumCrashParts = 65'536;
    /// Parts that the hosts are asked about at the same time.
    std::size_t maximumInquiries = 512;
    std::size_t maximumRecords = 10'000; ///< Of parts that the hosts were asked about.
};

/// How hosts report to a part_quarantine.
struct report_conditions
{
    std::size_t hosts = 0;
    std::chrono::milliseconds interval{0}; ///< Between two reports of a host.
};

/// Finds the parts of prompts that crash engines, from what all hosts report.
///
/// Each crash has the parts of the requests that the engine was not yet answering. A part is
/// quarantined if it is in the most crashes since any host has seen an answer to a request with it.
/// These crashes then count for no other part. Of equal parts, the one that no answer is known of
/// comes first, then the one later in the prompt, which fewer other requests share.
///
/// A crash counts once two hosts have lost the engine, unless only one reports at all. While one
/// has, some others are asked whether it still runs, as they may have no requests of their own that
/// would show it.
///
/// Used on the host that all others report to. Does no I/O; time is passed in.
class part_quarantine
{
public:
    explicit part_quarantine(quarantine_limits limits = {}) : m_limits(limits) { }

    /// A host has found that an engine no longer runs.
    void recordLoss(const std::string &host, const std::string &incarnation, core::instant at);
    void recordSuspect(const std::string &host, const suspect_prompt &suspect);
    /// An engine was answering a request with this part.
    void recordAnswer(part_id part, core::instant at);
    /// What a host was told by another instance of this table.
    void adopt(const quarantined_part &entry, core::instant now);

    /// Decides again, if that is due.
    void update(const report_conditions &conditions, core::instant now);

    /// Parts of which the hosts are asked when they saw an answer to a request with them.
    std::vector<part_id> inquiries() const;
    /// Engines that a single other host has lost: this host is asked to find out whether they still
    /// run, and to report the loss of those that do not. To be called for each of its reports.
    std::vector<std::string> witnessInquiries(const std::string &host,
                                              const report_conditions &conditions,
                                              core::instant now);
    std::vector<quarantined_part> quarantined(core::instant now) const;

private:
    struct crash
    {
        std::string incarnation;
        core::instant at;
        std::set<std::string> reporters;
        std::map<std::string, core::instant> witnesses; ///< When each host was first asked.
        bool isConfirmed = false; ///< By enough hosts.
        std::unordered_map<part_id, std::uint32_t> parts; ///< With the number of parts before them.
        std::optional<part_id> cause; ///< The quarantined part that it is attributed to.
    };

    struct part_record
    {
        std::optional<core::instant> answeredAt;
        std::optional<core::instant> inquiredAt; ///< First inquiry since it became a candidate.
        core::instant lastChange;
    };

    struct quarantine_entry
    {
        core::instant since; ///< Crashes before an earlier release do not count.
        core::instant lastCrash;
        core::instant until;
        std::uint32_t releases = 0;
    };

    struct candidate
    {
        part_id part = 0;
        std::size_t crashes = 0;
        bool wasAnswered = false;
        std::uint32_t depth = 0;
        core::instant lastCrash;
    };

    crash &crashOf(const std::string &incarnation, core::instant at);
    void limitCrashParts();
    part_record &recordOf(part_id part, core::instant at);
    void confirmCrashes(bool hasSingleHost);
    bool countsFor(const crash &entry, part_id part) const;
    std::vector<candidate> candidates() const;
    void forgetOld(core::instant now);
    void releaseAnswered();
    void attribute(std::chrono::milliseconds answerTime, core::instant now);
    void chooseInquiries(const std::vector<candidate> &ordered, core::instant now);
    std::size_t requiredCrashes(part_id part) const;
    std::chrono::milliseconds lengthAfter(std::uint32_t releases) const;
    std::chrono::milliseconds inquiryTime(const report_conditions &conditions) const;

    quarantine_limits m_limits;
    /// When each host last found that an engine does not run, by incarnation.
    std::map<std::string, std::map<std::string, core::instant>> m_losses;
    std::vector<crash> m_crashes;
    std::map<part_id, part_record> m_parts;
    std::map<part_id, quarantine_entry> m_entries; ///< In force or released for a trial.
    std::set<part_id> m_inquiries;
    bool m_hasChanged = false; ///< Since the last attribution.
    std::optional<core::instant> m_updatedAt;
    std::optional<core::instant> m_othersReportedAt; ///< Last time that several hosts reported.
};

} // namespace quetzalcleat::policy
