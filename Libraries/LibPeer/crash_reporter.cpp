#include "LibPeer/crash_reporter.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace quetzalcleat::peer {

namespace {

/// Requests whose answers may still acknowledge reports.
constexpr std::size_t maximumOpenRequests = 64;
/// Ages and remaining times from other hosts are cut to this.
constexpr std::uint64_t maximumMilliseconds = std::uint64_t{30} * 24 * 3600 * 1000;

std::uint64_t milliseconds(core::instant::duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

std::chrono::milliseconds bounded(std::uint64_t count)
{
    return std::chrono::milliseconds(std::min(count, maximumMilliseconds));
}

std::vector<part_quarantine_notice> noticesOf(const std::vector<policy::quarantined_part> &parts,
                                              core::instant now)
{
    std::vector<part_quarantine_notice> notices;
    notices.reserve(parts.size());
    for (const auto &entry : parts)
        notices.push_back({entry.part, milliseconds(entry.until - now), entry.releases});
    return notices;
}

std::vector<policy::quarantined_part> partsOf(const std::vector<part_quarantine_notice> &notices,
                                              core::instant now)
{
    std::vector<policy::quarantined_part> parts;
    parts.reserve(notices.size());
    for (const auto &notice : notices)
        parts.push_back(
            {notice.part, now + bounded(notice.remainingMilliseconds), notice.releases});
    return parts;
}

} // namespace

void crash_reporter::addTo(configuration_lease_request &request, core::instant now)
{
    const auto reports = m_witness.reports(maximumSuspects);
    for (const auto &[number, suspect] : reports)
        request.crashSuspects.push_back(
            {suspect.incarnation, suspect.parts, milliseconds(now - suspect.at)});
    if (!reports.empty()) {
        m_sent[request.sequence] = reports.back().number;
        if (m_sent.size() > maximumOpenRequests)
            m_sent.erase(m_sent.begin());
    }
    for (const auto &[part, at] : m_witness.answers())
        request.partAnswers.push_back({part, milliseconds(now - at)});
    if (m_mustTellQuarantine) {
        request.quarantinedParts = noticesOf(m_witness.quarantined(now), now);
        m_toldQuarantine = m_toldQuarantine.value_or(request.sequence);
    }
}

bool crash_reporter::read(const std::string &leader, const configuration_lease_answer &answer,
                          core::instant now)
{
    if (answer.quarantineEpoch == 0)
        return false;
    if (leader != m_leader || answer.quarantineEpoch != m_epoch) {
        m_leader = leader;
        m_epoch = answer.quarantineEpoch;
        m_sent.clear();
        m_witness.reportAgain();
        m_mustTellQuarantine = !m_witness.quarantined(now).empty();
        m_toldQuarantine.reset();
    }
    if (m_mustTellQuarantine) {
        if (!m_toldQuarantine || answer.sequence < *m_toldQuarantine)
            return false;
        m_mustTellQuarantine = false;
    }
    if (const auto sent = m_sent.find(answer.sequence); sent != m_sent.end()) {
        m_witness.acknowledge(sent->second);
        m_sent.erase(m_sent.begin(), std::next(sent));
    }
    m_witness.setInquiries(answer.partInquiries);
    return m_witness.setQuarantined(partsOf(answer.quarantinedParts, now));
}

void recordCrashes(policy::part_quarantine &quarantine, const std::string &host,
                   const configuration_lease_request &request, core::instant now)
{
    for (const auto &load : request.loads) {
        if (load.lossReports > 0)
            quarantine.recordLoss(host, load.incarnation, now);
    }
    for (const auto &suspect : request.crashSuspects)
        quarantine.recordSuspect(
            host, {suspect.incarnation, suspect.parts, now - bounded(suspect.ageMilliseconds)});
    for (const auto &answered : request.partAnswers)
        quarantine.recordAnswer(answered.part, now - bounded(answered.ageMilliseconds));
    for (const auto &known : partsOf(request.quarantinedParts, now))
        quarantine.adopt(known, now);
}

void addQuarantine(configuration_lease_answer &answer, policy::part_quarantine &quarantine,
                   const std::string &host, const policy::report_conditions &conditions,
                   std::uint64_t epoch, core::instant now)
{
    quarantine.update(conditions, now);
    answer.quarantineEpoch = epoch;
    answer.partInquiries = quarantine.inquiries();
    answer.quarantinedParts = noticesOf(quarantine.quarantined(now), now);
    answer.enginesToCheck = quarantine.witnessInquiries(host, conditions, now);
}

} // namespace quetzalcleat::peer
