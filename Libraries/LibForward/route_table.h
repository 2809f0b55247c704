#pragma once

#include "LibCore/result.h"
#include "LibForward/configuration.h"
#include "LibForward/forward_error.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace quetzalcleat::forward {

/// How long a prefill in the same batch may delay a stream of this route before the stream is late:
/// its start by the latency objective, its events by the event gap objective. Callers abandon a
/// stream after four latency objectives or eight gap objectives, so a gap counts twice. 0 for a
/// route without objectives.
std::chrono::milliseconds stallTolerance(const route &entry);

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

    /// Whether the streams of the route are the least tolerant of prefills in the same batch among
    /// those of one of its services; see stallTolerance(). False where all streams are alike.
    bool isLeastTolerant(const route &entry) const;

    /// Pause objective of the least tolerant streams of the service; 0 if they have none or all
    /// streams are alike.
    std::chrono::milliseconds protectedPause(const std::string &service) const;

    const configuration &content() const { return m_content; }

private:
    explicit route_table(configuration content) : m_content(std::move(content)) { }
    core::result<void> index();

    configuration m_content;
    /// By host and prefix, separated by a space, which neither can contain.
    std::unordered_map<std::string, const route *> m_routes;
    std::unordered_map<std::string, const client_account *> m_accounts;
    std::unordered_map<std::string, const service *> m_services;
    /// Smallest and largest tolerance among the streams of each engine service.
    struct tolerance_range
    {
        std::chrono::milliseconds smallest{0};
        std::chrono::milliseconds largest{0};
        std::chrono::milliseconds pauseOfSmallest{0};
    };
    std::unordered_map<std::string, tolerance_range> m_tolerances;
};

} // namespace quetzalcleat::forward
