#include "LibForward/route_table.h"

#include <algorithm>
#include <numeric>

namespace quetzalcleat::forward {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + 1 + prefix.size());
    key.append(host).append(1, ' ').append(prefix);
    return key;
}

} // namespace

std::chrono::milliseconds stallTolerance(const route &entry)
{
    constexpr int gapWeight = 2;
    const auto gap = entry.eventGapObjective * gapWeight;
    if (entry.latencyObjective.count() == 0 || gap.count() == 0)
        return std::max(entry.latencyObjective, std::chrono::milliseconds(gap));
    return std::min(entry.latencyObjective, std::chrono::milliseconds(gap));
}

core::result<std::shared_ptr<const route_table>> route_table::create(configuration content)
{
    std::shared_ptr<route_table> table(new route_table(std::move(content)));
    if (const auto indexed = table->index(); !indexed)
        return indexed.error();
    return std::shared_ptr<const route_table>(std::move(table));
}

core::result<void> route_table::index()
{
    for (const auto &entry : m_content.services)
        m_services[entry.name] = &entry;
    for (const auto &entry : m_content.routes) {
        if (entry.timeout.count() <= 0)
            return forward_error::NoTimeout;
        if (entry.pathPrefix.empty() || entry.pathPrefix.front() != '/'
            || entry.pathPrefix.back() != '/')
            return forward_error::BadField;
        std::uint64_t weight = 0;
        for (const auto &target : entry.services) {
            if (!m_services.contains(target.service))
                return forward_error::UnknownService;
            weight += target.weight;
        }
        if (weight == 0)
            return forward_error::NoWeight;
        for (const auto &target : entry.services) {
            const auto tolerance = stallTolerance(entry);
            if (entry.kind != request_kind::Stream || tolerance.count() == 0)
                continue;
            auto &range = m_tolerances[target.service];
            range.largest = std::max(range.largest, tolerance);
            if (range.smallest.count() == 0 || tolerance < range.smallest) {
                range.smallest = tolerance;
                range.pauseOfSmallest = entry.eventGapObjective;
            }
        }
        if (!m_routes.emplace(routeKey(entry.host, entry.pathPrefix), &entry).second)
            return forward_error::DuplicateRoute;
    }
    for (const auto &account : m_content.accounts) {
        for (const auto &key : account.keys) {
            const auto [position, added] = m_accounts.emplace(key, &account);
            if (!added && position->second != &account)
                return forward_error::SharedKey;
        }
    }
    return {};
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = m_routes.find(routeKey(host, path.substr(0, end + 1)));
        if (found != m_routes.end())
            return found->second;
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

bool route_table::isLeastTolerant(const route &entry) const
{
    const auto tolerance = stallTolerance(entry);
    return std::any_of(entry.services.begin(), entry.services.end(), [&](const auto &target) {
        const auto range = m_tolerances.find(target.service);
        return range != m_tolerances.end() && range->second.smallest < range->second.largest
            && tolerance == range->second.smallest;
    });
}

std::chrono::milliseconds route_table::protectedPause(const std::string &service) const
{
    const auto range = m_tolerances.find(service);
    if (range == m_tolerances.end() || range->second.smallest == range->second.largest)
        return std::chrono::milliseconds(0);
    return range->second.pauseOfSmallest;
}

const client_account *route_table::findAccount(std::string_view key) const
{
    const auto found = m_accounts.find(std::string(key));
    return found == m_accounts.end() ? nullptr : found->second;
}

const service *route_table::findService(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace quetzalcleat::forward
