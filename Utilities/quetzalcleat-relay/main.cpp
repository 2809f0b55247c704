#include "tcp_relay.h"

#include <charconv>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>

#include <asio/ip/address.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <unistd.h>

namespace {

using quetzalcleat::relay::direction;
using quetzalcleat::relay::tcp_relay;

constexpr auto usage
    = "usage: quetzalcleat-relay, with commands on standard input, one a line:\n"
      "  add NAME LISTEN-PORT TARGET-PORT   forward on the loopback address\n"
      "  delay NAME MILLISECONDS            delay each block of bytes by this time\n"
      "  cut NAME forward|backward|both\n"
      "  heal NAME\n"
      "  silence NAME                       stop forwarding on open connections for good\n"
      "  close NAME                         close open connections\n"
      "  quit\n"
      "Each command is answered by a line \"ok\" or \"error REASON\".\n";

constexpr std::size_t maximumLineBytes = 4096;

class command_loop
{
public:
    explicit command_loop(asio::io_context &context)
        : m_context(context), m_input(context, ::dup(STDIN_FILENO)), m_buffer(maximumLineBytes)
    {
    }

    void readNext()
    {
        asio::async_read_until(
            m_input, m_buffer, '\n', [this](std::error_code error, std::size_t /*bytes*/) {
                if (error) {
                    m_context.stop();
                    return;
                }
                std::istream stream(&m_buffer);
                std::string line;
                std::getline(stream, line);
                const auto problem = execute(line);
                std::cout << (problem.empty() ? "ok" : "error " + problem) << std::endl;
                readNext();
            });
    }

private:
    static std::optional<std::uint16_t> parseNumber(const std::string &text)
    {
        std::uint16_t number = 0;
        const auto *end = text.data() + text.size();
        const auto [position, error] = std::from_chars(text.data(), end, number);
        if (error != std::errc() || position != end)
            return std::nullopt;
        return number;
    }

    /// Returns an empty text, or the reason why the command failed.
    std::string execute(const std::string &line)
    {
        std::istringstream words(line);
        std::string command, name, first, second;
        words >> command >> name >> first >> second;
        if (command == "quit") {
            m_context.stop();
            return {};
        }
        if (command == "add")
            return add(name, first, second);
        const auto found = m_relays.find(name);
        if (found == m_relays.end())
            return "unknown relay";
        return control(*found->second, command, first);
    }

    std::string add(const std::string &name, const std::string &listenPort,
                    const std::string &targetPort)
    {
        const auto listen = parseNumber(listenPort);
        const auto target = parseNumber(targetPort);
        if (!listen || !target || name.empty() || m_relays.contains(name))
            return "needs a new name and two ports";
        auto relay
            = tcp_relay::create(m_context, *listen, {asio::ip::address_v4::loopback(), *target});
        if (!relay)
            return "cannot listen";
        m_relays.emplace(name, std::move(relay));
        return {};
    }

    static std::string control(tcp_relay &relay, const std::string &command,
                               const std::string &argument)
    {
        if (command == "delay") {
            const auto delay = parseNumber(argument);
            if (!delay)
                return "not a number of milliseconds";
            relay.setDelay(std::chrono::milliseconds(*delay));
        } else if (command == "cut") {
            if (argument != "forward" && argument != "backward" && argument != "both")
                return "unknown direction";
            if (argument != "backward")
                relay.setCut(direction::Forward, true);
            if (argument != "forward")
                relay.setCut(direction::Backward, true);
        } else if (command == "heal") {
            relay.setCut(direction::Forward, false);
            relay.setCut(direction::Backward, false);
        } else if (command == "silence") {
            relay.silenceOpenConnections();
        } else if (command == "close") {
            relay.closeOpenConnections();
        } else {
            return "unknown command";
        }
        return {};
    }

    asio::io_context &m_context;
    asio::posix::stream_descriptor m_input;
    asio::streambuf m_buffer;
    std::map<std::string, std::shared_ptr<tcp_relay>> m_relays;
};

} // namespace

int main(int argumentCount, char ** /*arguments*/)
{
    if (argumentCount > 1) {
        std::cerr << usage;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    command_loop loop(context);
    loop.readNext();
    context.run();
    return 0;
}
