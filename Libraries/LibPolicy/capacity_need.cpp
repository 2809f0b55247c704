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

/// Need of each region, not rounded.
std::map<std::string, double> currentNeeds(const need_input &input)
{
    double busy = 0;
    double requests = 0;
    double running = 0;
    for (const auto &[name, region] : input.regions) {
        busy += busyEngines(region.rate, input.engine);
        requests += region.rate.requests;
        running += region.running;
    }
    const double occupied = input.slots == 0 ? 0 : running / input.slots;
    const double total = std::max(busy, occupied) / capacity_need::targetUtilisation;
    std::map<std::string, double> needs;
    for (const auto &[name, region] : input.regions) {
        // The callers' demand decides where endpoints are needed; where they run is the result of
        // earlier decisions, and is used only while no demand is reported.
        double share = 0;
        if (busy > 0)
            share = busyEngines(region.rate, input.engine) / busy;
        else if (requests > 0)
            share = region.rate.requests / requests;
        else if (running > 0)
            share = region.running / running;
        needs[name] = total * share;
    }
    return needs;
}

} // namespace

double capacity_need::highest(region_state &state, double need, core::instant now)
{
    auto &maxima = state.maxima;
    while (!maxima.empty() && now - maxima.front().first > holdTime)
        maxima.pop_front();
    while (!maxima.empty() && maxima.back().second <= need)
        maxima.pop_back();
    maxima.emplace_back(now, need);
    return maxima.front().second;
}

std::map<std::string, std::uint32_t> capacity_need::update(const need_input &input,
                                                           core::instant now)
{
    const bool hasLoad = std::any_of(input.regions.begin(), input.regions.end(), [](const auto &r) {
        return r.second.rate.requests > 0 || r.second.running > 0;
    });
    if (hasLoad && !m_firstLoad)
        m_firstLoad = now;
    const auto needs = currentNeeds(input);
    std::map<std::string, std::uint32_t> planned;
    for (const auto &[name, region] : input.regions) {
        auto &state = m_regions[name];
        const double need = highest(state, needs.at(name), now);
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
