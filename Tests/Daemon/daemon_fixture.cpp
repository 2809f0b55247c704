#include "daemon_fixture.h"

#include "event_loop.h"

#include "LibCore/hash.h"

#include <nlohmann/json.hpp>

namespace quetzalcleat::tests {

namespace {

constexpr const char *callerToken = "token-of-caller-one";
constexpr const char *operatorKey = "operator-key-of-the-test";

constexpr const char *tiersAndClasses = R"(
[[tier]]
name = "top"
rank = 0
[[class]]
name = "default"
tier = "top"
deadline_ms = 600000
maximum_wait_ms = 600000
queue_length = 2000
)";

} // namespace

std::string caller_response::streamedText() const
{
    std::string text;
    std::uint64_t expected = 0;
    http::event_parser parser(64 * 1024);
    EXPECT_TRUE(parser.consume(body, [&](std::string_view data) {
        const auto event = nlohmann::json::parse(data, nullptr, false);
        if (!event.is_object() || !event.contains("index"))
            return true;
        EXPECT_EQ(event["index"].get<std::uint64_t>(), expected);
        EXPECT_EQ(event["request_id"], header("X-Request-Id"));
        ++expected;
        text += event["text"].get<std::string>();
        return true;
    }));
    return text;
}

bool caller_response::endsWithDone() const
{
    return body.ends_with("data: [DONE]\n\n");
}

std::string caller_response::errorField(const char *field) const
{
    const auto content = nlohmann::json::parse(body, nullptr, false);
    if (!content.is_object() || !content.contains("error"))
        return "no error: " + body;
    const auto &value = content["error"][field];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string caller_response::header(std::string_view name) const
{
    return std::string(http::findHeader(head.headers, name).value_or(std::string_view()));
}

daemon_fixture::daemon_fixture()
    : m_service(m_context, [this](const auto &connection, const auto &request) {
          m_serviceCalls.push_back(request);
          if (m_onServiceCall)
              m_onServiceCall(connection, request);
          else
              connection->send(completeResponse(200, "answer to " + request.body, "text/plain"));
      })
{
    m_options.hostName = "h1";
    m_options.dataCentre = "d1";
    m_options.callerAddress = {"127.0.0.1", 0};
    m_options.operatorAddress = {"127.0.0.1", 0};
    m_options.operatorKey = operatorKey;
    m_options.seed = 1;
    // Longer than any of the tests takes.
    constexpr std::chrono::milliseconds never{600000};
    m_options.sessions.engine = {never, never, never};
    m_options.sessions.service = {never, never, never};
    m_options.sessions.claimTimeout = never;
    m_options.callerProgressTimeout = never;
}

daemon_fixture::~daemon_fixture()
{
    // These refer to the test, which is destroyed already, while requests may still be in transit.
    m_onServiceCall = nullptr;
    for (const auto &engine : m_engines)
        engine->onCompletion = nullptr;
    if (m_daemon)
        m_daemon->shutDown();
    m_client.shutDown();
    // Ended transfers release their handlers on the event loop.
    m_context.restart();
    m_context.poll();
}

fake_engine &daemon_fixture::addEngine(bool canResume)
{
    m_engines.push_back(std::make_unique<fake_engine>(m_context));
    m_canResume.push_back(canResume);
    return *m_engines.back();
}

std::string daemon_fixture::document() const
{
    std::string text = "deployment = \"test\"\n[[region]]\nname = \"r1\"\n[[data_centre]]\n"
                       "name = \"d1\"\nregion = \"r1\"\n";
    text += tiersAndClasses;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        text += "[[endpoint]]\nname = \"e" + std::to_string(index)
            + "\"\nkind = \"engine\"\ndata_centre = \"d1\"\naddress = \""
            + m_engines[index]->address().text()
            + "\"\nmodels = [\"m1\"]\ncapacity = 1000\ncan_resume = "
            + (m_canResume[index] ? "true\n" : "false\n");
    }
    text += "[[endpoint]]\nname = \"s0\"\nkind = \"service\"\ndata_centre = \"d1\"\naddress = \""
        + m_service.address().text()
        + "\"\nservice = \"booking\"\ncapacity = 1000\n[[endpoint.non_repeatable]]\n"
          "method = \"POST\"\npath_prefix = \"/orders\"\n";
    text += "[[caller]]\nname = \"c1\"\ntoken_hashes = [\"" + core::sha256Hex(callerToken)
        + "\"]\ndefault_class = \"default\"\n";
    return text + m_extraRules;
}

void daemon_fixture::startDaemon()
{
    if (m_daemon) {
        m_daemon->shutDown();
        m_control.removeListeners();
        m_daemon.reset();
    }
    m_daemon = std::make_unique<daemon::entry<fake_control_plane>>(m_context, m_control, m_counters,
                                                                   m_options);
    ASSERT_TRUE(m_daemon->start());
    m_control.publish(document());
}

std::shared_ptr<caller_response> daemon_fixture::send(const std::string &method,
                                                      const std::string &target,
                                                      const std::string &body,
                                                      http::header_list headers)
{
    auto response = std::make_shared<caller_response>();
    http::endpoint_request request;
    request.method = method;
    request.address = {"127.0.0.1", m_daemon->callerPort()};
    request.target = target;
    request.body = body;
    request.headers = std::move(headers);
    if (target.starts_with("/operator") || target == "/metrics")
        request.address.port = m_daemon->operatorPort();
    else if (!http::findHeader(request.headers, "Authorization"))
        request.headers.push_back({"Authorization", std::string("Bearer ") + callerToken});
    constexpr std::chrono::milliseconds never{600000};
    request.timeouts = {never, never, never};
    response->transfer = m_client.start(
        std::move(request),
        {.onHead = [response](const http::response_head &head) { response->head = head; },
         .onBody = [response](std::string_view chunk) { response->body.append(chunk); },
         .onEnd =
             [response](const http::transfer_result &end) {
                 response->ended = true;
                 response->error = end.error;
             }});
    return response;
}

std::shared_ptr<caller_response> daemon_fixture::complete(const std::string &prompt, bool stream,
                                                          http::header_list headers)
{
    return send("POST", "/v1/completions",
                nlohmann::json{{"model", "m1"}, {"prompt", prompt}, {"stream", stream}}.dump(),
                std::move(headers));
}

std::shared_ptr<caller_response> daemon_fixture::sendAsOperator(const std::string &method,
                                                                const std::string &target,
                                                                const std::string &body)
{
    return send(method, target, body, {{"Authorization", std::string("Bearer ") + operatorKey}});
}

void daemon_fixture::await(const caller_response &response)
{
    await([&response] { return response.ended; });
}

void daemon_fixture::await(const std::function<bool()> &condition)
{
    ASSERT_TRUE(runUntil(m_context, condition)) << "condition not met within the time limit";
}

void daemon_fixture::pass(std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    await([&] { return std::chrono::steady_clock::now() >= end; });
}

} // namespace quetzalcleat::tests
