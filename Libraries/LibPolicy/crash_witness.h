#pragma once

#include "LibCore/time.h"
#include "LibPolicy/part_quarantine.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalcleat::policy {

struct crash_witness_limits
{
    /// Between the broken connection and the discovery that the engine no longer runs, either way.
    std::chrono::milliseconds confirmationTime{5000};
    /// Reports are remembered for this long, like crashes in part_quarantine.
    std::chrono::milliseconds retention = std::chrono::hours(24);
    /// Of the requests that wait for the discovery, and of the reports; the oldest ones are
    /// dropped.
    std::size_t maximumParts = 32'768;
    std::size_t maximumAnswers = 20'000;
};

/// What one host sees of parts of prompts that crash engines: in which crashes they were, and which
/// of them engines have answered. Keeps the parts that are quarantined by part_quarantine.
///
/// Does no I/O; time is passed in.
class crash_witness
{
public:
    /// A report with its number, which grows.
    struct report
    {
        std::uint64_t number = 0;
        suspect_prompt suspect;
    };

    struct answered_part
    {
        part_id part = 0;
        core::instant at;
    };

    explicit crash_witness(crash_witness_limits limits = {}) : m_limits(limits) { }

    /// The connection to an engine broke before it was answering the request with these parts, in
    /// the order of the prompt. Parts that no other request can have are left out.
    void recordBroken(const std::string &incarnation, const std::vector<part_id> &parts,
                      core::instant now);
    /// The engine no longer runs.
    void recordLost(const std::string &incarnation, core::instant now);
    /// An engine is answering a request with these parts.
    void recordAnswered(const std::vector<part_id> &parts, core::instant now);

    /// Reports that are not acknowledged, the oldest first. With more parts than the maximum only
    /// if the first one has more.
    std::vector<report> reports(std::size_t maximumParts) const;
    /// The reports up to this number have arrived.
    void acknowledge(std::uint64_t number);
    /// The receiver of the reports has changed and needs all of them.
    void reportAgain() { m_acknowledged = 0; }

    void setInquiries(std::vector<part_id> parts) { m_inquiries = std::move(parts); }
    /// When engines last answered requests with the parts that were asked for or are quarantined.
    std::vector<answered_part> answers() const;

    /// Replaces the quarantined parts. Returns whether any was added.
    bool setQuarantined(const std::vector<quarantined_part> &parts);
    std::vector<quarantined_part> quarantined(core::instant now) const;
    /// The quarantine of one of the parts, if any.
    std::optional<quarantined_part> findQuarantined(const std::vector<part_id> &parts,
                                                    core::instant now) const;

private:
    void addReport(suspect_prompt suspect);
    void forgetOld(core::instant now);
    void forgetOldestAnswers();

    crash_witness_limits m_limits;
    std::deque<suspect_prompt> m_broken; ///< Of engines that may still run.
    std::map<std::string, core::instant> m_lost; ///< Engines that ended recently.
    std::deque<report> m_reports;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_acknowledged = 0;
    std::unordered_map<part_id, core::instant> m_answered;
    std::vector<part_id> m_inquiries;
    std::map<part_id, quarantined_part> m_quarantined;
};

} // namespace quetzalcleat::policy
