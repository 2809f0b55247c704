#include "LibForward/request_admission.h"

#include "LibCore/hash.h"
#include "LibPolicy/part_id.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace quetzalcleat::forward {

namespace {

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const route *request_admission::findRoute(const route_table &routes) const
{
    return routes.find(withoutPort(m_request.value("Host")), m_request.path());
}

const client_account *request_admission::findAccount(const route_table &routes) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = m_request.value("Authorization");
    if (value.size() > scheme.size() && equalsIgnoringCase(value.substr(0, scheme.size()), scheme))
        return routes.findAccount(value.substr(scheme.size()));
    return nullptr;
}

const service *request_admission::chooseService(const route_table &routes,
                                                const route &target) const
{
    std::uint64_t total = 0;
    for (const auto &entry : target.services)
        total += entry.weight;
    if (total == 0)
        return nullptr;
    auto bucket = core::hash64(m_request.value(m_names.requestId)) % total;
    for (const auto &entry : target.services) {
        if (bucket < entry.weight)
            return routes.findService(entry.service);
        bucket -= entry.weight;
    }
    return nullptr;
}

core::instant request_admission::deadline(core::instant arrived, const route &target) const
{
    const auto left = parseNumber(m_request.value(m_names.timeLeft));
    constexpr std::chrono::milliseconds longest = std::chrono::hours(24);
    const std::chrono::milliseconds callerTime(
        left ? std::min(*left, static_cast<std::uint64_t>(longest.count()))
             : static_cast<std::uint64_t>(longest.count()));
    return std::min(arrived + callerTime, arrived + target.timeout);
}

std::optional<prompt_size> request_admission::promptSize() const
{
    const std::string_view counts = m_request.value(m_names.promptSize);
    const auto comma = counts.find(',');
    const auto prompt = parseNumber(counts.substr(0, comma));
    if (!prompt)
        return std::nullopt;
    prompt_size result;
    auto &size = result.size;
    size.promptTokens = static_cast<std::uint32_t>(*prompt);
    if (comma != std::string_view::npos)
        size.outputTokens
            = static_cast<std::uint32_t>(parseNumber(counts.substr(comma + 1)).value_or(0));
    size.expectedOutputTokens = static_cast<std::uint32_t>(
        parseNumber(m_request.value(m_names.lengthEstimate)).value_or(size.outputTokens));
    auto rest = std::string_view(m_request.value(m_names.promptParts));
    policy::part_id shared = 0;
    while (!rest.empty()) {
        const auto end = rest.find(',');
        const auto entry = rest.substr(0, end);
        const auto colon = entry.find(':');
        prompt_part part;
        part.id = policy::parsePartId(entry.substr(0, colon));
        if (colon != std::string_view::npos)
            part.tokens
                = static_cast<std::uint32_t>(parseNumber(entry.substr(colon + 1)).value_or(0));
        size.parts.push_back(part);
        if (end == std::string_view::npos)
            break;
        // The last part is specific to this request or its session; the parts before it are shared.
        shared = part.id;
        rest.remove_prefix(end + 1);
    }
    if (shared != 0)
        result.sharedParts = core::hash64(policy::toText(shared)) | 1U;
    return result;
}

} // namespace quetzalcleat::forward
