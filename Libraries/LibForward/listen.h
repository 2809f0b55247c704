#pragma once

#include "LibCore/settings.h"

#include <system_error>

#include <asio/ip/tcp.hpp>

namespace quetzalcleat::forward {

/// Opens the acceptor on the address. The error is that of the operating system.
std::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const core::socket_address &address,
                         int backlog);

} // namespace quetzalcleat::forward
