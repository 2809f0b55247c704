#include "LibFleet/capacity_sources.h"

#include "LibForward/placement.h"

#include <algorithm>
#include <set>
#include <utility>

namespace quetzalcleat::fleet {

namespace {

policy::capacity_kind kindOf(const forward::listed_endpoint &entry)
{
    return entry.isSpot ? policy::capacity_kind::Spot : policy::capacity_kind::Ordinary;
}

/// At the nominal speed, as the real one is not known. The slots in use make up for slower engines.
policy::engine_rates nominalRates(const forward::engine_profile &profile)
{
    const forward::engine_speed speed;
    const auto step = speed.decodeStep + profile.slots * speed.decodeStepPerRequest;
    return {speed.promptTokensPerMillisecond * 1000,
            profile.slots / std::chrono::duration<double>(step).count()};
}

} // namespace

void capacity_sources::setList(std::vector<forward::listed_endpoint> endpoints, core::instant now)
{
    m_endpoints = std::move(endpoints);
    m_listedAt = now;
}

std::vector<peer::endpoint_leave> capacity_sources::leaves(core::instant now) const
{
    std::vector<peer::endpoint_leave> leaves;
    for (const auto &entry : m_endpoints) {
        if (!entry.leavesIn || !m_listedAt)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_listedAt);
        const auto left = std::max(*entry.leavesIn - age, std::chrono::milliseconds(0));
        leaves.push_back({entry.incarnation, static_cast<std::uint64_t>(left.count())});
    }
    return leaves;
}

void capacity_sources::setLoads(const std::vector<peer::endpoint_load> &loads)
{
    m_running.clear();
    for (const auto &load : loads)
        m_running[load.incarnation] = load.running;
}

void capacity_sources::recordReport(const policy::reporting_host &host,
                                    const std::vector<peer::service_demand> &demand,
                                    core::instant now)
{
    m_demand.forgetOld(now);
    m_demand.recordHost(host, now);
    for (const auto &entry : demand)
        m_demand.record(host, entry.service,
                        {entry.requests, entry.prefillTokens, entry.outputTokens}, now);
}

policy::capacity_input capacity_sources::inputFor(const forward::service &service,
                                                  core::instant now) const
{
    const auto &profile = *service.autoscale;
    policy::capacity_input input;
    input.isListFresh = m_listedAt && now - *m_listedAt <= maximumListAge;
    input.minimum = profile.minimum;
    input.maximum = profile.maximum;
    input.startupTime = profile.startupTime;
    input.spotPrice = profile.spotPrice;
    if (service.engine) {
        input.engine = nominalRates(*service.engine);
        input.slots = service.engine->slots;
    }
    std::map<std::string, policy::data_centre_state> states;
    for (const auto &[name, price] : profile.prices)
        states[name].price = price;
    for (const auto &entry : m_endpoints) {
        if (entry.service != service.name)
            continue;
        auto &state = states[entry.dataCentre];
        if (entry.isLeaving)
            ++state.leaving[kindOf(entry)];
        else
            ++state.serving[kindOf(entry)];
        if (const auto found = m_running.find(entry.incarnation); found != m_running.end())
            state.running += found->second;
        if (!service.engine)
            input.slots = std::max(input.slots, entry.slots);
    }
    const auto rates = m_demand.rates(service.name, now);
    const auto recent = m_demand.rates(service.name, now, policy::demand_meter::recentWindow);
    for (auto &[name, state] : states) {
        state.name = name;
        const auto region = m_regions.find(name);
        state.region = region == m_regions.end() ? name : region->second;
        state.isHeard = m_demand.isHeard(name, now);
        if (const auto rate = rates.find(name); rate != rates.end())
            state.demand = rate->second;
        if (const auto rate = recent.find(name); rate != recent.end())
            state.recentDemand = rate->second;
        input.dataCentres.push_back(std::move(state));
    }
    return input;
}

} // namespace quetzalcleat::fleet
