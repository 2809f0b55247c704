#include "quetzalcleatd/routing_table.h"

#include "LibCore/hash.h"

#include <algorithm>

namespace quetzalcleat::daemon {

namespace {

/// Number of fields set in a rule, or no value if one of them does not match.
std::optional<std::uint32_t> specificity(const inventory::class_match &rule,
                                         const class_query &query)
{
    std::uint32_t fields = 0;
    for (const auto &[expected, actual] :
         {std::pair<std::string_view, std::string_view>{rule.account, query.account},
          {rule.model, query.model},
          {rule.service, query.service}}) {
        if (expected.empty())
            continue;
        if (expected != actual)
            return std::nullopt;
        ++fields;
    }
    if (!rule.pathPrefix.empty()) {
        if (!query.path.starts_with(rule.pathPrefix))
            return std::nullopt;
        ++fields;
    }
    return fields;
}

} // namespace

routing_table::routing_table(std::uint64_t revision, std::string text, inventory::document document)
    : m_revision(revision), m_text(std::move(text)), m_document(std::move(document))
{
    for (std::uint32_t index = 0; index < m_document.accounts.size(); ++index) {
        for (const auto &hash : m_document.accounts[index].tokenHashes)
            m_accountsByTokenHash.emplace(hash, policy::account_id{index});
    }
}

std::optional<policy::account_id> routing_table::accountOfToken(std::string_view token) const
{
    const auto found = m_accountsByTokenHash.find(core::sha256Hex(token));
    if (found == m_accountsByTokenHash.end())
        return std::nullopt;
    return found->second;
}

std::optional<policy::class_id> routing_table::classNamed(std::string_view name) const
{
    const auto found = std::ranges::find(m_document.classes, name, &inventory::request_class::name);
    if (found == m_document.classes.end())
        return std::nullopt;
    return policy::class_id{static_cast<std::uint32_t>(found - m_document.classes.begin())};
}

policy::class_id routing_table::classFor(policy::account_id account, const class_query &query) const
{
    policy::class_id best{m_document.accounts[account.value].defaultClass};
    std::uint32_t bestFields = 0;
    for (std::uint32_t index = 0; index < m_document.classes.size(); ++index) {
        const auto fields = specificity(m_document.classes[index].match, query);
        if (fields && *fields > bestFields) {
            best = policy::class_id{index};
            bestFields = *fields;
        }
    }
    return best;
}

bool routing_table::hasService(std::string_view service) const
{
    return !service.empty()
        && std::ranges::find(m_document.endpoints, service, &inventory::endpoint::service)
        != m_document.endpoints.end();
}

bool routing_table::isNonRepeatable(std::string_view service, std::string_view method,
                                    std::string_view path) const
{
    const auto matches = [&](const inventory::non_repeatable_rule &rule) {
        return (rule.method == "*" || rule.method == method) && path.starts_with(rule.pathPrefix);
    };
    return std::ranges::any_of(m_document.endpoints, [&](const inventory::endpoint &endpoint) {
        return endpoint.service == service && std::ranges::any_of(endpoint.nonRepeatable, matches);
    });
}

bool routing_table::isHostDrained(std::string_view host) const
{
    return std::ranges::any_of(m_document.drains, [host](const inventory::drain &drain) {
        return drain.kind == inventory::drain_target_kind::Host && drain.target == host;
    });
}

} // namespace quetzalcleat::daemon
