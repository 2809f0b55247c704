#pragma once

#include "LibCore/result.h"
#include "LibForward/configuration.h"
#include "LibForward/forward_error.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace quetzalcleat::forward {

/// A validated configuration with indexes for look-ups by host, path and key.
class route_table
{
public:
    /// Errors: UnknownService, DuplicateRoute, NoWeight, NoTimeout, SharedKey, BadField.
    static core::result<std::shared_ptr<const route_table>> create(configuration content);

    /// The route with the longest matching path prefix, or a null pointer.
    const route *find(std::string_view host, std::string_view path) const;

    /// The account that holds the key, or a null pointer.
    const client_account *findAccount(std::string_view key) const;

    const service *findService(std::string_view name) const;

    /// Whether the route has the tightest latency objective among the streams of one of its
    /// services. False where all streams have the same objective.
    bool hasTightestObjective(const route &entry) const;

    const configuration &content() const { return m_content; }

private:
    explicit route_table(configuration content) : m_content(std::move(content)) { }
    core::result<void> index();

    configuration m_content;
    /// By host and prefix, separated by a space, which neither can contain.
    std::unordered_map<std::string, const route *> m_routes;
    std::unordered_map<std::string, const client_account *> m_accounts;
    std::unordered_map<std::string, const service *> m_services;
    /// Tightest and loosest latency objective of the streams of each engine service.
    struct objective_range
    {
        std::chrono::milliseconds tightest{0};
        std::chrono::milliseconds loosest{0};
    };
    std::unordered_map<std::string, objective_range> m_objectives;
};

} // namespace quetzalcleat::forward
