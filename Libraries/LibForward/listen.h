#pragma once

#include "LibCore/settings.h"

#include <system_error>

#include <asio/ip/tcp.hpp>

namespace quetzalcleat::forward {

/// Binds the acceptor to the address and listens. Returns the error of the operating system.
std::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const core::socket_address &address,
                         int backlog);

} // namespace quetzalcleat::forward
