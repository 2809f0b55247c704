#include "LibPolicy/crash_witness.h"

#include <algorithm>
#include <utility>

namespace quetzalcleat::policy {

void crash_witness::forgetOld(core::instant now)
{
    std::erase_if(m_broken, [&](const suspect_part &entry) {
        return now - entry.at > m_limits.confirmationTime;
    });
    std::erase_if(
        m_lost, [&](const auto &entry) { return now - entry.second > m_limits.confirmationTime; });
    while (!m_reports.empty() && now - m_reports.front().suspect.at > m_limits.retention)
        m_reports.pop_front();
}

void crash_witness::addReport(suspect_part suspect)
{
    if (m_reports.size() >= m_limits.maximumReports)
        m_reports.pop_front();
    m_reports.push_back({++m_lastNumber, std::move(suspect)});
}

void crash_witness::recordBroken(const std::string &incarnation, const std::vector<part_id> &parts,
                                 core::instant now)
{
    forgetOld(now);
    const bool isLost = m_lost.contains(incarnation);
    for (std::size_t depth = 0; depth < parts.size(); ++depth) {
        suspect_part suspect{incarnation, parts[depth], static_cast<std::uint32_t>(depth), now};
        if (isLost) {
            addReport(std::move(suspect));
            continue;
        }
        if (m_broken.size() >= m_limits.maximumBroken)
            m_broken.pop_front();
        m_broken.push_back(std::move(suspect));
    }
}

void crash_witness::recordLost(const std::string &incarnation, core::instant now)
{
    forgetOld(now);
    m_lost[incarnation] = now;
    const auto others
        = std::stable_partition(m_broken.begin(), m_broken.end(), [&](const suspect_part &entry) {
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

std::vector<crash_witness::report> crash_witness::reports(std::size_t maximum) const
{
    std::vector<report> result;
    for (const auto &entry : m_reports) {
        if (entry.number > m_acknowledged && result.size() < maximum)
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
