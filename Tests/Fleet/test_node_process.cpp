#include "LibCore/hash.h"
#include "LibFleet/node_process.h"
#include "number_dialect.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace quetzalcleat::fleet::test {

using namespace std::chrono_literals;

/// Takes the settings from the test.
struct process_dialect : number_dialect
{
    inline static node_settings settings;
    static core::result<node_settings> readSettings(const std::string & /*text*/)
    {
        return settings;
    }
};

/// A process with both roles. Its control role has no majority, so operators wait for a leader.
class node_process_test : public testing::Test
{
protected:
    node_process_test()
    {
        constexpr const char *ip = "127.0.4.1";
        auto &settings = process_dialect::settings;
        settings.hostName = ip;
        settings.ip = ip;
        settings.callerAddress = freeAddress(ip);
        settings.readinessAddress = freeAddress(ip);
        settings.controlAddress = freeAddress(ip);
        settings.peerPort = freeAddress(ip).port;
        settings.seeds = {ip, "127.0.4.2", "127.0.4.3"};
        settings.bootstrapsCluster = true;
        settings.dataFolder = m_folder;
        std::filesystem::create_directories(m_folder);
        m_thread = std::thread([this] {
            node_process<process_dialect> process(process_options{m_folder / "settings", 0});
            m_exitCode = process.run();
            m_hasExited = true;
        });
    }

    ~node_process_test() override
    {
        m_thread.join();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    core::socket_address freeAddress(const std::string &ip)
    {
        asio::ip::tcp::acceptor probe(m_context, {asio::ip::make_address(ip), 0});
        return {ip, probe.local_endpoint().port()};
    }

    std::error_code connect(asio::ip::tcp::socket &socket, const core::socket_address &address)
    {
        std::error_code error;
        socket.connect({asio::ip::make_address(address.ip), address.port}, error);
        return error;
    }

    bool accepts(const core::socket_address &address)
    {
        asio::ip::tcp::socket socket(m_context);
        return !connect(socket, address);
    }

    /// A call that waits for a leader.
    asio::ip::tcp::socket callAsOperator()
    {
        asio::ip::tcp::socket socket(m_context);
        std::error_code ignored = connect(socket, *process_dialect::settings.controlAddress);
        asio::write(socket,
                    asio::buffer(std::string("GET /configuration HTTP/1.1\r\nHost: c\r\n\r\n")),
                    ignored);
        return socket;
    }

    asio::io_context m_context;
    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / ("quetzalcleat-process-" + core::sha256Hex(core::secureRandomBytes(16)).substr(0, 16));
    std::thread m_thread;
    std::atomic<int> m_exitCode{-1};
    std::atomic<bool> m_hasExited{false};
};

/// Guards against a listener that stays open after the notice of a stop, because operators wait at
/// the control role of the same process.
TEST_F(node_process_test, OperatorsDoNotKeepTheListenerOpen)
{
    const auto &settings = process_dialect::settings;
    while (!m_hasExited && !accepts(*settings.callerAddress))
        std::this_thread::sleep_for(1ms);
    ASSERT_FALSE(m_hasExited);
    std::raise(SIGTERM);
    const auto begin = std::chrono::steady_clock::now();
    std::vector<asio::ip::tcp::socket> operators;
    while (accepts(*settings.callerAddress)) {
        operators.push_back(callAsOperator());
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, settings.graceTime / 2);
    EXPECT_TRUE(accepts(*settings.controlAddress));
    operators.clear();
    m_thread.join();
    m_thread = std::thread([] {});
    EXPECT_EQ(m_exitCode, 0);
}

} // namespace quetzalcleat::fleet::test
