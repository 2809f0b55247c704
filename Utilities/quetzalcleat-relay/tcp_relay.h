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

/// Forwards TCP connections to one target and makes them fail on demand, for tests.
///
/// A cut direction holds its bytes, as a network without an answer does; they arrive when the cut
/// ends. Closing of a connection is held in the same way. Nothing is altered or dropped.
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

    /// The connections of now carry nothing any more; new ones work.
    void silenceOpenConnections();
    void closeOpenConnections();
    void stop();

    std::uint64_t forwardedBytes() const { return m_forwardedBytes; } ///< In both directions.

private:
    struct pump
    {
        explicit pump(asio::io_context &context) : timer(context) { }

        std::array<char, 65536> buffer{};
        std::size_t bytes = 0;
        bool ended = false; ///< The source was closed.
        bool held = false; ///< Waits for the end of a cut.
        asio::steady_timer timer;
    };

    struct session
    {
        explicit session(asio::io_context &context)
            : client(context), target(context), pumps{pump(context), pump(context)}
        {
        }

        asio::ip::tcp::socket client;
        asio::ip::tcp::socket target;
        std::array<pump, 2> pumps;
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
