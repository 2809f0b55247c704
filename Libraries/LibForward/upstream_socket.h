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

/// Whether the peer has ended the connection, on which nothing was sent yet, in any way.
bool isClosedByPeer(asio::ip::tcp::socket &socket);

} // namespace quetzalcleat::forward
