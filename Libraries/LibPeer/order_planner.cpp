#include "LibPeer/order_planner.h"

#include <algorithm>

namespace quetzalcleat::peer {

namespace {

constexpr std::chrono::milliseconds leaseDuration{6000};
constexpr std::chrono::milliseconds renewInterval{1500};

/// Margin for different clock rates: the holder stops using the lease this part of its remaining
/// time early, and waits this part longer before orders that are not fenced.
constexpr int marginPermille = 100;

constexpr char detailSeparator = '\n';

std::string encodeDetail(const model_placement &placement)
{
    return placement.model + detailSeparator + placement.version;
}

model_placement placementOf(const state::order_begin &order)
{
    const auto separator = order.detail.find(detailSeparator);
    if (separator == std::string::npos)
        return {order.target, order.detail, {}};
    return {order.target, order.detail.substr(0, separator), order.detail.substr(separator + 1)};
}

bool isLoaded(const std::map<std::string, reported_endpoint_state> &endpoints,
              const model_placement &placement)
{
    const auto found = endpoints.find(placement.endpoint);
    return found != endpoints.end()
        && found->second.loaded.contains({placement.model, placement.version});
}

} // namespace

std::optional<state::control_lease_acquire> control_lease::request(core::instant now)
{
    if (now - m_requestedAt < renewInterval)
        return std::nullopt;
    m_requestedAt = now;
    return state::control_lease_acquire{m_host, m_incarnation, leaseDuration};
}

void control_lease::handle(const state::control_lease_verdict &verdict, core::instant now)
{
    if (!verdict.granted) {
        invalidate();
        return;
    }
    const auto usable = verdict.remaining * (1000 - marginPermille) / 1000;
    m_usableUntil = m_requestedAt + usable;
    if (verdict.fencing == m_fencing)
        return;
    m_fencing = verdict.fencing;
    // Counted from the verdict and extended, as this clock may run faster than that of the leader.
    m_unfencedOrdersAllowedFrom
        = now + verdict.waitBeforeUnfencedOrders * (1000 + marginPermille) / 1000;
}

void control_lease::invalidate()
{
    m_usableUntil = {};
}

order_plan order_planner::plan(const control_lease &lease, const std::set<model_placement> &wanted,
                               const std::map<std::string, reported_endpoint_state> &endpoints,
                               const std::map<std::string, state::order_record> &orders,
                               core::instant now)
{
    order_plan plan;
    if (!lease.isHeld(now))
        return plan;
    if (lease.fencing() != m_fencing) {
        m_fencing = lease.fencing();
        m_proposed.clear();
        m_sentAt.clear();
    }
    std::erase_if(m_proposed, [&](const auto &entry) { return orders.contains(entry.first); });
    std::erase_if(m_sentAt, [&](const auto &entry) {
        const auto order = orders.find(entry.first);
        return order == orders.end() || order->second.state != state::order_state::Started;
    });

    std::set<std::pair<std::string, model_placement>> open;
    std::size_t loads = 0;
    const auto addOpen = [&](const state::order_begin &order) {
        open.emplace(order.kind, placementOf(order));
        loads += order.kind == loadModelOrder ? 1 : 0;
    };
    for (const auto &[id, record] : orders) {
        if (record.state != state::order_state::Started)
            continue;
        addOpen(record.order);
        planOpenOrder(record.order, lease, wanted, endpoints, plan, now);
    }
    for (auto &[id, proposed] : m_proposed) {
        addOpen(proposed.order);
        // The proposal may have been lost; with the same id it is accepted at most once.
        if (now - proposed.at < m_options.resendInterval)
            continue;
        proposed.at = now;
        plan.begin.push_back(proposed.order);
    }

    std::set<std::string> managed;
    for (const auto &placement : wanted) {
        managed.insert(placement.endpoint);
        const auto endpoint = endpoints.find(placement.endpoint);
        if (endpoint == endpoints.end() || !endpoint->second.reachable
            || isLoaded(endpoints, placement) || open.contains({loadModelOrder, placement})
            || loads >= m_options.maximumLoads || !maySend(endpoint->second, lease, now))
            continue;
        begin(loadModelOrder, placement, lease, plan, now);
        ++loads;
    }
    for (const auto &name : managed) {
        const auto endpoint = endpoints.find(name);
        if (endpoint == endpoints.end() || !endpoint->second.reachable
            || !maySend(endpoint->second, lease, now))
            continue;
        for (const auto &[model, version] : endpoint->second.loaded) {
            const model_placement placement{name, model, version};
            if (!wanted.contains(placement) && !open.contains({unloadModelOrder, placement}))
                begin(unloadModelOrder, placement, lease, plan, now);
        }
    }
    return plan;
}

void order_planner::planOpenOrder(const state::order_begin &order, const control_lease &lease,
                                  const std::set<model_placement> &wanted,
                                  const std::map<std::string, reported_endpoint_state> &endpoints,
                                  order_plan &plan, core::instant now)
{
    const auto placement = placementOf(order);
    const bool load = order.kind == loadModelOrder;
    const auto endpoint = endpoints.find(order.target);
    const bool known = endpoint != endpoints.end() && endpoint->second.reachable;
    const auto finish = [&](state::order_state outcome) {
        plan.finish.push_back({lease.fencing(), order.orderId, outcome});
    };
    if (known && isLoaded(endpoints, placement) == load) {
        finish(state::order_state::Done);
        return;
    }
    if (wanted.contains(placement) != load || endpoint == endpoints.end()) {
        finish(state::order_state::Undone);
        return;
    }
    const auto sent = m_sentAt.find(order.orderId);
    if (!known || !maySend(endpoint->second, lease, now)
        || (sent != m_sentAt.end() && now - sent->second < m_options.resendInterval))
        return;
    m_sentAt[order.orderId] = now;
    auto current = order;
    current.fencing = lease.fencing();
    plan.send.push_back(std::move(current));
}

void order_planner::begin(const char *kind, const model_placement &placement,
                          const control_lease &lease, order_plan &plan, core::instant now)
{
    state::order_begin order{lease.fencing(),
                             std::to_string(lease.fencing()) + '-'
                                 + std::to_string(++m_lastOrderNumber),
                             kind, placement.endpoint, encodeDetail(placement)};
    m_proposed[order.orderId] = {order, now};
    plan.begin.push_back(std::move(order));
}

bool order_planner::maySend(const reported_endpoint_state &endpoint, const control_lease &lease,
                            core::instant now) const
{
    return endpoint.checksFencing || now >= lease.unfencedOrdersAllowedFrom();
}

} // namespace quetzalcleat::peer
