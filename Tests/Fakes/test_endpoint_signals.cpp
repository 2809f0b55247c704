#include "quetzalcleat-fakes/engine_server.h"
#include "quetzalcleat-fakes/service_server.h"

#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <thread>

namespace fakes = quetzalcleat::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view prompt = R"({"model":"m","prompt":"a","max_tokens":4,"stream":true})";

bool contains(std::string_view response, std::string_view text)
{
    return response.find(text) != std::string_view::npos;
}

class endpoint_signals_test : public testing::Test
{
protected:
    endpoint_signals_test()
    {
        fakes::engine_options options;
        options.models = {"m"};
        m_engine = std::make_shared<fakes::engine_server>(
            m_context, quetzalcleat::core::socket_address{"127.0.0.1", 0}, options);
        m_service = std::make_shared<fakes::service_server>(
            m_context, quetzalcleat::core::socket_address{"127.0.0.1", 0}, 1ms);
        EXPECT_TRUE(m_engine->open());
        EXPECT_TRUE(m_service->open());
        m_thread = std::jthread([this] { m_context.run(); });
    }

    ~endpoint_signals_test() override { m_context.stop(); }

    /// Returns all bytes of the response.
    static std::string post(std::uint16_t port, std::string_view path, std::string_view body)
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        const auto request = "POST " + std::string(path)
            + " HTTP/1.1\r\nHost: fake\r\nX-Request-Id: r1\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
        asio::write(socket, asio::buffer(request));
        std::string response;
        std::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        EXPECT_EQ(error, asio::error::eof);
        return response;
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::shared_ptr<fakes::engine_server> m_engine;
    std::shared_ptr<fakes::service_server> m_service;
    std::jthread m_thread;
};

} // namespace

// Guards against an endpoint that leaves but does not say so in each kind of response.
TEST_F(endpoint_signals_test, LeavingIsSaidInAllResponses)
{
    for (const auto port : {m_engine->port(), m_service->port()}) {
        EXPECT_FALSE(contains(post(port, "/v1/completions", prompt), "Endpoint-Leaving"));
        EXPECT_TRUE(contains(post(port, "/faults", R"({"says_leaving":true})"), "HTTP/1.1 200"));
        const auto response = post(port, "/v1/completions", prompt);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200"));
        EXPECT_TRUE(contains(response, "Endpoint-Leaving: 1\r\n"));
        EXPECT_TRUE(contains(post(port, "/faults", "[]"), "Endpoint-Leaving: 1\r\n"));
        post(port, "/faults", R"({"says_leaving":false})");
        EXPECT_FALSE(contains(post(port, "/v1/completions", prompt), "Endpoint-Leaving"));
    }
}

// Guards against a refusal without its time, and against refused work that runs.
TEST_F(endpoint_signals_test, RefusedWorkDoesNotRunAndNamesItsTime)
{
    for (const auto port : {m_engine->port(), m_service->port()}) {
        post(port, "/faults", R"({"refusal_wait_ms":1250})");
        const auto response = post(port, "/v1/completions", prompt);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 503"));
        EXPECT_TRUE(contains(response, "Retry-After: 1.25"));
        EXPECT_TRUE(contains(response, "not_run"));
        post(port, "/faults", R"({"refusal_wait_ms":0})");
        EXPECT_TRUE(post(port, "/v1/completions", prompt).starts_with("HTTP/1.1 200"));
    }
    m_context.stop();
    m_thread.join();
    EXPECT_EQ(m_service->model().totalRuns(), 1U);
}

// Guards against responses that name no request: hosts would open a connection for each call.
TEST_F(endpoint_signals_test, ResponsesNameTheirRequest)
{
    EXPECT_TRUE(
        contains(post(m_engine->port(), "/v1/completions", prompt), "X-Request-Id: r1\r\n"));
    EXPECT_TRUE(contains(post(m_service->port(), "/book", "{}"), "X-Request-Id: r1\r\n"));
}
