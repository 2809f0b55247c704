#include "LibPeer/load_aggregator.h"

#include <utility>

namespace quetzalcleat::peer {

namespace {

void addTo(endpoint_load &sum, const endpoint_load &load)
{
    sum.running += load.running;
    sum.lossReports += load.lossReports;
    sum.waitingTokens += load.waitingTokens;
}

void subtractFrom(endpoint_load &sum, const endpoint_load &load)
{
    sum.running -= load.running;
    sum.lossReports -= load.lossReports;
    sum.waitingTokens -= load.waitingTokens;
}

bool isZero(const endpoint_load &load)
{
    return load.running == 0 && load.lossReports == 0 && load.waitingTokens == 0;
}

} // namespace

void load_aggregator::add(const report &entry)
{
    for (const auto &load : entry.loads) {
        auto &sum = m_sums[load.incarnation];
        sum.incarnation = load.incarnation;
        addTo(sum, load);
    }
}

void load_aggregator::subtract(const report &entry)
{
    for (const auto &load : entry.loads) {
        const auto found = m_sums.find(load.incarnation);
        if (found == m_sums.end())
            continue;
        subtractFrom(found->second, load);
        if (isZero(found->second))
            m_sums.erase(found);
    }
}

void load_aggregator::expireReports(core::instant now)
{
    for (auto entry = m_reports.begin(); entry != m_reports.end();) {
        if (now - entry->second.receivedAt <= reportLifetime) {
            ++entry;
            continue;
        }
        subtract(entry->second);
        entry = m_reports.erase(entry);
    }
}

bool load_aggregator::record(const std::string &host, std::vector<endpoint_load> loads,
                             core::instant now)
{
    expireReports(now);
    if (m_reports.size() >= maximumHosts && !m_reports.contains(host))
        return false;
    auto &known = m_reports[host];
    subtract(known);
    known = {now, std::move(loads)};
    add(known);
    return true;
}

std::vector<endpoint_load> load_aggregator::sumsExcluding(const std::string &host,
                                                          core::instant now)
{
    expireReports(now);
    std::map<std::string, endpoint_load> own;
    if (const auto found = m_reports.find(host); found != m_reports.end()) {
        for (const auto &load : found->second.loads)
            addTo(own[load.incarnation], load);
    }
    std::vector<endpoint_load> sums;
    sums.reserve(m_sums.size());
    for (const auto &[incarnation, sum] : m_sums) {
        auto rest = sum;
        if (const auto found = own.find(incarnation); found != own.end())
            subtractFrom(rest, found->second);
        if (!isZero(rest))
            sums.push_back(std::move(rest));
    }
    return sums;
}

std::vector<std::string> load_aggregator::hosts(core::instant now)
{
    expireReports(now);
    std::vector<std::string> names;
    names.reserve(m_reports.size());
    for (const auto &[host, entry] : m_reports)
        names.push_back(host);
    return names;
}

} // namespace quetzalcleat::peer
