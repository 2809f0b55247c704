#pragma once

#include "LibForward/upstream.h"

#include <system_error>

#include <asio/ip/tcp.hpp>

namespace quetzalcleat::forward {

/// Opens the socket for a connection to the endpoint, with its options. Returns an error if that is
/// not possible.
std::error_code openSocket(asio::ip::tcp::socket &socket,
                           const asio::ip::tcp::endpoint &remoteEndpoint,
                           const upstream_options &options);

/// Whether the connection has ended, in any way, and all that has arrived was read.
bool isClosed(asio::ip::tcp::socket &socket);

} // namespace quetzalcleat::forward
