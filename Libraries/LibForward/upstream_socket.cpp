#include "LibForward/upstream_socket.h"

#include <cerrno>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace quetzalcleat::forward {

namespace {

/// Keep-alive probes detect an unreachable peer within about 3 s while a response is awaited.
constexpr int probeIdleSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int probeCount = 2;

void setOption(asio::ip::tcp::socket &socket, int level, int name, int value)
{
    // Without the option, an unreachable peer is only detected later.
    (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void setSocketOptions(asio::ip::tcp::socket &socket, const upstream_options &options)
{
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(options.unacknowledgedTimeout.count()));
    setOption(socket, SOL_SOCKET, SO_SNDBUF, options.bufferBytes);
    setOption(socket, SOL_SOCKET, SO_RCVBUF, options.bufferBytes);
}

} // namespace

std::error_code openSocket(asio::ip::tcp::socket &socket,
                           const asio::ip::tcp::endpoint &remoteEndpoint,
                           const upstream_options &options)
{
    std::error_code error;
    socket.open(remoteEndpoint.protocol(), error);
    if (!error)
        setSocketOptions(socket, options);
    if (!error)
        socket.non_blocking(true, error);
    return error;
}

bool isClosed(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace quetzalcleat::forward
