#include "quetzalcleatd/endpoint_observer.h"

#include "quetzalcleatd/admission.h"

#include "LibCore/json.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace quetzalcleat::daemon {

namespace {

using nlohmann::json;

/// A larger report is taken to have no end.
constexpr std::size_t maximumReportBytes = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds maximumReportAge{60000};

std::uint64_t readNumber(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string readText(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t readCount(const json &object, const char *key)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(readNumber(object, key), UINT32_MAX));
}

/// The objects in the list under a key; other elements are skipped.
std::vector<json> readObjects(const json &object, const char *key)
{
    std::vector<json> objects;
    const auto found = object.find(key);
    if (found == object.end() || !found->is_array())
        return objects;
    std::ranges::copy_if(*found, std::back_inserter(objects),
                         [](const json &element) { return element.is_object(); });
    return objects;
}

std::optional<policy::endpoint_state> readState(const json &object)
{
    const auto text = readText(object, "state");
    if (text == "live")
        return policy::endpoint_state::Live;
    if (text == "leaving")
        return policy::endpoint_state::Leaving;
    return std::nullopt;
}

policy::load_report toReport(const json &content)
{
    policy::load_report report;
    report.incarnation = readNumber(content, "incarnation");
    report.running = readCount(content, "running");
    report.waiting = readCount(content, "waiting");
    report.usedBlocks = readCount(content, "kv_used_blocks");
    report.totalBlocks = readCount(content, "kv_total_blocks");
    const auto sampledAt = std::chrono::milliseconds(readNumber(content, "sampled_at_ms"));
    const auto wallNow = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    report.age = std::clamp(wallNow - sampledAt, std::chrono::milliseconds(0), maximumReportAge);
    const auto models = content.find("models");
    if (models != content.end() && models->is_array()) {
        for (const auto &model : *models) {
            if (model.is_string())
                report.models.push_back(model.get<std::string>());
        }
    }
    return report;
}

std::optional<policy::cache_event> toCacheEvent(const json &content)
{
    policy::cache_event event;
    event.sequence = readNumber(content, "sequence");
    const auto kind = readText(content, "kind");
    if (kind == "stored")
        event.kind = policy::cache_event_kind::Stored;
    else if (kind == "evicted")
        event.kind = policy::cache_event_kind::Evicted;
    else if (kind == "cleared")
        event.kind = policy::cache_event_kind::Cleared;
    else
        return std::nullopt;
    const auto block = readText(content, "block");
    const auto parsed = std::from_chars(block.data(), block.data() + block.size(), event.block, 16);
    if (event.kind != policy::cache_event_kind::Cleared && parsed.ec != std::errc())
        return std::nullopt;
    return event;
}

std::optional<core::socket_address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    core::socket_address address{text.substr(0, colon), 0};
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return address;
}

std::optional<policy::endpoint_id> findEndpoint(const inventory::document &document,
                                                std::string_view name)
{
    const auto found = std::ranges::find(document.endpoints, name, &inventory::endpoint::name);
    if (found == document.endpoints.end())
        return std::nullopt;
    return policy::endpoint_id{static_cast<std::uint32_t>(found - document.endpoints.begin())};
}

core::instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

endpoint_observer::endpoint_observer(session_environment &environment, observer_options options)
    : m_environment(environment), m_options(std::move(options)), m_timer(environment.context)
{
}

void endpoint_observer::start()
{
    pollAll();
    schedule();
}

void endpoint_observer::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void endpoint_observer::schedule()
{
    m_timer.expires_after(m_options.interval);
    m_timer.async_wait([self = shared_from_this()](std::error_code error) {
        if (error || self->m_stopped)
            return;
        self->pollAll();
        self->schedule();
    });
}

void endpoint_observer::pollAll()
{
    m_environment.notices.update();
    pollPlatform();
    const auto routing = m_environment.routing;
    if (!routing)
        return;
    std::set<std::string> inSubset;
    for (const auto &view : m_environment.decisions.core().dump().endpoints) {
        // Leaving engines are asked, as their answers show the next incarnation.
        if (view.inSubset && view.heldOffFor.count() == 0)
            inSubset.insert(view.name);
    }
    for (const auto &endpoint : routing->document().endpoints) {
        if (endpoint.kind == inventory::endpoint_kind::Engine && inSubset.contains(endpoint.name))
            pollEngine(endpoint);
    }
}

void endpoint_observer::pollEngine(const inventory::endpoint &engine)
{
    const auto name = engine.name;
    fetch("load " + name, engine.address, "/load",
          [this, name](std::string_view body) { onLoad(name, body); });
    const auto after = m_polls["cache " + name].cacheSequence;
    fetch("cache " + name, engine.address, "/cache-events?after=" + std::to_string(after),
          [this, name](std::string_view body) { onCacheEvents(name, body); });
}

void endpoint_observer::pollPlatform()
{
    const auto address = parseAddress(m_options.platformAddress);
    if (address)
        fetch("platform", *address, "/hosts", [this](std::string_view body) { onHosts(body); });
}

void endpoint_observer::fetch(const std::string &key, const core::socket_address &address,
                              const std::string &target, body_handler onReport)
{
    auto &state = m_polls[key];
    if (state.inFlight)
        return;
    state.inFlight = true;
    struct response
    {
        std::uint16_t status = 0;
        std::string body;
    };
    const auto collected = std::make_shared<response>();
    http::endpoint_request request;
    request.method = "GET";
    request.address = address;
    request.target = target;
    request.headers = {{"X-Request-Id", newRequestId()}};
    request.checksIdentity = true;
    request.timeouts = m_options.timeouts;
    state.transfer = m_environment.endpoints.start(
        std::move(request),
        {.onHead
         = [collected](const http::response_head &head) { collected->status = head.status; },
         .onBody =
             [self = shared_from_this(), key, collected](std::string_view chunk) {
                 collected->body.append(chunk);
                 if (collected->body.size() > maximumReportBytes)
                     self->abandon(key);
             },
         .onEnd =
             [self = shared_from_this(), key, collected,
              onReport = std::move(onReport)](const http::transfer_result &end) {
                 auto &poll = self->m_polls[key];
                 poll.inFlight = false;
                 poll.transfer.reset();
                 if (self->m_stopped)
                     return;
                 if (end.error || collected->status != 200) {
                     self->logFailure(key, collected->status, end.error);
                     return;
                 }
                 poll.failing = false;
                 onReport(collected->body);
             }});
}

/// Logs the first of several failures in a row.
void endpoint_observer::logFailure(const std::string &key, std::uint16_t status,
                                   std::error_code error)
{
    if (std::exchange(m_polls[key].failing, true))
        return;
    const auto cause = error ? error.message() : "status " + std::to_string(status);
    m_environment.log.warning("report of " + key + " could not be read: " + cause);
}

/// Without it, an answer that goes on keeps the next poll from starting.
void endpoint_observer::abandon(const std::string &key)
{
    auto &state = m_polls[key];
    if (!state.inFlight)
        return;
    state.inFlight = false;
    if (const auto transfer = std::exchange(state.transfer, nullptr))
        transfer->cancel();
    m_environment.log.warning("report of " + key + " has more than "
                              + std::to_string(maximumReportBytes) + " bytes; abandoned");
}

void endpoint_observer::onLoad(const std::string &name, std::string_view body)
{
    const auto content = core::parseJson(body);
    const auto routing = m_environment.routing;
    const auto endpoint = findEndpoint(routing->document(), name);
    if (!content.is_object() || !endpoint)
        return;
    const auto report = toReport(content);
    auto &cachePoll = m_polls["cache " + name];
    if (cachePoll.incarnation != report.incarnation) {
        // A restarted engine numbers its cache events from the beginning.
        cachePoll.incarnation = report.incarnation;
        cachePoll.cacheSequence = 0;
    }
    auto &core = m_environment.decisions.core();
    core.reportLoad(*endpoint, report, now());
    if (const auto state = readState(content))
        core.reportEndpointState(name, policy::state_source::Endpoint, *state, report.incarnation,
                                 now());
}

void endpoint_observer::onCacheEvents(const std::string &name, std::string_view body)
{
    const auto content = core::parseJson(body);
    const auto routing = m_environment.routing;
    const auto endpoint = findEndpoint(routing->document(), name);
    if (!content.is_object() || !endpoint)
        return;
    for (const auto &element : readObjects(content, "events")) {
        if (const auto event = toCacheEvent(element))
            m_environment.decisions.core().reportCacheEvent(*endpoint, *event, now());
    }
    m_polls["cache " + name].cacheSequence = readNumber(content, "next");
}

void endpoint_observer::onHosts(std::string_view body)
{
    const auto content = core::parseJson(body);
    const auto routing = m_environment.routing;
    if (!content.is_object() || !routing)
        return;
    auto &core = m_environment.decisions.core();
    for (const auto &element : readObjects(content, "hosts")) {
        const auto state = readState(element);
        if (!state)
            continue;
        const auto name = readText(element, "name");
        const auto address = readText(element, "address");
        const auto incarnation = readNumber(element, "incarnation");
        // The platform may identify an endpoint by its name or only by its address.
        for (const auto &endpoint : routing->document().endpoints) {
            if (endpoint.name == name || endpoint.address.text() == address
                || endpoint.address.ip == address)
                core.reportEndpointState(endpoint.name, policy::state_source::Platform, *state,
                                         incarnation, now());
        }
    }
}

} // namespace quetzalcleat::daemon
