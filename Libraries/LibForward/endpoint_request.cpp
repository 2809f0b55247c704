#include "LibForward/endpoint_request.h"

#include <algorithm>

namespace quetzalcleat::forward {

int enginePriority(int priority, int routePriority, int lowest)
{
    constexpr int routePriorities = 3;
    return std::clamp(
        priority * routePriorities + std::clamp(routePriority, 0, routePriorities - 1), 0, lowest);
}

std::string endpoint_request::headText(const http_head &request, const wire_names &names) const
{
    http_head head;
    head.method = request.method;
    head.target = request.target;
    const auto connection = request.value("Connection");
    const auto isOwn = [&](std::string_view name) {
        const auto same = [&](const std::string &own) { return equalsIgnoringCase(name, own); };
        return same(names.timeLeft) || same(names.expectedIncarnation) || same(names.account)
            || same(names.enginePriority) || same("Authorization") || same("Content-Length")
            || std::any_of(names.reserved.begin(), names.reserved.end(), same);
    };
    for (const auto &field : request.headers) {
        if (!isHopByHop(field.name, connection) && !isOwn(field.name))
            head.headers.push_back(field);
    }
    if (lastEventId)
        head.set("Last-Event-Id", std::to_string(*lastEventId));
    head.headers.push_back({names.timeLeft, std::to_string(timeLeft.count())});
    head.headers.push_back({names.expectedIncarnation, incarnation});
    if (!account.empty())
        head.headers.push_back({names.account, account});
    if (priority)
        head.headers.push_back({names.enginePriority, std::to_string(*priority)});
    if (bodyBytes)
        head.headers.push_back({"Content-Length", std::to_string(*bodyBytes)});
    return head.requestText() + "\r\n";
}

} // namespace quetzalcleat::forward
