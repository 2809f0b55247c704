#include "LibPolicy/part_quarantine.h"

#include <algorithm>
#include <tuple>

namespace quetzalcleat::policy {

part_quarantine::crash &part_quarantine::crashOf(const std::string &incarnation, core::instant at)
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const crash &entry) {
        return entry.incarnation == incarnation && at - entry.at < m_limits.crashSpan
            && entry.at - at < m_limits.crashSpan;
    });
    if (found != m_crashes.end())
        return *found;
    if (m_crashes.size() >= m_limits.maximumCrashes)
        m_crashes.erase(
            std::min_element(m_crashes.begin(), m_crashes.end(),
                             [](const crash &a, const crash &b) { return a.at < b.at; }));
    m_crashes.push_back({incarnation, at, {}, {}, false, {}, {}});
    m_hasChanged = true;
    return m_crashes.back();
}

void part_quarantine::limitCrashParts()
{
    const auto isOlder = [](const crash &a, const crash &b) { return a.at < b.at; };
    std::size_t parts = 0;
    for (const auto &entry : m_crashes)
        parts += entry.parts.size();
    while (parts > m_limits.maximumCrashParts && m_crashes.size() > 1) {
        const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), isOlder);
        parts -= oldest->parts.size();
        m_crashes.erase(oldest);
    }
}

part_quarantine::part_record &part_quarantine::recordOf(part_id part, core::instant at)
{
    if (m_parts.size() >= m_limits.maximumRecords && !m_parts.contains(part))
        m_parts.erase(
            std::min_element(m_parts.begin(), m_parts.end(), [](const auto &a, const auto &b) {
                return a.second.lastChange < b.second.lastChange;
            }));
    auto &record = m_parts[part];
    record.lastChange = std::max(record.lastChange, at);
    return record;
}

void part_quarantine::recordLoss(const std::string &host, const std::string &incarnation,
                                 core::instant at)
{
    if (m_losses.size() >= m_limits.maximumLosses && !m_losses.contains(incarnation))
        return;
    m_losses[incarnation][host] = at;
}

void part_quarantine::recordSuspect(const std::string &host, const suspect_prompt &suspect)
{
    auto &entry = crashOf(suspect.incarnation, suspect.at);
    entry.reporters.insert(host);
    std::uint32_t before = 0;
    for (const auto part : suspect.parts) {
        auto &depth = entry.parts[part];
        depth = std::max(depth, before++);
    }
    m_hasChanged = true;
    limitCrashParts();
}

void part_quarantine::recordAnswer(part_id part, core::instant at)
{
    auto &record = recordOf(part, at);
    if (record.answeredAt && *record.answeredAt >= at)
        return;
    record.answeredAt = at;
    m_hasChanged = true;
}

void part_quarantine::adopt(const quarantined_part &entry, core::instant now)
{
    if (entry.until <= now)
        return;
    m_hasChanged = true;
    auto &known = m_entries[entry.part];
    known.until = std::max(known.until, entry.until);
    known.releases = std::max(known.releases, entry.releases);
    known.lastCrash = std::max(known.lastCrash, entry.until - lengthAfter(entry.releases));
}

std::chrono::milliseconds part_quarantine::lengthAfter(std::uint32_t releases) const
{
    return m_limits.quarantineTime * (1 << std::min(releases, m_limits.maximumDoublings));
}

void part_quarantine::confirmCrashes(bool hasSingleHost)
{
    for (auto &entry : m_crashes) {
        if (entry.isConfirmed)
            continue;
        // A single host cannot be confirmed by others, but could be as long as there were others.
        const bool canBeConfirmed = !hasSingleHost || entry.at < m_othersReportedAt;
        const auto required = canBeConfirmed ? m_limits.minimumReporters : std::size_t{1};
        const auto losses = m_losses.find(entry.incarnation);
        if (losses != m_losses.end()) {
            for (const auto &[host, at] : losses->second) {
                if (at > entry.at - m_limits.crashSpan && at < entry.at + m_limits.confirmationTime)
                    entry.reporters.insert(host);
            }
        }
        entry.isConfirmed = entry.reporters.size() >= required;
        m_hasChanged = m_hasChanged || entry.isConfirmed;
    }
}

bool part_quarantine::countsFor(const crash &entry, part_id part) const
{
    if (!entry.parts.contains(part))
        return false;
    const auto record = m_parts.find(part);
    if (record != m_parts.end() && record->second.answeredAt
        && *record->second.answeredAt > entry.at)
        return false;
    const auto known = m_entries.find(part);
    return known == m_entries.end() || entry.at >= known->second.since;
}

/// The parts of the crashes that are attributed to no part yet, if they lack one crash at most.
std::vector<part_quarantine::candidate> part_quarantine::candidates() const
{
    std::unordered_map<part_id, candidate> found;
    for (const auto &entry : m_crashes) {
        if (entry.cause || !entry.isConfirmed)
            continue;
        for (const auto &[part, depth] : entry.parts) {
            if (!countsFor(entry, part))
                continue;
            auto &known = found[part];
            known.part = part;
            ++known.crashes;
            known.depth = std::max(known.depth, depth);
            known.lastCrash = std::max(known.lastCrash, entry.at);
        }
    }
    std::vector<candidate> result;
    for (auto &[part, known] : found) {
        if (known.crashes + 1 < requiredCrashes(part))
            continue;
        const auto record = m_parts.find(part);
        known.wasAnswered = record != m_parts.end() && record->second.answeredAt.has_value();
        result.push_back(known);
    }
    std::sort(result.begin(), result.end(), [](const candidate &a, const candidate &b) {
        return std::tuple(b.crashes, a.wasAnswered, b.depth, a.part)
            < std::tuple(a.crashes, b.wasAnswered, a.depth, b.part);
    });
    return result;
}

void part_quarantine::forgetOld(core::instant now)
{
    for (auto &[incarnation, hosts] : m_losses)
        std::erase_if(
            hosts, [&](const auto &entry) { return now - entry.second > m_limits.lossRetention; });
    std::erase_if(m_losses, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(m_crashes,
                  [&](const crash &entry) { return now - entry.at > m_limits.retention; });
    std::erase_if(m_parts, [&](const auto &entry) {
        return now - entry.second.lastChange > m_limits.retention;
    });
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto &[part, known] = *entry;
        // After the release, one crash is enough. A part that crashes nothing is forgotten.
        if (now - known.until > std::max(lengthAfter(known.releases), m_limits.retention)) {
            entry = m_entries.erase(entry);
            m_hasChanged = true;
            continue;
        }
        if (known.until <= now && known.since < known.until) {
            known.since = known.until;
            ++known.releases;
            m_hasChanged = true;
        }
        ++entry;
    }
}

void part_quarantine::releaseAnswered()
{
    std::erase_if(m_entries, [&](const auto &entry) {
        const auto record = m_parts.find(entry.first);
        return record != m_parts.end() && record->second.answeredAt
            && *record->second.answeredAt > entry.second.lastCrash;
    });
}

std::size_t part_quarantine::requiredCrashes(part_id part) const
{
    const auto known = m_entries.find(part);
    return known != m_entries.end() && known->second.releases > 0 ? 1 : m_limits.minimumCrashes;
}

void part_quarantine::attribute(std::chrono::milliseconds answerTime, core::instant now)
{
    // Attributed again from the start, as a later crash may show that another part is the cause.
    std::set<part_id> causes;
    for (auto &entry : m_crashes)
        entry.cause.reset();
    const auto explain = [&](part_id part) {
        causes.insert(part);
        for (auto &entry : m_crashes) {
            if (!entry.cause && entry.parts.contains(part))
                entry.cause = part;
        }
    };
    for (;;) {
        const auto ordered = candidates();
        chooseInquiries(ordered, now);
        const auto due = std::find_if(ordered.begin(), ordered.end(), [&](const candidate &entry) {
            return entry.crashes >= requiredCrashes(entry.part);
        });
        if (due == ordered.end())
            break;
        auto &record = recordOf(due->part, due->lastCrash);
        const auto known = m_entries.find(due->part);
        const bool isInForce = known != m_entries.end() && known->second.until > now;
        if (!isInForce && (!record.inquiredAt || now - *record.inquiredAt < answerTime))
            break;
        auto &entry = m_entries[due->part];
        entry.lastCrash = std::max(entry.lastCrash, due->lastCrash);
        entry.until = std::max(entry.until, due->lastCrash + lengthAfter(entry.releases));
        explain(due->part);
    }
    // Those whose crashes are all attributed to another part were quarantined in error.
    std::erase_if(m_entries, [&](const auto &known) {
        if (causes.contains(known.first) || known.second.until <= now)
            return false;
        bool isInCrash = false;
        for (const auto &entry : m_crashes) {
            if (!countsFor(entry, known.first))
                continue;
            isInCrash = true;
            if (!entry.cause)
                return false;
        }
        return isInCrash;
    });
    for (auto &[part, record] : m_parts) {
        if (!m_inquiries.contains(part))
            record.inquiredAt.reset();
    }
    for (const auto part : m_inquiries) {
        auto &record = recordOf(part, now);
        record.inquiredAt = record.inquiredAt.value_or(now);
    }
}

/// Those that lack no crash come first. One crash less is enough to ask, so that the answers are
/// known by the next crash.
void part_quarantine::chooseInquiries(const std::vector<candidate> &ordered, core::instant now)
{
    m_inquiries.clear();
    const auto addIf = [&](auto &&condition) {
        for (const auto &entry : ordered) {
            if (m_inquiries.size() >= m_limits.maximumInquiries)
                return;
            if (condition(entry))
                m_inquiries.insert(entry.part);
        }
    };
    addIf([&](const candidate &entry) { return entry.crashes >= requiredCrashes(entry.part); });
    addIf([&](const candidate &entry) {
        return entry.crashes + 1 == requiredCrashes(entry.part)
            && now - entry.lastCrash < m_limits.earlyInquiryTime;
    });
}

void part_quarantine::update(const report_conditions &conditions, core::instant now)
{
    if (m_updatedAt && now - *m_updatedAt < m_limits.updateInterval)
        return;
    m_updatedAt = now;
    // At first, others may not have reported yet: hosts may have just begun to report here.
    if (!m_othersReportedAt || conditions.hosts > 1)
        m_othersReportedAt = now;
    forgetOld(now);
    confirmCrashes(now - *m_othersReportedAt >= inquiryTime(conditions));
    releaseAnswered();
    if (m_hasChanged || !m_inquiries.empty())
        attribute(inquiryTime(conditions), now);
    m_hasChanged = false;
}

/// Time in which each host is asked and answers.
std::chrono::milliseconds part_quarantine::inquiryTime(const report_conditions &conditions) const
{
    return conditions.interval * m_limits.inquiryReports + m_limits.inquiryTransit;
}

std::vector<std::string> part_quarantine::witnessInquiries(const std::string &host,
                                                           const report_conditions &conditions,
                                                           core::instant now)
{
    std::vector<std::string> engines;
    for (auto &entry : m_crashes) {
        if (entry.isConfirmed || entry.reporters.contains(host)
            || now - entry.at > m_limits.confirmationTime)
            continue;
        auto asked = entry.witnesses.find(host);
        if (asked == entry.witnesses.end()) {
            if (entry.witnesses.size() >= m_limits.maximumWitnesses)
                continue;
            asked = entry.witnesses.emplace(host, now).first;
        }
        // Asked more than once, as an answer may be lost.
        if (now - asked->second < inquiryTime(conditions))
            engines.push_back(entry.incarnation);
    }
    return engines;
}

std::vector<part_id> part_quarantine::inquiries() const
{
    return {m_inquiries.begin(), m_inquiries.end()};
}

std::vector<quarantined_part> part_quarantine::quarantined(core::instant now) const
{
    std::vector<quarantined_part> result;
    for (const auto &[part, entry] : m_entries) {
        if (entry.until > now)
            result.push_back({part, entry.until, entry.releases});
    }
    return result;
}

} // namespace quetzalcleat::policy
