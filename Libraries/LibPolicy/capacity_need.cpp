#include "LibPolicy/capacity_need.h"

#include <algorithm>
#include <cmath>

namespace quetzalcleat::policy {

namespace {

/// Engines that the demand would keep busy all the time.
double busyEngines(const work_rate &rate, const std::optional<engine_rates> &engine)
{
    if (!engine || engine->promptTokensPerSecond <= 0 || engine->outputTokensPerSecond <= 0)
        return 0;
    return rate.prefillTokens / engine->promptTokensPerSecond
        + rate.outputTokens / engine->outputTokensPerSecond;
}

struct current_need
{
    double total = 0; ///< Endpoints, not rounded.
    std::map<std::string, double> shares; ///< By region; empty without load.
};

current_need currentNeed(const need_input &input)
{
    double busy = 0;
    double recentlyBusy = 0;
    double requests = 0;
    double running = 0;
    for (const auto &[name, region] : input.regions) {
        busy += busyEngines(region.rate, input.engine);
        recentlyBusy += busyEngines(region.recentRate, input.engine);
        requests += region.rate.requests;
        running += region.running;
    }
    const double occupied = input.slots == 0 ? 0 : running / input.slots;
    current_need need;
    const double expected = recentlyBusy >= capacity_need::suddenRise * busy ? recentlyBusy : busy;
    need.total = std::max(expected, occupied) / capacity_need::targetUtilisation;
    for (const auto &[name, region] : input.regions) {
        // The callers' demand decides where endpoints are needed; where they run is the result of
        // earlier decisions, and is used only while no demand is reported.
        if (busy > 0)
            need.shares[name] = busyEngines(region.rate, input.engine) / busy;
        else if (requests > 0)
            need.shares[name] = region.rate.requests / requests;
        else if (running > 0)
            need.shares[name] = region.running / running;
    }
    return need;
}

} // namespace

double capacity_need::highestOf(double need, core::instant now)
{
    while (!m_maxima.empty() && now - m_maxima.front().first > holdTime)
        m_maxima.pop_front();
    while (!m_maxima.empty() && m_maxima.back().second <= need)
        m_maxima.pop_back();
    m_maxima.emplace_back(now, need);
    return m_maxima.front().second;
}

void capacity_need::updateShares(const std::map<std::string, double> &shares, core::instant now)
{
    const auto elapsed = now - m_sharesUpdated.value_or(now);
    m_sharesUpdated = now;
    const double weight = 1
        - std::exp(-std::chrono::duration<double>(elapsed)
                   / std::chrono::duration<double>(shareTime));
    for (const auto &[name, share] : shares) {
        auto &known = m_regions[name].share;
        known = known ? *known + weight * (share - *known) : share;
    }
}

std::map<std::string, std::uint32_t> capacity_need::update(const need_input &input,
                                                           core::instant now)
{
    const bool hasLoad = std::any_of(input.regions.begin(), input.regions.end(), [](const auto &r) {
        return r.second.rate.requests > 0 || r.second.running > 0;
    });
    if (hasLoad && !m_firstLoad)
        m_firstLoad = now;
    const auto current = currentNeed(input);
    updateShares(current.shares, now);
    const double total = highestOf(current.total, now);
    double shares = 0; // Not 1 if a region was silent for some time.
    for (const auto &[name, region] : input.regions)
        shares += m_regions[name].share.value_or(0);
    std::map<std::string, std::uint32_t> planned;
    for (const auto &[name, region] : input.regions) {
        auto &state = m_regions[name];
        const double need = shares > 0 ? total * state.share.value_or(0) / shares : 0;
        // Before any load, endpoints that are lost are still wanted, so the number never falls.
        if (!m_firstLoad || !state.planned)
            state.planned = std::max(state.planned.value_or(0), region.present);
        const double difference = need - *state.planned;
        const bool isLarge
            = std::abs(difference) >= 1 && std::abs(difference) > tolerance * *state.planned;
        const bool mayFall = m_firstLoad && now - *m_firstLoad >= holdTime;
        if (isLarge && (difference > 0 || mayFall))
            state.planned = static_cast<std::uint32_t>(std::ceil(need));
        state.planned
            = std::min(std::max(*state.planned, region.minimum), std::max(region.maximum, 0U));
        planned[name] = *state.planned;
    }
    return planned;
}

} // namespace quetzalcleat::policy
