#include "LibForward/listen.h"

namespace quetzalcleat::forward {

std::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const core::socket_address &address,
                         int backlog)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    const asio::ip::tcp::endpoint localEndpoint(ip, address.port);
    if (!error)
        acceptor.open(localEndpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(localEndpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    return error;
}

} // namespace quetzalcleat::forward
