#include "LibInventory/diff.h"

#include <array>
#include <charconv>
#include <map>
#include <tuple>
#include <utility>

namespace quetzalcleat::inventory {

namespace {

using fields = std::vector<std::pair<std::string, std::string>>;
// Table number, table, entity name. The number sorts the tables in the order of the document.
using entity_key = std::tuple<int, std::string, std::string>;
using entity_map = std::map<entity_key, fields>;

std::string toText(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : std::string();
}

std::string toText(bool value)
{
    return value ? "true" : "false";
}

std::string toText(const std::vector<std::string> &list)
{
    std::string text = "[";
    for (const auto &item : list)
        text.append(text.size() > 1 ? ", " : "").append(item);
    return text + ']';
}

std::string toText(const std::vector<non_repeatable_rule> &rules)
{
    std::vector<std::string> list;
    list.reserve(rules.size());
    for (const auto &rule : rules)
        list.push_back(rule.method + ' ' + rule.pathPrefix);
    return toText(list);
}

template <typename Representation, typename Period>
std::string toText(std::chrono::duration<Representation, Period> time)
{
    return std::to_string(time.count());
}

std::string toText(std::uint32_t value)
{
    return std::to_string(value);
}

template <typename Value>
std::string toText(const std::optional<Value> &value)
{
    return value ? toText(*value) : std::string("none");
}

void describeLimits(const limits &limits, fields &fields)
{
    fields.emplace_back("limits.requests_per_second", toText(limits.requestsPerSecond));
    fields.emplace_back("limits.request_burst", toText(limits.requestBurst));
    fields.emplace_back("limits.concurrency", toText(limits.concurrency));
    fields.emplace_back("limits.tokens_per_second", toText(limits.tokensPerSecond));
    fields.emplace_back("limits.token_burst", toText(limits.tokenBurst));
}

fields describe(const endpoint &endpoint, const document &document)
{
    return {{"kind", endpoint.kind == endpoint_kind::Engine ? "engine" : "service"},
            {"data_centre", document.dataCentres.at(endpoint.dataCentre).name},
            {"address", endpoint.address.text()},
            {"service", endpoint.service},
            {"models", toText(endpoint.models)},
            {"adapters", toText(endpoint.adapters)},
            {"capacity", toText(endpoint.capacity)},
            {"kv_blocks", toText(endpoint.kvBlocks)},
            {"accelerators", toText(endpoint.accelerators)},
            {"checks_fencing", toText(endpoint.checksFencing)},
            {"can_resume", toText(endpoint.canResume)},
            {"non_repeatable", toText(endpoint.nonRepeatable)}};
}

fields describe(const request_class &requestClass, const document &document)
{
    fields fields{{"tier", document.tiers.at(requestClass.tier).name},
                  {"match.caller", requestClass.match.account},
                  {"match.model", requestClass.match.model},
                  {"match.service", requestClass.match.service},
                  {"match.path_prefix", requestClass.match.pathPrefix},
                  {"time_to_first_token_ms", toText(requestClass.timeToFirstToken)},
                  {"time_between_tokens_ms", toText(requestClass.timeBetweenTokens)},
                  {"deadline_ms", toText(requestClass.deadline)},
                  {"minimum_share", toText(requestClass.minimumShare)},
                  {"maximum_wait_ms", toText(requestClass.maximumWait)},
                  {"queue_length", toText(requestClass.queueLength)},
                  {"preemptible", toText(requestClass.preemptible)}};
    describeLimits(requestClass.configuredLimits, fields);
    return fields;
}

fields describe(const client_account &account, const document &document)
{
    fields fields{{"token_hashes", toText(account.tokenHashes)},
                  {"default_class", document.classes.at(account.defaultClass).name}};
    describeLimits(account.configuredLimits, fields);
    return fields;
}

entity_map describe(const document &document)
{
    entity_map entities;
    entities[{0, "", ""}] = {{"deployment", document.deployment}};
    entities[{1, "ledger", ""}] = {{"answer_bytes", toText(document.ledger.answerBytes)},
                                   {"answer_retention_s", toText(document.ledger.answerRetention)}};
    entities[{2, "weight_store", ""}]
        = {{"concurrent_loads", toText(document.weightStore.concurrentLoads)}};
    for (const auto &region : document.regions)
        entities[{3, "region", region.name}] = {};
    for (const auto &dataCentre : document.dataCentres)
        entities[{4, "data_centre", dataCentre.name}]
            = {{"region", document.regions.at(dataCentre.region).name}};
    for (const auto &host : document.hosts)
        entities[{5, "host", host.name}]
            = {{"data_centre", document.dataCentres.at(host.dataCentre).name},
               {"caller_address", host.callerAddress.text()},
               {"operator_address", host.operatorAddress.text()},
               {"peer_address", host.peerAddress.text()},
               {"control", toText(host.control)}};
    for (const auto &endpoint : document.endpoints)
        entities[{6, "endpoint", endpoint.name}] = describe(endpoint, document);
    for (const auto &tier : document.tiers)
        entities[{7, "tier", tier.name}] = {{"rank", toText(tier.rank)}};
    for (const auto &requestClass : document.classes)
        entities[{8, "class", requestClass.name}] = describe(requestClass, document);
    for (const auto &account : document.accounts)
        entities[{9, "caller", account.name}] = describe(account, document);
    for (const auto &placement : document.placements)
        entities[{10, "placement",
                  placement.model + '@' + document.endpoints.at(placement.endpoint).name}]
            = {{"version", placement.version}, {"role", placement.role}};
    for (const auto &drain : document.drains)
        entities[{11, "drain", drain.target}] = {};
    return entities;
}

} // namespace

std::vector<change> diff(const document &before, const document &after)
{
    std::vector<change> changes;
    const auto oldEntities = describe(before);
    const auto newEntities = describe(after);
    auto oldEntity = oldEntities.begin();
    auto newEntity = newEntities.begin();
    while (oldEntity != oldEntities.end() || newEntity != newEntities.end()) {
        const bool removed = newEntity == newEntities.end()
            || (oldEntity != oldEntities.end() && oldEntity->first < newEntity->first);
        const bool added
            = !removed && (oldEntity == oldEntities.end() || newEntity->first < oldEntity->first);
        const auto &[position, table, name] = removed ? oldEntity->first : newEntity->first;
        if (removed || added) {
            changes.push_back(
                {removed ? change_kind::Removed : change_kind::Added, table, name, {}, {}, {}});
            removed ? ++oldEntity : ++newEntity;
            continue;
        }
        for (std::size_t index = 0; index < oldEntity->second.size(); ++index) {
            const auto &[key, value] = oldEntity->second[index];
            const auto &newValue = newEntity->second[index].second;
            if (value != newValue)
                changes.push_back({change_kind::Changed, table, name, key, value, newValue});
        }
        ++oldEntity;
        ++newEntity;
    }
    return changes;
}

} // namespace quetzalcleat::inventory
