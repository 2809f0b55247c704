#include "engine_server.h"

#include "LibCore/hash.h"
#include "LibFakes/fakes_error.h"
#include "generation_stream.h"
#include "json_reply.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace quetzalcleat::fakes {

namespace {

constexpr std::uint32_t defaultMaximumTokens = 64;
constexpr std::string_view completionPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// The text that determines the answer: the prompt, or all messages of a chat.
std::optional<std::string> promptOf(const nlohmann::json &body, bool chat)
{
    if (!chat) {
        if (!body.contains("prompt") || !body["prompt"].is_string())
            return std::nullopt;
        return body["prompt"].get<std::string>();
    }
    if (!body.contains("messages") || !body["messages"].is_array())
        return std::nullopt;
    std::string prompt;
    for (const auto &message : body["messages"]) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string())
            return std::nullopt;
        prompt += message["content"].get<std::string>();
        prompt += '\n';
    }
    return prompt;
}

std::uint16_t errorStatus(std::error_code error)
{
    if (error == fakes_error::UnknownModel)
        return 404;
    if (error == fakes_error::QueueFull)
        return 503;
    return 409;
}

const char *errorType(std::error_code error)
{
    if (error == fakes_error::UnknownModel)
        return "unknown_model";
    if (error == fakes_error::QueueFull)
        return "queue_full";
    if (error == fakes_error::StaleFencing)
        return "stale_fencing";
    return "conflict";
}

const char *kindName(cache_event_kind change)
{
    switch (change) {
    case cache_event_kind::Stored:
        return "stored";
    case cache_event_kind::Evicted:
        return "evicted";
    case cache_event_kind::Cleared:
        return "cleared";
    }
    return "cleared";
}

/// Value of `after`, the only parameter of the query.
std::string_view afterParameter(std::string_view query)
{
    constexpr std::string_view name = "after=";
    return query.starts_with(name) ? query.substr(name.size()) : std::string_view();
}

std::string toHex(std::uint64_t block)
{
    std::string text(16, '0');
    constexpr std::string_view digits = "0123456789abcdef";
    for (std::size_t index = 0; index < text.size(); ++index)
        text[text.size() - 1 - index] = digits[(block >> (4 * index)) & 0xfU];
    return text;
}

std::optional<engine_order> parseOrder(const nlohmann::json &body)
{
    static const std::pair<std::string_view, engine_order_kind> kinds[]
        = {{"load_model", engine_order_kind::LoadModel},
           {"unload_model", engine_order_kind::UnloadModel},
           {"load_adapter", engine_order_kind::LoadAdapter},
           {"set_role", engine_order_kind::SetRole}};
    if (!body.is_object() || !body.contains("order_id") || !body["order_id"].is_string()
        || !body.contains("fencing") || !body["fencing"].is_number_unsigned())
        return std::nullopt;
    const auto kind = std::ranges::find(kinds, body.value("kind", ""),
                                        [](const auto &entry) { return entry.first; });
    if (kind == std::end(kinds))
        return std::nullopt;
    engine_order order;
    order.fencing = body["fencing"].get<std::uint64_t>();
    order.orderId = body["order_id"].get<std::string>();
    order.kind = kind->second;
    order.target = body.value("model", body.value("role", ""));
    order.version = body.value("version", "");
    return order;
}

} // namespace

engine_server::engine_server(asio::io_context &context, core::socket_address address,
                             engine_options options)
    : m_context(context), m_server(context, {.address = std::move(address)},
                                   [this](const exchange_pointer &exchange) {
                                       handle(withSignals(exchange, m_signals));
                                   }),
      m_model(std::move(options), std::chrono::steady_clock::now()), m_timer(context)
{
}

core::result<void> engine_server::open()
{
    return m_server.open();
}

void engine_server::handle(const exchange_pointer &exchange)
{
    // A silent engine accepts connections and requests but sends no answers.
    const auto &request = exchange->request();
    if (m_model.silent() && request.path != "/faults")
        return;
    if (request.method == "POST" && (request.path == completionPath || request.path == chatPath)) {
        if (m_signals->refusalWait.count() > 0)
            return refuse(*exchange, *m_signals);
        return generate(exchange);
    }
    if (request.method == "DELETE" && request.path.starts_with("/v1/completions/"))
        return cancelByRequestId(exchange, request.path.substr(completionPath.size() + 1));
    if (request.method == "GET" && request.path == "/load")
        return replyLoad(*exchange);
    if (request.method == "GET" && request.path == "/cache-events")
        return replyCacheEvents(*exchange);
    if (request.method == "POST" && request.path == "/orders")
        return execute(*exchange);
    if (request.method == "POST" && request.path == "/faults")
        return setFaults(*exchange);
    if (request.path.starts_with("/kv/")) {
        std::uint64_t block = 0;
        const auto hex = request.path.substr(4);
        const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), block, 16);
        if (error != std::errc() || end != hex.data() + hex.size())
            return replyError(*exchange, 400, "invalid_block");
        if (request.method == "PUT") {
            m_model.importBlock(block, std::chrono::steady_clock::now());
            return replyJson(*exchange, 200, {{"block", hex}});
        }
        if (!m_model.exportBlock(block))
            return replyError(*exchange, 404, "unknown_block");
        return replyJson(*exchange, 200, {{"block", hex}});
    }
    replyError(*exchange, 404, "not_found");
}

void engine_server::generate(const exchange_pointer &exchange)
{
    const auto now = std::chrono::steady_clock::now();
    const auto &request = exchange->request();
    const bool chat = request.path == chatPath;
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return replyError(*exchange, 400, "invalid_body");
    const auto prompt = promptOf(body, chat);
    if (!prompt)
        return replyError(*exchange, 400, "invalid_prompt");

    generation_stream::parameters parameters;
    parameters.prompt = *prompt;
    parameters.chat = chat;
    parameters.streamed = body.value("stream", false);
    parameters.maximumTokens = body.value("max_tokens", defaultMaximumTokens);
    // A client can choose the length of its answer by min_tokens; else it depends on the prompt.
    parameters.outputTokens = body.contains("min_tokens")
        ? std::min(parameters.maximumTokens, body.value("min_tokens", 0U))
        : generatedLength(*prompt, parameters.maximumTokens);
    parameters.requestId = std::string(headerOf(request, "X-Request-Id"));

    generation_request work;
    work.id = ++m_lastGeneration;
    work.model = body.value("model", "");
    work.promptTokens = static_cast<std::uint32_t>(prompt->size() / bytesPerToken) + 1;
    work.prefixBlocks = promptBlocks(*prompt);
    work.outputTokens = parameters.outputTokens;
    work.priority = parseNumber<std::uint32_t>(headerOf(request, "X-Priority")).value_or(0);
    // The id of a generation contains the incarnation, so that a generation from before a crash
    // cannot be resumed.
    parameters.generationId
        = "gen-" + std::to_string(m_model.incarnation()) + '-' + toHex(core::hash64(*prompt));
    if (const auto from = parseNumber<std::uint32_t>(headerOf(request, "X-Resume-From"))) {
        if (headerOf(request, "X-Generation-Id") != parameters.generationId
            || *from > parameters.outputTokens)
            return replyError(*exchange, 409, "unknown_generation");
        work.resumeFrom = *from;
    }
    if (const auto accepted = m_model.submit(std::move(work), now); !accepted)
        return replyError(*exchange, errorStatus(accepted.error()), errorType(accepted.error()));

    const auto id = m_lastGeneration;
    if (!parameters.requestId.empty())
        m_generationByRequestId[parameters.requestId] = id;
    const auto stream = std::make_shared<generation_stream>(exchange, std::move(parameters));
    m_streams[id] = stream;
    exchange->onDisconnect([weak = weak_from_this(), id] {
        const auto engine = weak.lock();
        if (!engine || engine->m_streams.erase(id) == 0)
            return;
        engine->m_model.cancel(id, std::chrono::steady_clock::now());
    });
    stream->begin();
    armTimer();
}

void engine_server::cancelByRequestId(const exchange_pointer &exchange,
                                      const std::string &requestId)
{
    const auto found = m_generationByRequestId.find(requestId);
    const bool running = found != m_generationByRequestId.end()
        && m_model.cancel(found->second, std::chrono::steady_clock::now());
    if (running) {
        m_streams[found->second]->abort();
        m_streams.erase(found->second);
        m_generationByRequestId.erase(found);
    }
    replyJson(*exchange, running ? 200 : 404, {{"cancelled", running}});
}

void engine_server::replyLoad(http::caller_exchange &exchange)
{
    const auto now = std::chrono::steady_clock::now();
    advance();
    const auto load = m_model.load(now);
    // The sample time is given as wall-clock time, since another host reads it.
    const auto sampledAt = std::chrono::system_clock::now()
        - std::chrono::duration_cast<std::chrono::system_clock::duration>(now - load.sampledAt);
    replyJson(exchange, 200,
              {{"incarnation", load.incarnation},
               {"state", load.leaving ? "leaving" : "live"},
               {"running", load.running},
               {"waiting", load.waiting},
               {"kv_used_blocks", load.usedBlocks},
               {"kv_total_blocks", load.totalBlocks},
               {"sampled_at_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(sampledAt.time_since_epoch())
                    .count()},
               {"models", load.models}});
}

void engine_server::replyCacheEvents(http::caller_exchange &exchange)
{
    const auto after
        = parseNumber<std::uint64_t>(afterParameter(exchange.request().query)).value_or(0);
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t next = after;
    for (const auto &event : m_model.cacheEventsAfter(after, std::chrono::steady_clock::now())) {
        next = event.sequence;
        events.push_back({{"sequence", event.sequence},
                          {"kind", kindName(event.change)},
                          {"block", toHex(event.block)}});
    }
    replyJson(exchange, 200, {{"events", events}, {"next", next}});
}

void engine_server::execute(http::caller_exchange &exchange)
{
    const auto order = parseOrder(nlohmann::json::parse(exchange.request().body, nullptr, false));
    if (!order)
        return replyError(exchange, 400, "invalid_order");
    if (const auto done = m_model.order(*order, std::chrono::steady_clock::now()); !done)
        return replyError(exchange, errorStatus(done.error()), errorType(done.error()));
    replyJson(exchange, 200, {{"order_id", order->orderId}});
}

void engine_server::setFaults(http::caller_exchange &exchange)
{
    const auto now = std::chrono::steady_clock::now();
    const auto body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object())
        return replyError(exchange, 400, "invalid_body");
    m_signals->apply(body);
    if (body.contains("slowdown") && body["slowdown"].is_number())
        m_model.setSlowdown(body["slowdown"].get<double>());
    if (body.contains("silent") && body["silent"].is_boolean())
        m_model.setSilent(body["silent"].get<bool>(), now);
    if (body.contains("leaving") && body["leaving"].is_boolean())
        m_model.setLeaving(body["leaving"].get<bool>());
    if (body.contains("load_report_lag_ms") && body["load_report_lag_ms"].is_number_unsigned())
        m_model.setLoadReportLag(
            std::chrono::milliseconds(body["load_report_lag_ms"].get<std::uint32_t>()));
    if (body.contains("cache_event_loss") && body["cache_event_loss"].is_number())
        m_model.setCacheEventLoss(body["cache_event_loss"].get<double>());
    if (body.value("crash", false)) {
        for (const auto &event : m_model.crash(now))
            dispatch(event);
    }
    replyJson(exchange, 200, {{"incarnation", m_model.incarnation()}});
    armTimer();
}

void engine_server::advance()
{
    for (const auto &event : m_model.advance(std::chrono::steady_clock::now()))
        dispatch(event);
}

void engine_server::dispatch(const engine_event &event)
{
    const auto found = m_streams.find(event.request);
    if (found == m_streams.end())
        return;
    const auto stream = found->second;
    if (event.kind == engine_event_kind::Token) {
        stream->addToken(event.index);
        return;
    }
    m_streams.erase(found);
    m_generationByRequestId.erase(stream->streamParameters().requestId);
    if (event.kind == engine_event_kind::Finished)
        stream->finish();
    else
        stream->abort();
}

void engine_server::armTimer()
{
    const auto next = m_model.nextStepEnd();
    if (!next)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto engine = weak.lock();
        if (error || !engine)
            return;
        engine->advance();
        engine->armTimer();
    });
}

} // namespace quetzalcleat::fakes
