#include "fake_operator_server.h"

#include "LibInventory/drain_edit.h"

#include <stdexcept>

namespace http = quetzalcleat::http;
using nlohmann::json;

namespace {

void send(http::caller_exchange &exchange, std::uint16_t status, std::string body)
{
    exchange.respond({status, {{"Content-Type", "application/json"}}}, std::move(body));
}

} // namespace

fake_operator_server::fake_operator_server(std::string document)
    : m_document(std::move(document)),
      m_server(m_context, {{"127.0.0.1", 0}},
               [this](const exchange_pointer &exchange) { handle(exchange); })
{
    if (!m_server.open())
        throw std::runtime_error("the fake operator server cannot listen");
    m_thread = std::thread([this] { m_context.run(); });
}

fake_operator_server::~fake_operator_server()
{
    m_context.stop();
    m_thread.join();
    // An exchange refers to its server and must not outlive it.
    m_unanswered.clear();
}

quetzalcleat::core::socket_address fake_operator_server::address() const
{
    return {"127.0.0.1", m_server.port()};
}

void fake_operator_server::setFaults(std::vector<edit_fault> faults)
{
    const std::scoped_lock lock(m_mutex);
    m_faults = std::move(faults);
}

void fake_operator_server::setInForceEverywhere(bool value)
{
    const std::scoped_lock lock(m_mutex);
    m_inForceEverywhere = value;
}

void fake_operator_server::applyConcurrentEdit(const std::string &document)
{
    const std::scoped_lock lock(m_mutex);
    m_document = document;
    ++m_revision;
}

void fake_operator_server::setAnswer(const std::string &path, std::uint16_t status,
                                     std::string body)
{
    const std::scoped_lock lock(m_mutex);
    m_answers[path] = {status, std::move(body)};
}

std::uint64_t fake_operator_server::revision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

std::string fake_operator_server::document() const
{
    const std::scoped_lock lock(m_mutex);
    return m_document;
}

std::vector<json> fake_operator_server::edits() const
{
    const std::scoped_lock lock(m_mutex);
    return m_edits;
}

void fake_operator_server::handle(const exchange_pointer &exchange)
{
    const std::scoped_lock lock(m_mutex);
    const auto &request = exchange->request();
    const auto authorization = http::findHeader(request.headers, "Authorization");
    if (authorization != std::string("Bearer ") + key) {
        send(*exchange, 401, R"({"error":{"type":"unauthorized","message":"not authorised"}})");
        return;
    }
    if (const auto answer = m_answers.find(request.path); answer != m_answers.end())
        send(*exchange, answer->second.first, answer->second.second);
    else if (request.method == "POST")
        handleEdit(exchange);
    else if (request.path == "/operator/configuration")
        send(*exchange, 200, json{{"revision", m_revision}, {"document", m_document}}.dump());
    else
        send(*exchange, 404, R"({"error":{"type":"not_found","message":"no such path"}})");
}

void fake_operator_server::handleEdit(const exchange_pointer &exchange)
{
    const auto edit = json::parse(exchange->request().body);
    m_edits.push_back(edit);
    auto fault = edit_fault::Answer;
    if (!m_faults.empty()) {
        fault = m_faults.front();
        m_faults.erase(m_faults.begin());
    }
    verdict verdict;
    if (fault != edit_fault::LoseRequest)
        verdict = process(exchange->request().path, edit);
    if (fault == edit_fault::Answer)
        send(*exchange, verdict.status, verdict.body.dump());
    else if (fault == edit_fault::Undecided)
        send(*exchange, 503, R"({"error":{"message":"no verdict in time","outcome":"undecided"}})");
    else
        m_unanswered.push_back(exchange);
}

fake_operator_server::verdict fake_operator_server::process(const std::string &path,
                                                            const json &edit)
{
    const auto id = edit.at("edit_id").get<std::string>();
    if (const auto known = m_verdicts.find(id); known != m_verdicts.end())
        return known->second;
    std::string document;
    if (path == "/operator/drain") {
        const auto drained
            = quetzalcleat::inventory::addDrain(m_document, edit.at("target").get<std::string>());
        if (!drained)
            return {400, {{"error", {{"message", drained.error().message()}}}}};
        document = drained.value();
    } else {
        document = edit.at("document").get<std::string>();
        if (edit.at("base_revision") != m_revision)
            return m_verdicts[id] = {409, {{"verdict", "conflict"}, {"revision", m_revision}}};
    }
    m_document = document;
    json body{{"verdict", "accepted"}, {"revision", ++m_revision}};
    if (edit.value("wait", false))
        body["in_force_everywhere"] = m_inForceEverywhere;
    return m_verdicts[id] = {200, body};
}
