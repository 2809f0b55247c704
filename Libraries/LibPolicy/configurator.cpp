#include "LibPolicy/configurator.h"

#include "LibCore/hash.h"
#include "LibPolicy/endpoint_subset.h"
#include "LibPolicy/notice_control.h"

#include <algorithm>

namespace quetzalcleat::policy {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::ranges::find(names, name) != names.end();
}

bool serves(const inventory::endpoint &endpoint, const pool_key &key)
{
    if (!key.service.empty())
        return endpoint.kind == inventory::endpoint_kind::Service
            && endpoint.service == key.service;
    return endpoint.kind == inventory::endpoint_kind::Engine && contains(endpoint.models, key.model)
        && (key.adapter.empty() || contains(endpoint.adapters, key.adapter));
}

std::optional<std::uint32_t> dataCentreOf(const inventory::document &document,
                                          const std::string &name)
{
    const auto found = std::ranges::find(document.dataCentres, name, &inventory::data_centre::name);
    if (found == document.dataCentres.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - document.dataCentres.begin());
}

endpoint_distance distanceTo(const inventory::document &document, std::optional<std::uint32_t> from,
                             std::uint32_t to)
{
    // A host with an unknown data centre treats every endpoint alike.
    if (!from || *from == to || to >= document.dataCentres.size())
        return endpoint_distance::SameDataCentre;
    return document.dataCentres[*from].region == document.dataCentres[to].region
        ? endpoint_distance::SameRegion
        : endpoint_distance::OtherRegion;
}

} // namespace

void configurator::apply(core_tables &tables, const inventory::document &document,
                         const host_location &location, core::instant now)
{
    const auto localDataCentre = dataCentreOf(document, location.dataCentre);
    tables.hostName = location.hostName;
    tables.hosts = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(document.hosts.size()));
    const auto local = std::ranges::count_if(document.hosts, [&](const auto &host) {
        return localDataCentre && host.dataCentre == *localDataCentre;
    });
    tables.hostsInDataCentre = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(local));
    applyEndpoints(tables, document, location, now);
    applyClasses(tables, document, now);
    applyAccounts(tables, document, now);
    applyPools(tables);
}

void configurator::applyEndpoints(core_tables &tables, const inventory::document &document,
                                  const host_location &location, core::instant now)
{
    const auto localDataCentre = dataCentreOf(document, location.dataCentre);
    const bool isFirst = tables.endpoints.size() == 0;
    for (auto &record : tables.endpoints)
        record.pools.clear();
    tables.endpoints.assign(
        document.endpoints,
        [&](endpoint_record &record, std::uint32_t /*index*/, const auto &endpoint, bool isNew) {
            // When the host itself starts, a slow start of all endpoints would only delay work.
            if (isNew && !isFirst)
                record.health.beginSlowStart(now);
            if (!isNew && record.description.address != endpoint.address) {
                record.health.beginSlowStart(now);
                record.load.reset();
                record.cache.reset();
            }
            record.description = endpoint;
            notice_control::updateKey(record);
            record.nameHash = core::hash64(endpoint.name);
            record.distance = distanceTo(document, localDataCentre, endpoint.dataCentre);
            record.drained = false;
            record.inSubset = false;
        });
    for (const auto &drain : document.drains) {
        // FIXME: A drain of a platform host does not reach its endpoints, because the inventory
        // does not say which host an endpoint runs on.
        if (drain.kind != inventory::drain_target_kind::Endpoint)
            continue;
        if (const auto index = tables.endpoints.indexOf(drain.target)) {
            auto &record = tables.endpoints[*index];
            record.drained = true;
            notice_control::reportLeaving(tables, record, notice_source::OperatorEdit, now);
        }
    }
}

void configurator::applyClasses(core_tables &tables, const inventory::document &document,
                                core::instant now)
{
    const auto prepare = [&](class_record &record, std::uint32_t index,
                             const inventory::request_class &rules, bool isNew) {
        if (isNew) {
            tables.outputLengths.forgetClass(index);
            for (auto &pool : tables.pools)
                if (index < pool.queues.size())
                    pool.queues[index] = {};
        }
        record.rules = rules;
        record.rank = rules.tier < document.tiers.size() ? document.tiers[rules.tier].rank : 0;
        record.limits.configure(rules.configuredLimits, tables.share, now);
    };
    tables.classes.assign(document.classes, prepare);
    // A class may have moved to another tier.
    std::ranges::fill(tables.queuedByRank, 0);
    for (const auto &record : tables.classes) {
        if (tables.queuedByRank.size() <= record.rank)
            tables.queuedByRank.resize(record.rank + 1);
        tables.queuedByRank[record.rank] += record.queued;
    }
}

void configurator::applyAccounts(core_tables &tables, const inventory::document &document,
                                 core::instant now)
{
    const auto prepare = [&](account_record &record, std::uint32_t index,
                             const inventory::client_account &account, bool isNew) {
        if (isNew)
            tables.outputLengths.forgetAccount(index);
        record.configuredLimits = account.configuredLimits;
        record.limits.configure(account.configuredLimits, tables.share, now);
    };
    tables.accounts.assign(document.accounts, prepare);
}

void configurator::applyPools(core_tables &tables)
{
    for (auto &pool : tables.pools)
        updatePool(tables, pool);
    for (const auto &endpoint : tables.endpoints) {
        if (!endpoint.present)
            continue;
        if (endpoint.description.kind == inventory::endpoint_kind::Service)
            findOrCreatePool(tables, {{}, {}, endpoint.description.service});
        for (const auto &model : endpoint.description.models)
            findOrCreatePool(tables, {model, {}, {}});
    }
}

std::uint32_t configurator::findOrCreatePool(core_tables &tables, const pool_key &key)
{
    if (const auto found = tables.poolIndex.find(key); found != tables.poolIndex.end())
        return found->second;
    const auto index = static_cast<std::uint32_t>(tables.pools.size());
    tables.pools.emplace_back(key, tables.options);
    tables.poolIndex.emplace(key, index);
    updatePool(tables, tables.pools.back());
    return index;
}

void configurator::updatePool(core_tables &tables, pool_record &pool)
{
    std::vector<std::uint32_t> serving;
    for (std::uint32_t index = 0; index < tables.endpoints.size(); ++index) {
        const auto &endpoint = tables.endpoints[index];
        if (endpoint.present && serves(endpoint.description, pool.key))
            serving.push_back(index);
    }
    selectSubset(tables, pool, std::move(serving));
    pool.changed = true;
    constexpr std::uint32_t maximumTrackedBlocks = 4096;
    for (const std::uint32_t index : pool.endpoints) {
        auto &endpoint = tables.endpoints[index];
        endpoint.inSubset = true;
        endpoint.pools.push_back(tables.poolIndex.at(pool.key));
        endpoint.cache.setBound(std::min(maximumTrackedBlocks, endpoint.description.kvBlocks));
    }
}

std::optional<std::uint32_t> configurator::poolFor(core_tables &tables, const request_spec &spec)
{
    const auto key = pool_key::of(spec);
    if (const auto found = tables.poolIndex.find(key); found != tables.poolIndex.end()) {
        if (!tables.pools[found->second].served)
            return std::nullopt;
        return found->second;
    }
    const bool served = std::ranges::any_of(tables.endpoints, [&key](const auto &endpoint) {
        return endpoint.present && serves(endpoint.description, key);
    });
    if (!served)
        return std::nullopt;
    return findOrCreatePool(tables, key);
}

void configurator::setShare(core_tables &tables, double share, core::instant now)
{
    tables.share = std::clamp(share, 0.0, 1.0);
    for (auto &account : tables.accounts)
        account.limits.configure(account.configuredLimits, tables.share, now);
    for (auto &entry : tables.classes)
        entry.limits.configure(entry.rules.configuredLimits, tables.share, now);
    for (auto &pool : tables.pools)
        pool.changed = true;
}

} // namespace quetzalcleat::policy
