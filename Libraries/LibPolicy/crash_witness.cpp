#include "LibPolicy/crash_witness.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::policy {

namespace {

/// The newest entry stays in any case.
template <typename Entry, typename PartCount>
void dropOldest(std::deque<Entry> &entries, std::size_t maximumParts, PartCount &&partsOf)
{
    std::size_t parts = 0;
    for (const auto &entry : entries)
        parts += partsOf(entry);
    while (parts > maximumParts && entries.size() > 1) {
        parts -= partsOf(entries.front());
        entries.pop_front();
    }
}

} // namespace

void crash_witness::forgetOld(core::instant now)
{
    std::erase_if(m_broken, [&](const suspect_prompt &entry) {
        return now - entry.at > m_limits.confirmationTime;
    });
    std::erase_if(
        m_lost, [&](const auto &entry) { return now - entry.second > m_limits.confirmationTime; });
    while (!m_reports.empty() && now - m_reports.front().suspect.at > m_limits.retention)
        m_reports.pop_front();
}

void crash_witness::addReport(suspect_prompt suspect)
{
    m_reports.push_back({++m_lastNumber, std::move(suspect)});
    dropOldest(m_reports, m_limits.maximumParts,
               [](const report &entry) { return entry.suspect.parts.size(); });
}

void crash_witness::recordBroken(const std::string &incarnation, const std::vector<part_id> &parts,
                                 core::instant now)
{
    forgetOld(now);
    if (parts.empty())
        return;
    suspect_prompt suspect{incarnation, parts, now};
    if (m_lost.contains(incarnation)) {
        addReport(std::move(suspect));
        return;
    }
    m_broken.push_back(std::move(suspect));
    dropOldest(m_broken, m_limits.maximumParts,
               [](const suspect_prompt &entry) { return entry.parts.size(); });
}

void crash_witness::recordLost(const std::string &incarnation, core::instant now)
{
    forgetOld(now);
    m_lost[incarnation] = now;
    const auto others
        = std::stable_partition(m_broken.begin(), m_broken.end(), [&](const suspect_prompt &entry) {
              return entry.incarnation == incarnation;
          });
    for (auto entry = m_broken.begin(); entry != others; ++entry)
        addReport(std::move(*entry));
    m_broken.erase(m_broken.begin(), others);
}

void crash_witness::recordAnswered(const std::vector<part_id> &parts, core::instant now)
{
    for (const auto part : parts)
        m_answered[part] = now;
    if (m_answered.size() > m_limits.maximumAnswers)
        forgetOldestAnswers();
}

/// Half of them at once, so that not every request sorts the answers.
void crash_witness::forgetOldestAnswers()
{
    std::vector<core::instant> times;
    times.reserve(m_answered.size());
    for (const auto &[part, at] : m_answered)
        times.push_back(at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_answered, [&](const auto &entry) { return entry.second <= *middle; });
}

std::vector<crash_witness::report> crash_witness::reports(std::size_t maximumParts) const
{
    std::vector<report> result;
    std::size_t parts = 0;
    for (const auto &entry : m_reports) {
        if (entry.number <= m_acknowledged)
            continue;
        parts += entry.suspect.parts.size();
        if (parts > maximumParts && !result.empty())
            break;
        result.push_back(entry);
    }
    return result;
}

void crash_witness::acknowledge(std::uint64_t number)
{
    m_acknowledged = std::max(m_acknowledged, number);
}

std::vector<crash_witness::answered_part> crash_witness::answers() const
{
    std::vector<answered_part> result;
    const auto add = [&](part_id part) {
        const auto found = m_answered.find(part);
        if (found != m_answered.end())
            result.push_back({part, found->second});
    };
    for (const auto part : m_inquiries)
        add(part);
    for (const auto &[part, entry] : m_quarantined)
        add(part);
    return result;
}

bool crash_witness::setQuarantined(const std::vector<quarantined_part> &parts)
{
    auto former = std::exchange(m_quarantined, {});
    bool added = false;
    for (const auto &entry : parts) {
        m_quarantined[entry.part] = entry;
        added = added || !former.contains(entry.part);
    }
    return added;
}

std::vector<quarantined_part> crash_witness::quarantined(core::instant now) const
{
    std::vector<quarantined_part> result;
    for (const auto &[part, entry] : m_quarantined) {
        if (entry.until > now)
            result.push_back(entry);
    }
    return result;
}

std::optional<quarantined_part> crash_witness::findQuarantined(const std::vector<part_id> &parts,
                                                               core::instant now) const
{
    if (m_quarantined.empty())
        return std::nullopt;
    for (const auto part : parts) {
        const auto found = m_quarantined.find(part);
        if (found != m_quarantined.end() && found->second.until > now)
            return found->second;
    }
    return std::nullopt;
}

} // namespace quetzalcleat::policy
