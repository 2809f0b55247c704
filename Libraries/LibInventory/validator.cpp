#include "LibInventory/validator.h"

#include "LibInventory/inventory_error.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace quetzalcleat::inventory::detail {

namespace {

constexpr std::size_t maximumControlHosts = 7;
// Decimal shares that add up to 1 may exceed it slightly in binary floating point.
constexpr double shareTolerance = 1e-9;

class validator
{
public:
    validator(const document &document, const source_lines &lines, core::error_list &errors)
        : m_document(document), m_lines(lines), m_errors(errors)
    {
    }

    void run()
    {
        checkNames();
        checkAddresses();
        checkControlHosts();
        checkServices();
        checkTokenHashes();
        checkTierRanks();
        checkShares();
        checkMatches();
        checkPlacements();
        checkDrains();
    }

private:
    using name_set = std::set<std::string, std::less<>>;

    template <typename Entity>
    void checkUnique(const std::vector<Entity> &table, const std::vector<std::uint32_t> &lines,
                     name_set &names)
    {
        for (std::size_t index = 0; index < table.size(); ++index) {
            const auto &name = table[index].name;
            if (!name.empty() && !names.insert(name).second)
                m_errors.add(core::core_error::DuplicateName, lines[index], name);
        }
    }

    template <typename Entity>
    void checkUnique(const std::vector<Entity> &table, const std::vector<std::uint32_t> &lines)
    {
        name_set names;
        checkUnique(table, lines, names);
    }

    void checkNames()
    {
        checkUnique(m_document.regions, m_lines.regions);
        checkUnique(m_document.dataCentres, m_lines.dataCentres);
        checkUnique(m_document.accounts, m_lines.accounts);
        checkUnique(m_document.tiers, m_lines.tiers);
        checkUnique(m_document.classes, m_lines.classes);
        // The drain command takes the name of a host or an endpoint, so these must differ.
        name_set drainable;
        checkUnique(m_document.hosts, m_lines.hosts, drainable);
        checkUnique(m_document.endpoints, m_lines.endpoints, drainable);
    }

    void checkAddress(const core::socket_address &address, std::uint32_t line, name_set &known)
    {
        if (address.port != 0 && !known.insert(address.text()).second)
            m_errors.add(core::core_error::DuplicateAddress, line, address.text());
    }

    void checkAddresses()
    {
        name_set known;
        for (std::size_t index = 0; index < m_document.hosts.size(); ++index) {
            const auto &host = m_document.hosts[index];
            checkAddress(host.callerAddress, m_lines.hosts[index], known);
            checkAddress(host.operatorAddress, m_lines.hosts[index], known);
            checkAddress(host.peerAddress, m_lines.hosts[index], known);
        }
        for (std::size_t index = 0; index < m_document.endpoints.size(); ++index)
            checkAddress(m_document.endpoints[index].address, m_lines.endpoints[index], known);
    }

    void checkControlHosts()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_document.hosts.size(); ++index) {
            const auto &host = m_document.hosts[index];
            if (host.control && ++count > maximumControlHosts)
                m_errors.add(inventory_error::TooManyControlHosts, m_lines.hosts[index], host.name);
        }
    }

    // A retry may go to another endpoint of the service, so all need the same non-repeatable calls.
    void checkServices()
    {
        std::map<std::string, std::set<std::pair<std::string, std::string>>> rulesOfService;
        for (std::size_t index = 0; index < m_document.endpoints.size(); ++index) {
            const auto &endpoint = m_document.endpoints[index];
            if (endpoint.kind != endpoint_kind::Service)
                continue;
            std::set<std::pair<std::string, std::string>> rules;
            for (const auto &rule : endpoint.nonRepeatable)
                rules.emplace(rule.method, rule.pathPrefix);
            const auto [known, isFirst] = rulesOfService.try_emplace(endpoint.service, rules);
            if (!isFirst && known->second != rules)
                m_errors.add(inventory_error::InconsistentService, m_lines.endpoints[index],
                             endpoint.name);
        }
    }

    void checkTokenHashes()
    {
        name_set hashes;
        for (std::size_t index = 0; index < m_document.accounts.size(); ++index) {
            const auto &account = m_document.accounts[index];
            for (const auto &hash : account.tokenHashes) {
                if (!hashes.insert(hash).second)
                    m_errors.add(inventory_error::DuplicateTokenHash, m_lines.accounts[index],
                                 account.name);
            }
        }
    }

    void checkTierRanks()
    {
        std::set<std::uint32_t> ranks;
        for (std::size_t index = 0; index < m_document.tiers.size(); ++index) {
            const auto &tier = m_document.tiers[index];
            if (!ranks.insert(tier.rank).second)
                m_errors.add(inventory_error::DuplicateRank, m_lines.tiers[index], tier.name);
        }
    }

    void checkShares()
    {
        double sum = 0;
        for (std::size_t index = 0; index < m_document.classes.size(); ++index) {
            const auto &requestClass = m_document.classes[index];
            const bool exceededBefore = sum > 1 + shareTolerance;
            sum += requestClass.minimumShare;
            if (!exceededBefore && sum > 1 + shareTolerance)
                m_errors.add(inventory_error::SharesExceedCapacity, m_lines.classes[index],
                             requestClass.name);
        }
    }

    // Of two classes with the same match, the second would never be chosen by it.
    void checkMatches()
    {
        std::set<std::vector<std::string>> known;
        for (std::size_t index = 0; index < m_document.classes.size(); ++index) {
            const auto &match = m_document.classes[index].match;
            if (!match.empty()
                && !known.insert({match.account, match.model, match.service, match.pathPrefix})
                        .second)
                m_errors.add(inventory_error::DuplicateMatch, m_lines.classes[index],
                             m_document.classes[index].name);
        }
        name_set models;
        name_set services;
        for (const auto &endpoint : m_document.endpoints) {
            models.insert(endpoint.models.begin(), endpoint.models.end());
            services.insert(endpoint.service);
        }
        name_set accounts;
        for (const auto &account : m_document.accounts)
            accounts.insert(account.name);
        for (std::size_t index = 0; index < m_document.classes.size(); ++index) {
            const auto &match = m_document.classes[index].match;
            checkReference(match.account, accounts, m_lines.classes[index], "class.match.caller");
            checkReference(match.model, models, m_lines.classes[index], "class.match.model");
            checkReference(match.service, services, m_lines.classes[index], "class.match.service");
        }
    }

    void checkReference(const std::string &name, const name_set &known, std::uint32_t line,
                        std::string_view key)
    {
        if (!name.empty() && !known.contains(name))
            m_errors.add(inventory_error::DanglingReference, line,
                         std::string(key) + " (" + name + ')');
    }

    void checkPlacements()
    {
        std::set<std::pair<std::uint32_t, std::string>> known;
        for (std::size_t index = 0; index < m_document.placements.size(); ++index) {
            const auto &placement = m_document.placements[index];
            if (placement.endpoint >= m_document.endpoints.size())
                continue;
            const auto &endpoint = m_document.endpoints[placement.endpoint];
            const auto line = m_lines.placements[index];
            if (endpoint.kind != endpoint_kind::Engine)
                m_errors.add(inventory_error::KeyNotApplicable, line, "placement.endpoint");
            else if (std::find(endpoint.models.begin(), endpoint.models.end(), placement.model)
                     == endpoint.models.end())
                m_errors.add(inventory_error::DanglingReference, line,
                             "placement.model (" + placement.model + ')');
            if (!known.emplace(placement.endpoint, placement.model).second)
                m_errors.add(inventory_error::DuplicatePlacement, line, placement.model);
        }
    }

    void checkDrains()
    {
        name_set hosts;
        name_set endpoints;
        for (const auto &host : m_document.hosts)
            hosts.insert(host.name);
        for (const auto &endpoint : m_document.endpoints)
            endpoints.insert(endpoint.name);
        name_set drained;
        for (std::size_t index = 0; index < m_document.drains.size(); ++index) {
            const auto &drain = m_document.drains[index];
            const auto line = m_lines.drains[index];
            const bool isHost = drain.kind == drain_target_kind::Host;
            checkReference(drain.target, isHost ? hosts : endpoints, line,
                           isHost ? "drain.host" : "drain.endpoint");
            if (!drain.target.empty() && !drained.insert(drain.target).second)
                m_errors.add(inventory_error::DuplicateDrain, line, drain.target);
        }
    }

    const document &m_document;
    const source_lines &m_lines;
    core::error_list &m_errors;
};

} // namespace

void validate(const document &document, const source_lines &lines, core::error_list &errors)
{
    validator(document, lines, errors).run();
}

} // namespace quetzalcleat::inventory::detail
