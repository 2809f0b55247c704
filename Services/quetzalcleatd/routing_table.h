#pragma once

#include "LibInventory/document.h"
#include "LibPolicy/policy_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace quetzalcleat::daemon {

/// Attributes of a request that select its class.
struct class_query
{
    std::string_view account;
    std::string_view model;
    std::string_view service;
    std::string_view path;
};

/// An accepted configuration with lookup tables for the sessions. Immutable.
class routing_table
{
public:
    routing_table(std::uint64_t revision, std::string text, inventory::document document);

    std::uint64_t revision() const { return m_revision; }
    const std::string &text() const { return m_text; }
    const inventory::document &document() const { return m_document; }

    std::optional<policy::account_id> accountOfToken(std::string_view token) const;
    std::optional<policy::class_id> classNamed(std::string_view name) const;

    /// The class with the most specific matching rule, or the default class of the account.
    policy::class_id classFor(policy::account_id account, const class_query &query) const;

    bool hasService(std::string_view service) const;

    /// Whether a call must not run twice. The path is relative to /services/NAME.
    bool isNonRepeatable(std::string_view service, std::string_view method,
                         std::string_view path) const;

    /// Whether the operators have drained this host.
    bool isHostDrained(std::string_view host) const;

private:
    std::uint64_t m_revision;
    std::string m_text;
    inventory::document m_document;
    std::unordered_map<std::string, policy::account_id> m_accountsByTokenHash;
};

} // namespace quetzalcleat::daemon
