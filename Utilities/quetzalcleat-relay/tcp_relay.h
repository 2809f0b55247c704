#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace quetzalcleat::relay {

enum class direction : std::uint8_t { Forward, Backward }; ///< Forward: towards the target.

/// Forwards TCP connections to one target and injects faults, for tests.
///
/// A cut holds back the bytes of one direction, as an unresponsive network does, and delivers them
/// when it ends. The close of a connection is held back in the same way. Nothing is altered or
/// dropped.
class tcp_relay : public std::enable_shared_from_this<tcp_relay>
{
public:
    /// Listens on a loopback port; 0 stands for any. Returns a null pointer if that fails.
    static std::shared_ptr<tcp_relay> create(asio::io_context &context, std::uint16_t port,
                                             const asio::ip::tcp::endpoint &target);

    std::uint16_t port() const;
    void setTarget(const asio::ip::tcp::endpoint &target) { m_target = target; }
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    void setCut(direction way, bool cut);

    /// Stops forwarding on the open connections for good, without closing them; new ones work.
    void silenceOpenConnections();
    void closeOpenConnections();
    void stop();

    std::uint64_t forwardedBytes() const { return m_forwardedBytes; } ///< In both directions.

private:
    struct transfer
    {
        explicit transfer(asio::io_context &context) : timer(context) { }

        std::array<char, 65536> buffer{};
        std::size_t bytes = 0;
        bool ended = false; ///< The source was closed.
        bool held = false; ///< Held back by a cut or by silence.
        asio::steady_timer timer;
    };

    struct session
    {
        explicit session(asio::io_context &context)
            : client(context), target(context), transfers{transfer(context), transfer(context)}
        {
        }

        asio::ip::tcp::socket client;
        asio::ip::tcp::socket target;
        std::array<transfer, 2> transfers;
        bool silent = false;
    };

    using session_pointer = std::shared_ptr<session>;

    explicit tcp_relay(asio::io_context &context, const asio::ip::tcp::endpoint &target)
        : m_context(context), m_acceptor(context), m_target(target)
    {
    }

    void acceptNext();
    void read(const session_pointer &session, direction way);
    void forward(const session_pointer &session, direction way);
    void write(const session_pointer &session, direction way);
    void close(const session_pointer &session);

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    std::vector<session_pointer> m_sessions;
    std::chrono::milliseconds m_delay{0};
    std::array<bool, 2> m_cut{};
    std::uint64_t m_forwardedBytes = 0;
    bool m_stopped = false;
};

} // namespace quetzalcleat::relay
